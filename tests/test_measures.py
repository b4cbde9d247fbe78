"""A short, light run is served completely by the system and the baseline, and counts add up."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import pytest

from siskinward.measures import LoadPlan
from siskinward.measures import MeasureSettings
from siskinward.measures import measure_baseline
from siskinward.measures import measure_system
from siskinward.measures import render_html
from siskinward.measures import render_text
from siskinward.state.configuration import load_configuration

EXAMPLE = Path(__file__).parents[1] / "examples" / "orgonahaz.ini"
PLAN = LoadPlan(level=0.2, duration_s=2.0, service_time_s=0.1)


@pytest.mark.parametrize("run", [measure_system, measure_baseline])
def test_measures_of_a_light_load_serve_everything(paused_kernel: Any, run: Any) -> None:
    configuration = load_configuration(EXAMPLE).ok
    result = paused_kernel.run(run, MeasureSettings("orgonahaz"), configuration, PLAN)
    assert result.served_count == result.offered_count > 0
    assert sum(item.count for item in result.latencies) == result.served_count
    assert (result.worst_served_share, result.wrongful_share) == (1.0, 0.0)
    assert 0.0 < result.headroom < 1.0
    assert "headroom" in render_text([result])
    assert "<table>" in render_html([result])
