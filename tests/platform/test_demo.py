"""The demo run: every check passes, and a violated promise is reported."""

from __future__ import annotations

from collections import Counter
from random import Random
from typing import Any

from siskinward.platform.standins import Site
from siskinward.platform.standins import SiteSettings
from siskinward.platform.standins import demo
from siskinward.platform.standins._target import RunRecord


def test_demo_keeps_all_promises(paused_kernel: Any) -> None:
    traffic, checks = paused_kernel.run(demo.play)
    assert [check.name for check in checks if not check.is_held] == []
    assert traffic.outcomes["200"] > 1000


def test_demo_reports_a_second_run_and_a_false_refusal() -> None:
    site = Site(SiteSettings())
    target = site.targets["bookings-bud-a-0"]
    for at_s in (1.0, 2.0):
        target.runs.append(RunRecord("a-1", "/bookings/1", "account-1", "", 100, at_s))
    traffic = demo.Traffic(site, Random(1), Counter(), {"a-1"})
    broken = [check.name for check in demo._check_runs(site, traffic) if not check.is_held]
    assert broken == ["a booking runs at most once", "refused means not run"]
