"""Settings of routing."""

from __future__ import annotations

from attrs import frozen


@frozen
class RoutingSettings:
    """How a VM chooses where a request runs.

    A load report counts in full when new and not at all after ``report_lifetime_s``; what is not
    known is taken as ``assumed_utilisation``. A place, or a target, that is newly seen up starts
    with ``ramp_start_share`` of its slots and reaches all of them after ``ramp_s``. A prediction
    is wrong when the request took ``tolerance_factor`` times as long and ``tolerance_s`` more.
    ``crowding_share`` is the part of a service time that a full place is expected to cost beyond
    its backlog. ``link_share`` is the part of a link that forwarded requests may fill.
    """

    report_lifetime_s: float = 3.0
    assumed_utilisation: float = 0.7
    ramp_s: float = 10.0
    ramp_start_share: float = 0.2
    smoothing: float = 0.1
    tolerance_factor: float = 2.0
    tolerance_s: float = 0.02
    distrust_factor: float = 0.5
    crowding_share: float = 0.2
    max_backoff_s: float = 1.0
    suspend_s: float = 0.5
    max_suspend_s: float = 30.0
    sampled_domains: int = 2
    link_share: float = 0.8
    link_burst_s: float = 0.5
    initial_service_s: float = 0.02
    initial_answer_bytes: int = 4096
