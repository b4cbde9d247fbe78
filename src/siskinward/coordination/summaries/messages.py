"""Messages of the summary exchange. Their contents are packed by ``pack_reports``."""

from __future__ import annotations

from attrs import frozen


@frozen
class OwnerNotice:
    """One owner's report, for the root relay of its failure domain."""

    content: bytes


@frozen
class DomainNotice:
    """One failure domain's summary, for a relay of another one."""

    content: bytes


@frozen
class Bulletin:
    """From the root relay down its failure domain: all owners' loads and other domains."""

    content: bytes


MESSAGES: tuple[type, ...] = (OwnerNotice, DomainNotice, Bulletin)
