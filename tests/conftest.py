"""Fixtures shared by all tests: a paused clock for curio and a fixed hypothesis profile."""

from __future__ import annotations

import time as real_time
from selectors import DefaultSelector
from typing import Any

import curio
import curio.kernel
import pytest
from hypothesis import settings

settings.register_profile("repeatable", derandomize=True, deadline=None, print_blob=True)
settings.load_profile("repeatable")


class PausedClock:
    """A clock for curio's kernel that moves only when every task waits."""

    def __init__(self) -> None:
        self.now_s = 1000.0

    def monotonic(self) -> float:
        return self.now_s

    def __getattr__(self, name: str) -> Any:
        return getattr(real_time, name)


class AdvancingSelector(DefaultSelector):
    """A selector that advances the clock by the timeout when no descriptor is ready."""

    def __init__(self, clock: PausedClock) -> None:
        super().__init__()
        self._clock = clock

    def select(self, timeout: float | None = None) -> list[Any]:
        ready = super().select(0)
        if ready or timeout is None:
            return ready or super().select(None)
        self._clock.now_s += max(timeout, 0.0)
        return []


@pytest.fixture
def paused_clock(monkeypatch: pytest.MonkeyPatch) -> PausedClock:
    """Replace the kernel's clock; kernels made by ``paused_kernel`` advance it."""
    clock = PausedClock()
    monkeypatch.setattr(curio.kernel, "time", clock)
    return clock


@pytest.fixture
def paused_kernel(paused_clock: PausedClock) -> Any:
    """A curio kernel whose sleeps and timeouts pass at once, exactly and in order."""
    with curio.Kernel(selector=AdvancingSelector(paused_clock)) as kernel:
        yield kernel
