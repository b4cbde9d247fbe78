"""Replays recorded traces and checks the results against expectations."""

from __future__ import annotations

from siskinward.standins.replay._expectations import Violation
from siskinward.standins.replay._expectations import find_violations
from siskinward.standins.replay._expectations import load_expectations
from siskinward.standins.replay._runner import ReplayResult
from siskinward.standins.replay._runner import replay
from siskinward.standins.replay._trace import Trace
from siskinward.standins.replay._trace import load_trace

__all__ = [
    "ReplayResult",
    "Trace",
    "Violation",
    "find_violations",
    "load_expectations",
    "load_trace",
    "replay",
]
