"""Results of one run."""

from __future__ import annotations

from attrs import frozen


@frozen
class ServiceLatency:
    """Latency of the answered requests of one service."""

    service: str
    count: int
    p50_ms: float
    p99_ms: float
    p999_ms: float


@frozen
class Measures:
    """Measures of one deployment at one load.

    ``way`` names how targets were chosen. ``level`` is the rate of offered reads divided by the
    capacity of the slots. ``headroom`` is the share of slots that was free in at least 99 of 100
    samples.
    ``worst_served_share`` is the served share of the worst-served client account among those
    within their rate, or among all if there are none. ``wrongful_share`` is the number of wrongful
    refusals divided by that of requests within the rate. ``drain_s`` is the time from publishing
    a target's drain to the end of its last request, or negative if nothing was drained.
    """

    deployment: str
    way: str
    level: float
    latencies: tuple[ServiceLatency, ...]
    served_count: int
    offered_count: int
    headroom: float
    drain_s: float
    worst_served_account: str
    worst_served_share: float
    wrongful_share: float
