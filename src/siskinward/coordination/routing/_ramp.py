"""Share of its slots that something newly up may use."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from siskinward.coordination.routing.settings import RoutingSettings


def ramp_share(settings: RoutingSettings, *, up_since_s: float, now_s: float) -> float:
    """Rises from the start share to one while the ramp lasts."""
    if settings.ramp_s <= 0:
        return 1.0
    progress = (now_s - up_since_s) / settings.ramp_s
    start = settings.ramp_start_share
    return min(1.0, start + (1.0 - start) * max(0.0, progress))
