"""Simulates the share pools and issuers of a whole fleet with message delays."""

from __future__ import annotations

import heapq
from time import perf_counter
from typing import TYPE_CHECKING
from typing import Any

import msgpack
from attrs import asdict
from attrs import define
from attrs import field
from attrs import frozen

from siskinward.coordination.events import Send
from siskinward.coordination.events import VmIdentity
from siskinward.coordination.shares import AccountTokens
from siskinward.coordination.shares import IssuerHolders
from siskinward.coordination.shares import Refused
from siskinward.coordination.shares import ShareIssuer
from siskinward.coordination.shares import SharePool
from siskinward.coordination.shares import ShareSettings
from siskinward.coordination.shares import Spent
from siskinward.coordination.shares import Wait
from siskinward.state.identifiers import DomainName
from siskinward.state.identifiers import IncarnationId
from siskinward.state.identifiers import RegionName
from siskinward.state.identifiers import VmName
from siskinward.state.objects import ClientAccount
from siskinward.state.objects import Configuration
from siskinward.state.objects import FailureDomain

if TYPE_CHECKING:
    from collections.abc import Callable

TIMER_INTERVAL_S = 0.02
DETECTION_S = 1.0
TAKEOVER_S = 2.0


@frozen
class Layout:
    """Size and one-way latencies of a deployment."""

    name: str
    vms: int
    domains: int
    regions: int
    same_domain_s: float
    same_region_s: float
    between_regions_s: float


@define
class Member:
    """One VM with its share pool and share issuer."""

    own: VmIdentity
    region: RegionName
    pool: SharePool
    issuer: ShareIssuer
    alive: bool = True


@define
class Tally:
    """Counters of one measurement."""

    offered: int = 0
    refused: int = 0
    refused_in_cut: int = 0
    waits_s: list[float] = field(factory=list)
    messages: int = 0
    wire_bytes: int = 0
    spends: int = 0
    spend_cpu_s: float = 0.0
    handled: int = 0
    handle_cpu_s: float = 0.0
    timer_cpu_s: float = 0.0


def make_configuration(layout: Layout, accounts: list[ClientAccount]) -> Configuration:
    """Return a configuration whose failure domains are assigned to the regions round robin."""
    domains = {
        DomainName(f"domain{number:02}"): RegionName(f"region{number % layout.regions}")
        for number in range(layout.domains)
    }
    return Configuration(
        failure_domains={name: FailureDomain(name, region) for name, region in domains.items()},
        client_accounts={account.name: account for account in accounts},
    )


