"""Figures of one run."""

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
    """The brief's measures for one deployment at one load.

    ``level`` is offered reads over what the slots can run. ``headroom`` is the share of slots free
    in 99 of 100 samples. ``worst_served_share`` is that of the worst-served client account among
    those inside their rate. ``wrongful_share`` is wrongful refusals over requests inside the rate.
    ``drain_s`` is the time from publishing a target's drain to the end of its last request, or
    negative where nothing was drained.
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
