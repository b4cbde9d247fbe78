"""Settings of the membership."""

from __future__ import annotations

from attrs import frozen


@frozen
class MembershipSettings:
    """Intervals, timeouts and counts.

    A longer gap between two timers than ``stall_bound_s`` counts as a pause of the process.
    Changed digests are sent at most every ``digest_interval_s``; one digest covers all changes.
    A VM of the own failure domain that sent nothing for ``forget_after_s`` is removed.
    ``relay_count`` is the number of relays of a failure domain. With each round of heartbeats, a
    relay probes ``probe_count`` VMs of each domain that sent it no digest directly.
    """

    heartbeat_interval_s: float = 1.0
    heartbeat_timeout_s: float = 3.5
    digest_interval_s: float = 0.5
    stall_bound_s: float = 1.0
    forget_after_s: float = 60.0
    relay_count: int = 2
    probe_count: int = 2
