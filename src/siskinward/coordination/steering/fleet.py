"""Membership of the entry VMs: which of them are alive, by heartbeats that each sends to all."""

from __future__ import annotations

from enum import IntEnum
from math import inf
from typing import TYPE_CHECKING

from attrs import define
from attrs import evolve
from attrs import field
from attrs import frozen

from siskinward.coordination.steering.crash_guard import LossAges
from siskinward.coordination.steering.hashing import rendezvous_score
from siskinward.coordination.steering.rows import Position
from siskinward.coordination.steering.target_limits import LimitReport
from siskinward.coordination.steering.targets import WarmupReport
from siskinward.coordination.steering.warm_targets import WarmPair
from siskinward.state.identifiers import AccountName
from siskinward.state.identifiers import DomainName
from siskinward.state.identifiers import IncarnationId
from siskinward.state.identifiers import RegionName
from siskinward.state.identifiers import VmName

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Iterator


class VmState(IntEnum):
    """Lifecycle state of a VM; only a ready VM accepts requests."""

    STARTING = 0
    READY = 1
    LEAVING = 2


@frozen
class EntryVm:
    """Identity of one process of an entry VM, its address, and the bandwidth of its link."""

    vm: VmName
    incarnation: IncarnationId
    host: str
    front_port: int
    failure_domain: DomainName
    region: RegionName
    link_mbps: float = 0.0


@frozen
class Heartbeat:
    """State that a VM sends to all others.

    ``number`` is a sequence number that counts heartbeats and load reports. ``positions`` are the
    content positions of the VM's table copies, ``held`` the numbers of rows that it holds against
    the store's, and ``ages_s`` the time since the store last confirmed each copy. ``in_flight``
    counts the VM's requests at targets, by ``short_id`` of the target's name. ``demand_per_s`` is
    the request rate of each client account at this VM. ``crashing_requests`` counts the targets
    lost to a request, by its fingerprint; ``losses`` says which targets these are and how long ago
    each was lost, and ``answered_requests`` how long ago such a request was answered. ``warm``
    names objects that began to run at targets.
    ``slow`` counts by target's ``short_id`` the latest runs that were slow. ``limits`` are the rate
    limits that the VM heard from targets, ``warmups`` the warm-up times that its probes found.
    ``leaving`` are the starts of targets that told the VM that they leave, by their ``start_id``.
    ``is_cut_off`` says that it reaches no target, ``is_store_lost`` that its reads of the store
    fail.
    """

    sender: EntryVm
    number: int
    state: VmState
    positions: dict[str, Position] = field(factory=dict)
    ages_s: dict[str, float] = field(factory=dict)
    in_flight: dict[int, int] = field(factory=dict)
    demand_per_s: dict[AccountName, float] = field(factory=dict)
    crashing_requests: dict[str, int] = field(factory=dict)
    losses: dict[str, LossAges] = field(factory=dict)
    answered_requests: dict[str, float] = field(factory=dict)
    held: dict[str, int] = field(factory=dict)
    warm: tuple[WarmPair, ...] = ()
    slow: dict[int, int] = field(factory=dict)
    limits: tuple[LimitReport, ...] = ()
    warmups: tuple[WarmupReport, ...] = ()
    leaving: tuple[int, ...] = ()
    is_cut_off: bool = False
    is_store_lost: bool = False


@frozen
class LoadReport:
    """The fields of a heartbeat that change often, sent between heartbeats."""

    incarnation: IncarnationId
    number: int
    positions: dict[str, Position] = field(factory=dict)
    ages_s: dict[str, float] = field(factory=dict)
    in_flight: dict[int, int] = field(factory=dict)
    warm: tuple[WarmPair, ...] = ()
    slow: dict[int, int] = field(factory=dict)
    limits: tuple[LimitReport, ...] = ()
    warmups: tuple[WarmupReport, ...] = ()
    leaving: tuple[int, ...] = ()
    is_cut_off: bool = False
    is_store_lost: bool = False