class ShareFleet:
    """All share pools and share issuers, driven by one event queue."""

    def __init__(
        self, layout: Layout, accounts: list[ClientAccount], settings: ShareSettings
    ) -> None:
        self.layout = layout
        self.settings = settings
        self.configuration = make_configuration(layout, accounts)
        self.now_s = 0.0
        self.tally = Tally()
        self.cut: DomainName | None = None
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = 0
        self._waiting: dict[tuple[VmName, int], tuple[float, bool]] = {}
        self.members = [self._member(number) for number in range(layout.vms)]
        self.by_name = {member.own.vm: member for member in self.members}
        self.holders: dict[DomainName, VmName] = {}
        for member in self.members:
            self.holders.setdefault(member.own.failure_domain, member.own.vm)
        for member in self.members:
            self._start(member)

    def schedule(self, time_s: float, action: Callable[[], None]) -> None:
        """Schedule an action at ``time_s``."""
        self._sequence += 1
        heapq.heappush(self._events, (time_s, self._sequence, action))

    def run_until(self, end_s: float) -> None:
        """Run all actions that are due by ``end_s``."""
        while self._events and self._events[0][0] <= end_s:
            self.now_s, _, action = heapq.heappop(self._events)
            action()
        self.now_s = end_s

    def offer(self, account: ClientAccount, number: int, *, counted: bool) -> None:
        """Send one request to a VM, or to the next live one if it is dead."""
        while not self.members[number].alive:
            number = (number + 1) % len(self.members)
        member = self.members[number]
        started = perf_counter()
        outcome = member.pool.reserve(AccountTokens(account.name), 1, self.now_s)
        self.tally.spend_cpu_s += perf_counter() - started
        self.tally.spends += 1
        self.tally.offered += counted
        match outcome:
            case Wait():
                self._waiting[member.own.vm, outcome.reservation] = (self.now_s, counted)
            case Refused():
                self._refuse(member, counted)
            case Spent():
                pass
        self._send(member, member.pool.take_effects())

    def kill(self, number: int) -> None:
        """Kill a VM; a live VM of its failure domain, if any, takes over its issuer role."""
        killed = self.members[number]
        killed.alive = False
        domain = killed.own.failure_domain
        if self.holders.get(domain) != killed.own.vm:
            return
        peers = [
            member
            for member in self.members
            if member.alive and member.own.failure_domain == domain
        ]
        self.schedule(self.now_s + DETECTION_S, lambda: self._announce_holder(domain, None))
        if peers:
            self.schedule(self.now_s + TAKEOVER_S, lambda: self._take_over(peers[0]))

    def _take_over(self, member: Member) -> None:
        member.issuer.on_grant(True, 2, self.now_s)
        self._announce_holder(member.own.failure_domain, member.own.vm)

    def _announce_holder(self, domain: DomainName, vm: VmName | None) -> None:
        self.holders.pop(domain, None)
        if vm is not None:
            self.holders[domain] = vm
        for member in self.members:
            effects = member.pool.on_issuer_holders(IssuerHolders(dict(self.holders)), self.now_s)
            self._send(member, effects)

    def _member(self, number: int) -> Member:
        domains = list(self.configuration.failure_domains.values())
        domain = domains[number % len(domains)]
        own = VmIdentity(VmName(f"vm{number:03}"), domain.name, IncarnationId("1"))
        pool = SharePool(self.settings, own)
        return Member(own, domain.region, pool, ShareIssuer(self.settings, own))

    def _start(self, member: Member) -> None:
        member.pool.on_configuration(self.configuration, 0.0)
        member.pool.on_issuer_holders(IssuerHolders(dict(self.holders)), 0.0)
        member.issuer.on_configuration(self.configuration, 0.0)
        if self.holders[member.own.failure_domain] == member.own.vm:
            member.issuer.on_grant(True, 1, 0.0)
        # Stagger the timers of the VMs, as in a real fleet.
        offset_s = TIMER_INTERVAL_S * (int(member.own.vm[2:]) * 37 % 100) / 100
        self.schedule(offset_s, lambda: self._tick(member))

    def _tick(self, member: Member) -> None:
        if not member.alive:
            return
        started = perf_counter()
        effects = member.pool.on_timer(self.now_s)
        member.issuer.on_timer(self.now_s)
        self.tally.timer_cpu_s += perf_counter() - started
        self._record_settlements(member)
        self._send(member, effects)
        self.schedule(self.now_s + TIMER_INTERVAL_S, lambda: self._tick(member))

    def _send(self, member: Member, effects: list[Any]) -> None:
        for effect in effects:
            assert isinstance(effect, Send)
            receiver = self.by_name[effect.to]
            if receiver is not member:
                self.tally.messages += 1
                self.tally.wire_bytes += _wire_size(effect.message)
            due_s = self.now_s + self._latency_s(member, receiver)
            self.schedule(due_s, self._delivery(member, receiver, effect.message))

    def _delivery(self, sender: Member, receiver: Member, message: Any) -> Callable[[], None]:
        def deliver() -> None:
            domains = {sender.own.failure_domain, receiver.own.failure_domain}
            if not receiver.alive or (len(domains) > 1 and self.cut in domains):
                return
            started = perf_counter()
            effects = receiver.issuer.on_message(message, sender.own, self.now_s)
            effects += receiver.pool.on_message(message, sender.own, self.now_s)
            self.tally.handle_cpu_s += perf_counter() - started
            self.tally.handled += 1
            self._record_settlements(receiver)
            self._send(receiver, effects)

        return deliver

    def _record_settlements(self, member: Member) -> None:
        for settlement in member.pool.take_settlements():
            since_s, counted = self._waiting.pop((member.own.vm, settlement.reservation))
            if not isinstance(settlement.outcome, Spent):
                self._refuse(member, counted)
            elif counted:
                self.tally.waits_s.append(self.now_s - since_s)

    def _refuse(self, member: Member, counted: bool) -> None:
        self.tally.refused += counted
        if member.own.failure_domain == self.cut:
            self.tally.refused_in_cut += counted

    def _latency_s(self, sender: Member, receiver: Member) -> float:
        if sender is receiver:
            return 0.0
        if sender.own.failure_domain == receiver.own.failure_domain:
            return self.layout.same_domain_s
        if sender.region == receiver.region:
            return self.layout.same_region_s
        return self.layout.between_regions_s


def _wire_size(message: Any) -> int:
    return len(msgpack.packb([type(message).__name__, asdict(message)]))
