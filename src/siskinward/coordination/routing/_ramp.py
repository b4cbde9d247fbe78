"""Slow start: the share of slots that a destination or target may use when newly up."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from siskinward.coordination.routing.settings import RoutingSettings


def ramp_share(settings: RoutingSettings, *, up_since_s: float, now_s: float) -> float:
    """Return a share that rises linearly from ``ramp_start_share`` to one during ``ramp_s``."""
    if settings.ramp_s <= 0:
        return 1.0
    progress = (now_s - up_since_s) / settings.ramp_s
    start = settings.ramp_start_share
    return min(1.0, start + (1.0 - start) * max(0.0, progress))