@frozen
class FleetSettings:
    """Rates and timeouts of heartbeats, and of the load reports between them.

    Every ``reports_per_heartbeat``-th message is a full heartbeat; VMs of other regions receive
    every ``reports_per_remote_report``-th report.

    Each VM sends to all others, so beyond ``full_rate_vms`` VMs the interval grows with their
    number. An unreachable VM that the store lists, or that was reachable before, keeps its share of
    divided limits for ``reservation_s``, since it may be partitioned and still serve requests.
    Limits treat a VM as partitioned after ``suspect_after_heartbeats`` missing heartbeats, before
    it times out. Until the store's list of VMs has been read, ``assumed_vms_per_domain`` VMs are
    assumed in each failure domain.
    """

    interval_s: float = 0.2
    reports_per_heartbeat: int = 5
    reports_per_remote_report: int = 2
    full_rate_vms: int = 12
    max_interval_s: float = 1.0
    timeout_heartbeats: float = 5.0
    suspect_after_heartbeats: float = 2.5
    min_timeout_s: float = 1.2
    reservation_s: float = 60.0
    assumed_vms_per_domain: int = 2


@define
class _Peer:
    identity: EntryVm
    last_received_s: float = -inf
    listed_s: float = -inf
    heartbeat: Heartbeat | None = None


