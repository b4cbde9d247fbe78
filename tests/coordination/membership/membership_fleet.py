"""Several memberships on one fake clock, connected by a fake network that can be partitioned."""

from __future__ import annotations

from typing import Any

from siskinward.coordination.events import Send
from siskinward.coordination.events import VmIdentity
from siskinward.coordination.membership import Membership
from siskinward.coordination.membership import MembershipSettings
from siskinward.coordination.membership import VmAddress
from siskinward.coordination.platform import ListedVm
from siskinward.state.identifiers import DomainName
from siskinward.state.identifiers import IncarnationId
from siskinward.state.identifiers import VmName

TICK_S = 0.25


class Fleet:
    def __init__(self, sizes: dict[str, int]) -> None:
        self.now_s = 100.0
        self.nodes: dict[str, Membership] = {}
        self.identities: dict[str, VmIdentity] = {}
        self.cut: frozenset[str] = frozenset()
        self.paused: set[str] = set()
        self.listed: tuple[ListedVm, ...] = tuple(
            ListedVm(VmName(f"{d}{i}"), DomainName(d), "10.0.0.1", 80, 7000 + i, False)
            for d, size in sizes.items()
            for i in range(size)
        )
        for item in self.listed:
            self.start(item.vm, item.failure_domain, f"i-{item.vm}", self.listed)

    def start(self, vm: str, domain: str, incarnation: str, listed: tuple[ListedVm, ...]) -> None:
        identity = VmIdentity(VmName(vm), DomainName(domain), IncarnationId(incarnation))
        address = VmAddress("10.0.0.1", 80, 7000)
        node = Membership(MembershipSettings(), identity, address, self.now_s)
        self.identities[vm] = identity
        self.nodes[vm] = node
        self.deliver(vm, node.on_vm_list(listed, self.now_s))

    def stop(self, vm: str) -> None:
        del self.nodes[vm]

    def reaches(self, sender: VmIdentity, to: str) -> bool:
        receiver = self.identities[to]
        crossing = (sender.failure_domain in self.cut) != (receiver.failure_domain in self.cut)
        return not crossing and to in self.nodes and to not in self.paused

    def deliver(self, vm: str, effects: list[Any]) -> None:
        sender = self.identities[vm]
        for effect in effects:
            assert isinstance(effect, Send)
            if self.reaches(sender, effect.to):
                node = self.nodes[effect.to]
                self.deliver(effect.to, node.on_message(effect.message, sender, self.now_s))

    def run(self, duration_s: float) -> None:
        end_s = self.now_s + duration_s
        while self.now_s < end_s:
            self.now_s += TICK_S
            for vm in list(self.nodes):
                if vm not in self.paused:
                    self.deliver(vm, self.nodes[vm].on_timer(self.now_s))

    def live(self, at: str, domain: str) -> list[str]:
        members = self.nodes[at].live_vms(DomainName(domain), self.now_s)
        return sorted(member.identity.vm for member in members)

    def reachable(self, at: str) -> list[str]:
        return sorted(self.nodes[at].reachable_domains(self.now_s))
