"""Settings of planned shifts."""

from __future__ import annotations

from attrs import frozen


@frozen
class PlannerSettings:
    """How traffic is moved between failure domains.

    A move takes effect between its publication and ``publish_s`` plus ``answer_ttl_s`` later, when
    the last caller's cached answer has expired. ``cold_inflow_share`` is the largest share of a
    domain's capacity that may start moving to it within ``cold_interval_s``. A cell stays at its
    domain unless another one has a latency lower by more than ``stickiness_s``. Measurements
    older than ``freeze_after_s`` are stale. The ``default_`` values apply to services without a
    shift cap.
    """

    answer_ttl_s: float = 10.0
    publish_s: float = 5.0
    freeze_after_s: float = 15.0
    cold_inflow_share: float = 0.25
    cold_interval_s: float = 30.0
    stickiness_s: float = 0.005
    default_share_limit: float = 0.1
    default_interval_s: float = 60.0