class Fleet:
    """The other VMs, as known from the store and from their heartbeats."""

    def __init__(self, own: EntryVm, settings: FleetSettings, domains: int) -> None:
        self.own = own
        self.state = VmState.STARTING
        self.is_membership_loaded = False
        self._assumed_vm_count = domains * settings.assumed_vms_per_domain
        self.settings = settings
        self._peers: dict[VmName, _Peer] = {}
        self._by_incarnation: dict[IncarnationId, _Peer] = {}

    @property
    def interval_s(self) -> float:
        """Time between two messages of this VM: heartbeats or load reports."""
        settings = self.settings
        scale = (len(self._peers) + 1) / settings.full_rate_vms
        return min(settings.max_interval_s, settings.interval_s * max(1.0, scale))

    @property
    def timeout_s(self) -> float:
        """Time without a message after which a VM no longer counts as alive."""
        silence_s = self.settings.timeout_heartbeats * self.interval_s
        return max(self.settings.min_timeout_s, silence_s)

    @property
    def _suspect_timeout_s(self) -> float:
        return self.settings.suspect_after_heartbeats * self.interval_s

    def add_peers(self, vms: Iterable[EntryVm], now_s: float) -> None:
        """Add VMs that the store lists; they count as alive once a heartbeat arrives."""
        for vm in vms:
            if vm.vm != self.own.vm and vm.vm not in self._peers:
                self._peers[vm.vm] = _Peer(vm, listed_s=now_s)

    def on_membership_loaded(self) -> None:
        """Stop assuming unlisted VMs: all that the store lists have been added."""
        self.is_membership_loaded = True
        self._assumed_vm_count = 0

    def on_heartbeat(self, heartbeat: Heartbeat, now_s: float) -> bool:
        """Record a heartbeat; return whether its sender was unknown or timed out before."""
        sender = heartbeat.sender
        if sender.vm == self.own.vm:
            return False
        peer = self._peers.get(sender.vm)
        if peer is None or peer.identity.incarnation != sender.incarnation:
            if peer is not None:
                self._by_incarnation.pop(peer.identity.incarnation, None)
            peer = self._peers[sender.vm] = _Peer(sender)
        elif peer.heartbeat is not None and heartbeat.number <= peer.heartbeat.number:
            return False
        self._by_incarnation[sender.incarnation] = peer
        was_unreachable = now_s - peer.last_received_s > self.timeout_s
        peer.heartbeat = heartbeat
        peer.last_received_s = now_s
        return was_unreachable

    def on_report(self, report: LoadReport, now_s: float) -> Heartbeat | None:
        """Record a load report and return the sender's heartbeat, updated by it.

        Return None if no heartbeat of the sender's process has arrived, or if the report is older
        than the last message.
        """
        peer = self._by_incarnation.get(report.incarnation)
        if peer is None or peer.heartbeat is None or report.number <= peer.heartbeat.number:
            return None
        peer.heartbeat = evolve(
            peer.heartbeat,
            number=report.number,
            positions=report.positions,
            ages_s=report.ages_s,
            in_flight=report.in_flight,
            slow=report.slow,
            is_cut_off=report.is_cut_off,
            is_store_lost=report.is_store_lost,
        )
        peer.last_received_s = now_s
        return peer.heartbeat

    def all_peers(self) -> list[EntryVm]:
        """Return all other known VMs, reachable or not."""
        return [peer.identity for peer in self._peers.values()]

    def live(self, now_s: float) -> list[EntryVm]:
        """Return the reachable VMs and this one."""
        return [self.own, *(peer.identity for peer in self._reachable_peers(now_s))]

    def heartbeats(self, now_s: float) -> list[Heartbeat]:
        """Return the latest heartbeat of each other live VM."""
        return [
            peer.heartbeat for peer in self._reachable_peers(now_s) if peer.heartbeat is not None
        ]

    def ready(self, now_s: float) -> list[EntryVm]:
        """Return the live VMs that accept requests."""
        vms = [
            heartbeat.sender
            for heartbeat in self.heartbeats(now_s)
            if heartbeat.state is VmState.READY
        ]
        if self.state is VmState.READY:
            vms.append(self.own)
        return vms

    def is_cut_off(self, vm: VmName) -> bool:
        """Return whether another VM says that it reaches no target."""
        peer = self._peers.get(vm)
        return peer is not None and peer.heartbeat is not None and peer.heartbeat.is_cut_off

    def rank(self, now_s: float) -> int:
        """Return this VM's rank among the live ones that reach the store, as far as they say.

        VMs with the same view agree on all ranks, but for those that do not reach the store.
        The first VM of each failure domain comes before the second of any, so that the loss of a
        failure domain does not take all leading VMs; among these, wider links come first.
        """
        count_by_domain: dict[DomainName, int] = {}
        order: list[tuple[int, float, VmName]] = []
        for vm in sorted(self._reaching_store(now_s), key=lambda vm: (-vm.link_mbps, vm.vm)):
            place = count_by_domain.get(vm.failure_domain, 0)
            count_by_domain[vm.failure_domain] = place + 1
            order.append((place, -vm.link_mbps, vm.vm))
        return [name for _, _, name in sorted(order)].index(self.own.vm)

    def _reaching_store(self, now_s: float) -> list[EntryVm]:
        """Return the live VMs but those whose reads of the store fail; always with this one."""
        others = [item.sender for item in self.heartbeats(now_s) if not item.is_store_lost]
        return [self.own, *others]

    def owner_of(self, key: str, now_s: float) -> EntryVm:
        """Return the live VM that rendezvous hashing selects for a key."""
        return max(self.live(now_s), key=lambda vm: rendezvous_score(key, vm.vm))

    def presumed_vm_count(self, now_s: float) -> int:
        """Return the number of VMs that may be using divided limits, partitioned ones included."""
        return max(
            self._assumed_vm_count,
            1 + sum(self._is_presumed_serving(peer, now_s) for peer in self._peers.values()),
        )

    def unsuspected_vm_count(self, now_s: float) -> int:
        """Return the number of VMs, this one included, without missing heartbeats."""
        since_s = now_s - self._suspect_timeout_s
        return 1 + sum(peer.last_received_s > since_s for peer in self._peers.values())

    def suspected_since_s(self, vm: VmName, now_s: float) -> float | None:
        """Return when another VM became suspect; None if it is not, or is unknown."""
        peer = self._peers.get(vm)
        if peer is None:
            return None
        since_s = peer.last_received_s + self._suspect_timeout_s
        return since_s if since_s <= now_s else None

    def has_majority(self, now_s: float) -> bool:
        """Return whether this VM reaches a majority: it is on the larger side of any partition."""
        reachable = 1 + sum(1 for _ in self._reachable_peers(now_s))
        return reachable * 2 > self.presumed_vm_count(now_s)

    def _is_presumed_serving(self, peer: _Peer, now_s: float) -> bool:
        has_left = peer.heartbeat is not None and peer.heartbeat.state is VmState.LEAVING
        if has_left and now_s - peer.last_received_s > self.timeout_s:
            return False
        return now_s - max(peer.last_received_s, peer.listed_s) < self.settings.reservation_s

    def _reachable_peers(self, now_s: float) -> Iterator[_Peer]:
        timeout_s = self.timeout_s
        return (peer for peer in self._peers.values() if now_s - peer.last_received_s < timeout_s)
