"""A single value that one task delivers and another waits for."""

from __future__ import annotations

from typing import Generic
from typing import TypeVar

import curio

T = TypeVar("T")


class Waiter(Generic[T]):
    """Holds at most one value; later ones are dropped."""

    def __init__(self) -> None:
        self._event = curio.Event()
        self._value: T | None = None

    @property
    def is_delivered(self) -> bool:
        """Whether a value has been delivered."""
        return self._value is not None

    async def deliver(self, value: T) -> bool:
        """Deliver a value; return False if one was delivered before."""
        if self._value is not None:
            return False
        self._value = value
        await self._event.set()
        return True

    async def wait(self, timeout_s: float) -> T | None:
        """Return the value, or None if it is not delivered within ``timeout_s``."""
        if self._value is None and timeout_s > 0:
            try:
                async with curio.timeout_after(timeout_s):
                    await self._event.wait()
            except curio.TaskTimeout:
                return self._value
        return self._value
