"""A clock for curio's kernel that advances only when every task waits."""

from __future__ import annotations

import time
from contextlib import contextmanager
from selectors import DefaultSelector
from typing import TYPE_CHECKING
from typing import Any

import curio
import curio.kernel

from siskinward.standins.memory_network import MemoryNetwork
from siskinward.transport.sockets import use_network

if TYPE_CHECKING:
    from collections.abc import Iterator

START_S = 1000.0


class PausedClock:
    """Replaces the ``time`` module inside curio's kernel."""

    def __init__(self) -> None:
        self.now_s = START_S

    def monotonic(self) -> float:
        """Return the time that the kernel reads."""
        return self.now_s

    def __getattr__(self, name: str) -> Any:
        return getattr(time, name)


class AdvancingSelector(DefaultSelector):
    """A selector that advances the clock by the timeout when no descriptor is ready."""

    def __init__(self, clock: PausedClock) -> None:
        super().__init__()
        self._clock = clock

    def select(self, timeout: float | None = None) -> list[Any]:
        """Return what is ready; if nothing is, advance the clock instead of waiting."""
        ready = super().select(0)
        if ready or timeout is None:
            return ready or super().select(None)
        self._clock.now_s += max(timeout, 0.0)
        return []


@contextmanager
def paused_kernel(network: MemoryNetwork | None = None) -> Iterator[Any]:
    """Create a kernel whose sleeps and timeouts pass at once, exactly and in order.

    All sockets are opened in ``network``, or in a new private one.
    """
    clock = PausedClock()
    previous = curio.kernel.time
    curio.kernel.time = clock
    try:
        # On the system's loopback, bytes would arrive in real time, independent of this clock.
        with (
            use_network(network or MemoryNetwork()),
            curio.Kernel(selector=AdvancingSelector(clock)) as kernel,
        ):
            yield kernel
    finally:
        curio.kernel.time = previous
