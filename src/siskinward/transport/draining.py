"""Waits until a server has answered what it has read."""

from __future__ import annotations

from typing import TYPE_CHECKING

import curio

from siskinward.transport.clock import read_clock_s

if TYPE_CHECKING:
    from collections.abc import Callable

DRAIN_POLL_S = 0.05


async def wait_until_none(count: Callable[[], int], limit_s: float) -> bool:
    """Wait up to ``limit_s`` until ``count`` returns 0; return whether it does."""
    deadline_s = read_clock_s() + limit_s
    while count() and read_clock_s() < deadline_s:
        await curio.sleep(DRAIN_POLL_S)
    return not count()
