"""Bounds the memory that the bodies of all requests take together, from their first byte on.

A body that doesn't fit beside the others is refused, unread as far as possible; the largest body
that callers may send always fits alone, with small ones beside it.
"""

from __future__ import annotations

from attrs import define
from attrs import field
from attrs import frozen


class NoRoomForBodyError(Exception):
    """Raised when a body doesn't fit beside the others; it may fit later, or at another VM."""


@frozen
class BodyLimits:
    """All bodies together take up to ``total_bytes``.

    Where callers may send larger ones, the largest and ``beside_largest_bytes`` fit.
    """

    total_bytes: int = 64 * 1024 * 1024
    beside_largest_bytes: int = 8 * 1024 * 1024


@define
class BodyMemory:
    """The bodies that are held; ``largest_body_bytes`` is the most that callers may send."""

    limits: BodyLimits = field(factory=BodyLimits)
    largest_body_bytes: int = 0
    held_bytes: int = 0

    @property
    def room_bytes(self) -> int:
        """Bytes that all bodies may take together."""
        limits = self.limits
        return max(limits.total_bytes, self.largest_body_bytes + limits.beside_largest_bytes)


@define(eq=False)
class BodyShare:
    """What one body takes, or will take once it has been read."""

    _memory: BodyMemory
    size_bytes: int = 0

    def grow_to(self, size_bytes: int) -> None:
        """Reserve memory for so many bytes in all. Raises ``NoRoomForBodyError``."""
        added_bytes = size_bytes - self.size_bytes
        if added_bytes <= 0:
            return
        others_bytes = self._memory.held_bytes - self.size_bytes
        if others_bytes and others_bytes + size_bytes > self._memory.room_bytes:
            raise NoRoomForBodyError(
                f"a body of {size_bytes} bytes doesn't fit beside {others_bytes} bytes of others"
            )
        self._memory.held_bytes += added_bytes
        self.size_bytes = size_bytes

    def free(self) -> None:
        """Free what was reserved; safe to call twice."""
        self._memory.held_bytes -= self.size_bytes
        self.size_bytes = 0
