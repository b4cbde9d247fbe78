"""Reads curio's clock without a trap into its kernel."""

from __future__ import annotations

import curio.kernel


def read_clock_s() -> float:
    """Return the time that curio's kernel schedules by, in seconds; tests pause and advance it."""
    now_s: float = curio.kernel.time.monotonic()
    return now_s
