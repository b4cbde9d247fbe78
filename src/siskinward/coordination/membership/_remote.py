"""The other failure domains, known from direct digests or through relays of the own domain."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import evolve

from siskinward.coordination.events import Effect
from siskinward.coordination.events import Send
from siskinward.coordination.membership._digests import DirectView
from siskinward.coordination.membership._digests import RelayedView
from siskinward.coordination.membership._digests import merged_members
from siskinward.coordination.membership.messages import DomainSilent
from siskinward.coordination.membership.messages import HeldDigest
from siskinward.coordination.membership.messages import VmAddress

if TYPE_CHECKING:
    from collections.abc import Iterable

    from siskinward.coordination.membership._peers import Member
    from siskinward.coordination.membership._settings import MembershipSettings
    from siskinward.coordination.platform import ListedVm
    from siskinward.state.identifiers import DomainName
    from siskinward.state.identifiers import VmName


class RemoteDomains:
    """Live VMs of the other failure domains, and which VMs to probe in unreachable ones."""

    def __init__(self, settings: MembershipSettings, own_domain: DomainName) -> None:
        self._own_domain = own_domain
        self._probe_count = settings.probe_count
        self._probe_round = 0
        self._contacts: dict[DomainName, dict[VmName, VmAddress]] = {}
        self._listed_leaving: frozenset[VmName] = frozenset()
        self._live: dict[DomainName, tuple[Member, ...]] = {}
        self._addresses: dict[VmName, VmAddress] = {}
        self.direct = DirectView(settings.heartbeat_timeout_s)
        self.relayed: dict[VmName, RelayedView] = {}

    def live(self, domain: DomainName) -> tuple[Member, ...]:
        """Return the live VMs of a failure domain, sorted by incarnation."""
        return self._live.get(domain, ())

    def reachable(self) -> frozenset[DomainName]:
        """Return the reachable failure domains."""
        return frozenset(self._live)

    def address_of(self, vm: VmName) -> VmAddress | None:
        """Return the last known address of a VM."""
        if vm in self._addresses:
            return self._addresses[vm]
        for contacts in self._contacts.values():
            if vm in contacts:
                return contacts[vm]
        return None

    def on_vm_list(self, listed: tuple[ListedVm, ...]) -> None:
        """Store the addresses of the listed VMs and which of them are leaving."""
        self._contacts = {}
        for item in listed:
            address = VmAddress(item.host, item.front_port, item.peer_port)
            self._contacts.setdefault(item.failure_domain, {})[item.vm] = address
        self._listed_leaving = frozenset(item.vm for item in listed if item.leaving)
        self.refresh(tuple(self._live))

    def relayed_by(self, relay: VmName) -> RelayedView:
        """Return the digests forwarded by a relay of the own failure domain."""
        return self.relayed.setdefault(relay, RelayedView())

    def answer_view_request(self, held: tuple[HeldDigest, ...], vm: VmName) -> list[Effect]:
        """Send the digests that ``vm`` lacks, and report the unreachable domains."""
        theirs = {item.failure_domain: item.digest_id for item in held}
        effects: list[Effect] = []
        for item in self.direct.held():
            if theirs.pop(item.failure_domain, None) != item.digest_id:
                effects.append(Send(vm, self.direct.merged[item.failure_domain]))
        effects += [Send(vm, DomainSilent(domain)) for domain in theirs]
        return effects

    def probes(self) -> list[VmName]:
        """Return a few VMs of each failure domain without a direct digest, in round-robin order."""
        self._probe_round += 1
        vms: list[VmName] = []
        for domain, contacts in self._contacts.items():
            if domain in self.direct.merged:
                continue
            names = sorted(contacts)
            first = self._probe_round * self._probe_count % len(names)
            vms += (names[first:] + names[:first])[: self._probe_count]
        return vms

    def discount_pause(self, gap_s: float, now_s: float) -> None:
        """Discount a pause of this process from the timeouts of direct digests."""
        self.direct.discount_pause(gap_s, now_s)

    def refresh(self, domains: Iterable[DomainName]) -> None:
        """Recompute the live VMs of ``domains``; direct digests override relayed ones."""
        for domain in domains:
            for member in self._live.pop(domain, ()):
                self._addresses.pop(member.identity.vm, None)
            members = self._members(domain)
            if members:
                self._live[domain] = members
            self._addresses.update((member.identity.vm, member.address) for member in members)

    def _members(self, domain: DomainName) -> tuple[Member, ...]:
        digests = [v.digests[domain] for v in self.relayed.values() if domain in v.digests]
        if domain in self.direct.merged:
            digests.append(self.direct.merged[domain])
        members = [self._with_listed_leaving(member) for member in merged_members(domain, digests)]
        return tuple(sorted(members, key=lambda m: m.identity.incarnation))

    def _with_listed_leaving(self, member: Member) -> Member:
        listed = member.identity.vm in self._listed_leaving
        return evolve(member, leaving=True) if listed else member
