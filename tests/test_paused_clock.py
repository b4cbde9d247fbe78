"""Sleeps and timeouts on the paused clock, which other tests rely on."""

from __future__ import annotations

from typing import Any

import curio
import pytest


def test_paused_clock_advances_by_exact_sleeps(paused_kernel: Any) -> None:
    async def sleep_an_hour() -> float:
        start_s = await curio.clock()
        for _ in range(3600):
            await curio.sleep(1.0)
        return float(await curio.clock() - start_s)

    assert paused_kernel.run(sleep_an_hour) == 3600.0


def test_paused_clock_expires_timeouts(paused_kernel: Any) -> None:
    async def time_out() -> None:
        with pytest.raises(curio.TaskTimeout):
            await curio.timeout_after(30.0, curio.sleep, 60.0)

    paused_kernel.run(time_out)
