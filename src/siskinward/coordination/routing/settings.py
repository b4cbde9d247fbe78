"""Routing settings."""

from __future__ import annotations

from attrs import frozen


@frozen
class RoutingSettings:
    """How a VM chooses where a request runs.

    The weight of a load report falls from one to zero over ``report_lifetime_s``; an unknown load
    is estimated as ``assumed_utilisation``. A destination or target that is newly up starts with
    ``ramp_start_share`` of its slots and reaches all of them after ``ramp_s``. A prediction is
    wrong if the request took more than ``tolerance_factor`` times as long plus ``tolerance_s``;
    each wrong prediction multiplies the weight of reports by ``confidence_decay``.
    ``contention_share`` is the part of a service time that a request at a full destination is
    expected to take beyond the backlog. ``link_share`` is the part of a link that forwarded
    requests may use.
    """

    report_lifetime_s: float = 3.0
    assumed_utilisation: float = 0.7
    ramp_s: float = 10.0
    ramp_start_share: float = 0.2
    smoothing: float = 0.1
    tolerance_factor: float = 2.0
    tolerance_s: float = 0.02
    confidence_decay: float = 0.5
    contention_share: float = 0.2
    max_backoff_s: float = 1.0
    suspend_s: float = 0.5
    max_suspend_s: float = 30.0
    sampled_domains: int = 2
    link_share: float = 0.8
    link_burst_s: float = 0.5
    initial_service_s: float = 0.02
    initial_answer_bytes: int = 4096
