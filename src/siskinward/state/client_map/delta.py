"""Changes from one version of the client map to the next."""

from __future__ import annotations

from attrs import frozen


@frozen
class BlockSite:
    """Assigns a client block to a site."""

    prefix: str
    site: str


@frozen
class TableDelta:
    """Changed prefixes of one family and length, as little-endian arrays, by key.

    ``sites`` holds indexes into the sites of the ``MapDelta``, or ``REMOVED`` to remove the prefix.
    """

    family: int
    length: int
    keys: bytes
    sites: bytes


@frozen
class MapDelta:
    """Turns the map with ``base_hash`` into the one with ``content_hash``."""

    base_hash: str
    version: int
    content_hash: str
    sites: tuple[str, ...]
    tables: tuple[TableDelta, ...]


REMOVED = 0xFFFF
