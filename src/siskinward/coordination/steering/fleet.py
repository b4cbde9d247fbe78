"""Which entry VMs are alive, by heartbeats that each sends to all others."""

from __future__ import annotations

from enum import IntEnum
from math import inf
from typing import TYPE_CHECKING

from attrs import define
from attrs import evolve
from attrs import field
from attrs import frozen

from siskinward.coordination.steering.hashing import rendezvous_score
from siskinward.state.identifiers import AccountName
from siskinward.state.identifiers import DomainName
from siskinward.state.identifiers import IncarnationId
from siskinward.state.identifiers import RegionName
from siskinward.state.identifiers import VmName

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Iterator


class VmState(IntEnum):
    """Whether a VM takes requests."""

    STARTING = 0
    READY = 1
    LEAVING = 2


@frozen
class EntryVm:
    """One start of an entry VM, where it is reached, and how much its link carries."""

    vm: VmName
    incarnation: IncarnationId
    host: str
    front_port: int
    failure_domain: DomainName
    region: RegionName
    link_mbps: float = 0.0


@frozen
class Heartbeat:
    """What a VM tells all others.

    ``positions`` says up to where it knows each table, and ``ages_s`` how long ago the store
    vouched for that. ``in_flight`` counts its requests at targets by their ``short_id``,
    ``demand_per_s`` the requests of client accounts, and ``crashing_requests`` are fingerprints of
    requests that crash targets.
    """

    sender: EntryVm
    number: int
    state: VmState
    positions: dict[str, int] = field(factory=dict)
    ages_s: dict[str, float] = field(factory=dict)
    in_flight: dict[int, int] = field(factory=dict)
    demand_per_s: dict[AccountName, float] = field(factory=dict)
    crashing_requests: dict[str, int] = field(factory=dict)


@frozen
class LoadReport:
    """What changes from one heartbeat to the next, sent between them."""

    incarnation: IncarnationId
    number: int
    positions: dict[str, int] = field(factory=dict)
    ages_s: dict[str, float] = field(factory=dict)
    in_flight: dict[int, int] = field(factory=dict)


@frozen
class FleetSettings:
    """Pace of heartbeats, and of the load reports between them.

    A whole heartbeat is every ``reports_per_heartbeat``-th message; VMs of other regions get every
    ``reports_per_remote_report``-th report.

    Each VM sends to all others, so the interval grows with their number beyond
    ``full_pace_vms``. A VM that the store names or that was heard before, and is silent, keeps its
    part of divided limits for ``reserve_s``: it may be cut off and go on serving. Limits count a VM
    as cut off already after ``suspected_heartbeats`` that are missing. Before the store has named
    the others, there may be ``unknown_vms_per_domain`` in each failure domain.
    """

    interval_s: float = 0.2
    reports_per_heartbeat: int = 5
    reports_per_remote_report: int = 2
    full_pace_vms: int = 12
    max_interval_s: float = 1.0
    missed_heartbeats: float = 5.0
    suspected_heartbeats: float = 2.5
    min_timeout_s: float = 1.2
    reserve_s: float = 60.0
    unknown_vms_per_domain: int = 2


@define
class _Peer:
    identity: EntryVm
    last_heard_s: float = -inf
    named_s: float = -inf
    heartbeat: Heartbeat | None = None


