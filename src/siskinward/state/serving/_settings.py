"""Settings of an entry VM's process."""

from __future__ import annotations

from attrs import field
from attrs import frozen

from siskinward.state.identifiers import DomainName
from siskinward.state.identifiers import RegionName
from siskinward.state.identifiers import VmName


@frozen
class ListenAddress:
    """Host and port of one interface."""

    host: str
    port: int


@frozen
class ServingBounds:
    """Limits that the deployment's operators require the system to keep.

    ``settling_s`` is how long a VM must have been undisturbed before time bounds apply to it.
    """

    settling_s: float = 3.0
    drain_s: float = 2.0
    grace_s: float = 6.0
    configuration_s: float = 2.0
    retry_ratio: float = 0.2
    retry_window_s: float = 10.0
    retry_slack_requests: float = 50.0
    quota_window_s: float = 5.0
    quota_overshoot: float = 0.1
    quota_slack_requests: float = 20.0
    warmup_overshoot: float = 1.5
    warmup_slack_requests: float = 5.0
    answer_lifetime_s: float = 5.0
    shift_share: float = 0.15


@frozen
class EntrySettings:
    """Identity of this process, its listen addresses, and the addresses of its peers and the store.

    ``peer_seeds`` are hosts that may run an entry VM; the list may be stale.
    """

    vm: VmName
    host: str
    failure_domain: DomainName
    region: RegionName
    front: ListenAddress
    readiness: ListenAddress
    directory: ListenAddress
    metrics: ListenAddress
    peer_port: int
    store: ListenAddress
    domain_regions: dict[DomainName, RegionName]
    peer_seeds: tuple[str, ...] = ()
    target_heartbeat_s: float = 1.5
    link_mbps: float = 0.0
    bounds: ServingBounds = field(factory=ServingBounds)
