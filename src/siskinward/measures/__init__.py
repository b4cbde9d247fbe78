"""Measures a deployment under load: latency, headroom, drain time, fairness, wrongful refusals.

The same load is also run with callers that choose targets at random, as a baseline.
"""

from __future__ import annotations

from siskinward.measures._load import LoadPlan
from siskinward.measures._report import render_html
from siskinward.measures._report import render_text
from siskinward.measures._results import Measures
from siskinward.measures._runs import MeasureSettings
from siskinward.measures._runs import measure_baseline
from siskinward.measures._runs import measure_system

__all__ = [
    "LoadPlan",
    "MeasureSettings",
    "Measures",
    "measure_baseline",
    "measure_system",
    "render_html",
    "render_text",
]
