"""Bounds the memory that answers take while they are received, each one and all together.

Handles targets whose answers never end, in headers or in the body: such an answer fails once it is
too large. When all answers together take too much, the largest one fails, so that small ones are
received as before.
"""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

import curio
from attrs import define
from attrs import field
from attrs import frozen

if TYPE_CHECKING:
    from collections.abc import AsyncIterator


class AnswerTooLargeError(OSError):
    """Raised when an answer takes more memory than it may."""


@frozen
class AnswerLimits:
    """Most bytes of one answer, and of all answers that are being received.

    Each piece that the parser returns counts as ``min_piece_bytes`` or more: many small ones take
    more memory and processor time than their bytes suggest.
    """

    answer_bytes: int = 16 * 1024 * 1024
    total_bytes: int = 48 * 1024 * 1024
    min_piece_bytes: int = 512


@define(eq=False)
class AnswerShare:
    """What one answer takes so far."""

    _memory: AnswerMemory
    _fail: Callable[[], Awaitable[None]]
    size_bytes: int = 0
    is_failed: bool = False

    async def add_piece(self, size_bytes: int) -> None:
        """Count a piece of the answer. Raises ``AnswerTooLargeError``."""
        limits = self._memory.limits
        if self.is_failed:
            raise AnswerTooLargeError("the answer was given up to make room for others")
        self.size_bytes += max(size_bytes, limits.min_piece_bytes)
        if self.size_bytes > limits.answer_bytes:
            raise AnswerTooLargeError(f"the answer exceeds {limits.answer_bytes} bytes")
        await self._memory.make_room(self)

    async def fail(self) -> None:
        """Let the exchange that receives the answer fail."""
        self.is_failed = True
        await self._fail()


@define
class AnswerMemory:
    """The answers that are being received."""

    limits: AnswerLimits = field(factory=AnswerLimits)
    _shares: set[AnswerShare] = field(factory=set)
    _freed: curio.Event = field(factory=curio.Event)

    @property
    def total_bytes(self) -> int:
        """Bytes that all answers take."""
        return sum(share.size_bytes for share in self._shares)

    @asynccontextmanager
    async def open_share(self, fail: Callable[[], Awaitable[None]]) -> AsyncIterator[AnswerShare]:
        """Count an answer within the block; ``fail`` ends its exchange if it takes too much."""
        share = AnswerShare(self, fail)
        self._shares.add(share)
        try:
            yield share
        finally:
            self._shares.discard(share)
            await self._freed.set()

    async def make_room(self, growing: AnswerShare) -> None:
        """Wait while all answers take too much, and fail the largest; raise if it is this one."""
        while self.total_bytes > self.limits.total_bytes:
            largest = max(self._shares, key=lambda share: share.size_bytes)
            if largest is growing:
                raise AnswerTooLargeError(
                    f"all answers together exceed {self.limits.total_bytes} bytes"
                )
            self._freed.clear()
            if not largest.is_failed:
                await largest.fail()
            await self._freed.wait()