class Fleet:
    """The other VMs as known from the store, seeds and heartbeats."""

    def __init__(self, own: EntryVm, settings: FleetSettings, domains: int) -> None:
        self.own = own
        self.state = VmState.STARTING
        self._assumed = domains * settings.unknown_vms_per_domain
        self.settings = settings
        self._peers: dict[VmName, _Peer] = {}
        self._introduced: dict[IncarnationId, _Peer] = {}

    @property
    def interval_s(self) -> float:
        """Time between two heartbeats to the same VM."""
        settings = self.settings
        scale = (len(self._peers) + 1) / settings.full_pace_vms
        return min(settings.max_interval_s, settings.interval_s * max(1.0, scale))

    @property
    def timeout_s(self) -> float:
        """Silence after which a VM is not taken for alive."""
        silence_s = self.settings.missed_heartbeats * self.interval_s
        return max(self.settings.min_timeout_s, silence_s)

    @property
    def _suspicion_s(self) -> float:
        return self.settings.suspected_heartbeats * self.interval_s

    def add_peers(self, vms: Iterable[EntryVm], now_s: float) -> None:
        """Note VMs that the store names; they count as alive once they are heard."""
        for vm in vms:
            if vm.vm != self.own.vm and vm.vm not in self._peers:
                self._peers[vm.vm] = _Peer(vm, named_s=now_s)

    def on_membership_loaded(self) -> None:
        """Note that the store has named all other VMs."""
        self._assumed = 0

    def on_heartbeat(self, heartbeat: Heartbeat, now_s: float) -> bool:
        """Take a heartbeat in; True if its sender was not known to be alive."""
        sender = heartbeat.sender
        if sender.vm == self.own.vm:
            return False
        peer = self._peers.get(sender.vm)
        if peer is None or peer.identity.incarnation != sender.incarnation:
            if peer is not None:
                self._introduced.pop(peer.identity.incarnation, None)
            peer = self._peers[sender.vm] = _Peer(sender)
        elif peer.heartbeat is not None and heartbeat.number <= peer.heartbeat.number:
            return False
        self._introduced[sender.incarnation] = peer
        is_news = now_s - peer.last_heard_s > self.timeout_s
        peer.heartbeat = heartbeat
        peer.last_heard_s = now_s
        return is_news

    def on_report(self, report: LoadReport, now_s: float) -> Heartbeat | None:
        """Take a load report in; returns the sender's heartbeat brought up to date.

        None if the sender has not introduced itself by a heartbeat, or the report is old.
        """
        peer = self._introduced.get(report.incarnation)
        if peer is None or peer.heartbeat is None or report.number <= peer.heartbeat.number:
            return None
        peer.heartbeat = evolve(
            peer.heartbeat,
            number=report.number,
            positions=report.positions,
            ages_s=report.ages_s,
            in_flight=report.in_flight,
        )
        peer.last_heard_s = now_s
        return peer.heartbeat

    def all_peers(self) -> list[EntryVm]:
        """Every other VM that heartbeats go to."""
        return [peer.identity for peer in self._peers.values()]

    def live(self, now_s: float) -> list[EntryVm]:
        """The VMs heard lately, and this one."""
        return [self.own, *(peer.identity for peer in self._heard(now_s))]

    def heartbeats(self, now_s: float) -> list[Heartbeat]:
        """The latest heartbeat of each other live VM."""
        return [peer.heartbeat for peer in self._heard(now_s) if peer.heartbeat is not None]

    def ready(self, now_s: float) -> list[EntryVm]:
        """The live VMs that take requests."""
        vms = [beat.sender for beat in self.heartbeats(now_s) if beat.state is VmState.READY]
        if self.state is VmState.READY:
            vms.append(self.own)
        return vms

    def rank(self, now_s: float) -> int:
        """Place of this VM among the live ones, the same seen from each of them.

        The first of each failure domain come before the second of any, so that the first places
        are not lost together; among these, wide links come first.
        """
        seen: dict[DomainName, int] = {}
        order: list[tuple[int, float, VmName]] = []
        for vm in sorted(self.live(now_s), key=lambda vm: (-vm.link_mbps, vm.vm)):
            place = seen.get(vm.failure_domain, 0)
            seen[vm.failure_domain] = place + 1
            order.append((place, -vm.link_mbps, vm.vm))
        return [name for _, _, name in sorted(order)].index(self.own.vm)

    def owner_of(self, key: str, now_s: float) -> EntryVm:
        """The live VM that rendezvous hashing names for a key."""
        return max(self.live(now_s), key=lambda vm: rendezvous_score(key, vm.vm))

    def presumed_vm_count(self, now_s: float) -> int:
        """Number of VMs that may be using divided limits, those cut off included."""
        return max(
            self._assumed, 1 + sum(self._counts(peer, now_s) for peer in self._peers.values())
        )

    def unsuspected(self, now_s: float) -> int:
        """Number of VMs, this one included, of which no heartbeats are missing."""
        since_s = now_s - self._suspicion_s
        return 1 + sum(peer.last_heard_s > since_s for peer in self._peers.values())

    def suspected_since_s(self, vm: VmName, now_s: float) -> float | None:
        """When heartbeats of another VM began to be missing; None while they arrive."""
        peer = self._peers.get(vm)
        if peer is None:
            return None
        since_s = peer.last_heard_s + self._suspicion_s
        return since_s if since_s <= now_s else None

    def has_majority(self, now_s: float) -> bool:
        """Whether this VM is on the larger side of any cut."""
        heard = 1 + sum(1 for _ in self._heard(now_s))
        return heard * 2 > self.presumed_vm_count(now_s)

    def _counts(self, peer: _Peer, now_s: float) -> bool:
        has_left = peer.heartbeat is not None and peer.heartbeat.state is VmState.LEAVING
        if has_left and now_s - peer.last_heard_s > self.timeout_s:
            return False
        return now_s - max(peer.last_heard_s, peer.named_s) < self.settings.reserve_s

    def _heard(self, now_s: float) -> Iterator[_Peer]:
        timeout_s = self.timeout_s
        return (peer for peer in self._peers.values() if now_s - peer.last_heard_s < timeout_s)
