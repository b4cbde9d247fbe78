"""Fleets, targets and accounts for tests of the steering decisions."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from siskinward.coordination.steering.fleet import EntryVm
from siskinward.coordination.steering.fleet import Fleet
from siskinward.coordination.steering.fleet import FleetSettings
from siskinward.coordination.steering.fleet import Heartbeat
from siskinward.coordination.steering.fleet import VmState
from siskinward.coordination.steering.limit_pauses import LimitPauses
from siskinward.coordination.steering.limit_tokens import LimitTokenIssuer
from siskinward.coordination.steering.limit_tokens import LimitTokenSettings
from siskinward.coordination.steering.target_limits import TargetLimits
from siskinward.state.identifiers import AccountName
from siskinward.state.identifiers import DomainName
from siskinward.state.identifiers import IncarnationId
from siskinward.state.identifiers import RegionName
from siskinward.state.identifiers import ServiceName
from siskinward.state.identifiers import TargetName
from siskinward.state.identifiers import VmName
from siskinward.state.serving import AccountPolicy
from siskinward.state.serving import TargetRecord

if TYPE_CHECKING:
    from siskinward.coordination.steering.placement import Placed
    from siskinward.coordination.steering.placement import Placement
    from siskinward.coordination.steering.placement import PlacementRequest

SERVICE = ServiceName("listings")
REGION = RegionName("north")
DOMAIN = DomainName("north-1")


def entry_vm(number: int, *, incarnation: str = "a", region: RegionName = REGION) -> EntryVm:
    """Return the identity of a VM."""
    name = VmName(f"vm-{number:03}")
    host = f"10.0.0.{number}"
    return EntryVm(name, IncarnationId(f"{name}/{incarnation}"), host, 80, DOMAIN, region)


def heartbeat(vm: EntryVm, number: int = 1, **fields: Any) -> Heartbeat:
    """Return a heartbeat, by default of a ready VM."""
    return Heartbeat(vm, number, fields.pop("state", VmState.READY), **fields)


def fleet_of(count: int, *, own: int = 0, now_s: float = 0.0) -> Fleet:
    """Return a fleet as seen by VM ``own``, after a heartbeat of each of its ``count`` VMs."""
    fleet = Fleet(entry_vm(own), FleetSettings(), domains=1)
    fleet.on_membership_loaded()
    fleet.state = VmState.READY
    for number in range(count):
        fleet.on_heartbeat(heartbeat(entry_vm(number)), now_s)
    return fleet


def unlimited_pauses(fleet: Fleet) -> LimitPauses:
    """Return the pauses of targets that state no rate limits."""
    limits = TargetLimits()
    return LimitPauses(limits, LimitTokenIssuer(LimitTokenSettings(), limits, fleet), fleet)


def record_sent(
    placement: Placement, request: PlacementRequest, placed: Placed, now_s: float
) -> Placed:
    """Record a request that is sent to a target which states no rate limit."""
    placement.reserve(placed, now_s)
    return placement.record_run(request, placed, now_s)


def account(rate_per_s: float = 40.0, burst_requests: float = 40.0) -> AccountPolicy:
    """Return a client account with a rate limit."""
    name = AccountName("parish-guild")
    return AccountPolicy(name, (), None, rate_per_s, burst_requests, frozenset())


def target_record(name: str, **fields: Any) -> TargetRecord:
    """Return the record of a target, by default a ready one with three slots."""
    defaults: dict[str, Any] = {
        "service": SERVICE,
        "host": "10.1.0.1",
        "port": 8000,
        "failure_domain": DOMAIN,
        "slots": 3,
        "is_ready": True,
        "warmup_left_s": 0.0,
        "heartbeat": 1,
        "started_ms": 1,
    }
    return TargetRecord(name=TargetName(name), **{**defaults, **fields})
