"""A value that one task waits for and another delivers once."""

from __future__ import annotations

from typing import Generic
from typing import TypeVar

import curio

T = TypeVar("T")


class Waiter(Generic[T]):
    """Delivers at most one value; later ones are dropped."""

    def __init__(self) -> None:
        self._event = curio.Event()
        self._value: T | None = None

    @property
    def is_delivered(self) -> bool:
        """Whether a value has been delivered."""
        return self._value is not None

    async def deliver(self, value: T) -> bool:
        """Deliver a value; False when one was delivered before."""
        if self._value is not None:
            return False
        self._value = value
        await self._event.set()
        return True

    async def wait(self, timeout_s: float) -> T | None:
        """Wait for the value; None when the time runs out."""
        if self._value is None and timeout_s > 0:
            try:
                async with curio.timeout_after(timeout_s):
                    await self._event.wait()
            except curio.TaskTimeout:
                return self._value
        return self._value
