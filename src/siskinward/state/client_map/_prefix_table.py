"""Prefixes of one family and length in sorted, compact arrays."""

from __future__ import annotations

import sys
from array import array
from bisect import bisect_left
from itertools import islice
from operator import lt
from typing import TYPE_CHECKING

from siskinward.state.client_map._address import Family
from siskinward.state.client_map.delta import REMOVED

if TYPE_CHECKING:
    from collections.abc import Mapping

KEY_TYPES = {Family.IPV4: "I", Family.IPV6: "Q"}
SITE_TYPE = "H"


class PrefixTable:
    """Immutable map from prefix key to site number."""

    __slots__ = ("family", "keys", "length", "sites")

    def __init__(self, family: Family, length: int, keys: array[int], sites: array[int]) -> None:
        self.family = family
        self.length = length
        self.keys = keys
        self.sites = sites

    @classmethod
    def empty(cls, family: Family, length: int) -> PrefixTable:
        """Return a table without prefixes."""
        return cls(family, length, array(KEY_TYPES[family]), array(SITE_TYPE))

    @classmethod
    def from_changes(cls, family: Family, length: int, changes: Mapping[int, int]) -> PrefixTable:
        """Return a table of the changed keys in ascending order."""
        keys = sorted(changes)
        table = cls.empty(family, length)
        table.keys.extend(keys)
        table.sites.extend(changes[key] for key in keys)
        return table

    @classmethod
    def from_bytes(cls, family: Family, length: int, keys: bytes, sites: bytes) -> PrefixTable:
        """Read a table from little-endian arrays."""
        table = cls.empty(family, length)
        for column, content in ((table.keys, keys), (table.sites, sites)):
            column.frombytes(content)
            if sys.byteorder == "big":
                column.byteswap()
        return table

    def to_bytes(self) -> tuple[bytes, bytes]:
        """Return the keys and sites as little-endian arrays."""
        return _little_endian(self.keys), _little_endian(self.sites)

    def __len__(self) -> int:
        return len(self.keys)

    @property
    def size_bytes(self) -> int:
        """Memory of the arrays."""
        return sys.getsizeof(self.keys) + sys.getsizeof(self.sites)

    def is_valid(self, *, bits: int) -> bool:
        """Whether the keys ascend, fit ``bits`` and each has a site number."""
        if len(self.keys) != len(self.sites):
            return False
        if self.keys and self.keys[-1] >> bits:
            return False
        return all(map(lt, self.keys, islice(self.keys, 1, None)))

    def has_sites_below(self, limit: int) -> bool:
        """Whether every site number is below ``limit``."""
        return max(self.sites, default=-1) < limit

    def merge(self, changes: PrefixTable) -> PrefixTable:
        """Return a new table with changed keys set to their sites and removed keys dropped."""
        keys = array(self.keys.typecode)
        sites = array(SITE_TYPE)
        copied = 0
        for key, site in zip(changes.keys, changes.sites, strict=True):
            index = bisect_left(self.keys, key, lo=copied)
            keys.extend(self.keys[copied:index])
            sites.extend(self.sites[copied:index])
            is_present = index < len(self.keys) and self.keys[index] == key
            copied = index + is_present
            if site != REMOVED:
                keys.append(key)
                sites.append(site)
        keys.extend(self.keys[copied:])
        sites.extend(self.sites[copied:])
        return PrefixTable(self.family, self.length, keys, sites)

    def renumber(self, numbers: Mapping[int, int]) -> PrefixTable:
        """Return the table with mapped site numbers; one without a mapping becomes ``REMOVED``."""
        sites = array(SITE_TYPE, (numbers.get(site, REMOVED) for site in self.sites))
        return PrefixTable(self.family, self.length, self.keys, sites)


def _little_endian(column: array[int]) -> bytes:
    if sys.byteorder == "little":
        return column.tobytes()
    swapped = column[:]
    swapped.byteswap()
    return swapped.tobytes()
