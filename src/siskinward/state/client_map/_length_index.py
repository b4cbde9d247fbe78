"""Index of the prefix lengths that can match an IPv4 address."""

from __future__ import annotations

from array import array
from sys import getsizeof
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

INDEX_BITS = 18
ADDRESS_BITS = 32
ENTRY_SHIFT = ADDRESS_BITS - INDEX_BITS


def length_bit(length: int) -> int:
    """Return the mask bit of ``length``; lengths up to ``INDEX_BITS`` share bit 0."""
    return 1 << max(0, length - INDEX_BITS)


class LengthIndex:
    """One bit mask for each block of ``INDEX_BITS``: the prefix lengths that occur inside it.

    Bits are only added. A removed prefix may leave its bit set, which costs no more than a probe.
    """

    __slots__ = ("masks",)

    def __init__(self, masks: array[int] | None = None) -> None:
        self.masks = masks if masks is not None else array("H", bytes(2 << INDEX_BITS))

    @property
    def size_bytes(self) -> int:
        """Memory of the masks."""
        return getsizeof(self.masks)

    def with_prefixes(self, added: Iterable[tuple[int, Iterable[int]]]) -> LengthIndex:
        """Return a new index with the keys of each length added."""
        masks = self.masks[:]
        for length, keys in added:
            if length <= INDEX_BITS:
                continue
            bit = length_bit(length)
            shift = length - INDEX_BITS
            for key in keys:
                masks[key >> shift] |= bit
        return LengthIndex(masks)
