"""Membership of the fleet: live VMs, relays and reachable failure domains, as one VM sees them."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from siskinward.coordination.events import Effect
from siskinward.coordination.events import Send
from siskinward.coordination.membership._digests import RelayedView
from siskinward.coordination.membership._domain import OwnDomain
from siskinward.coordination.membership._relays import paired_relays
from siskinward.coordination.membership._relays import relays_of
from siskinward.coordination.membership._remote import RemoteDomains
from siskinward.coordination.membership.messages import Announce
from siskinward.coordination.membership.messages import DigestBeat
from siskinward.coordination.membership.messages import DigestRequest
from siskinward.coordination.membership.messages import DomainDigest
from siskinward.coordination.membership.messages import DomainSilent
from siskinward.coordination.membership.messages import Heartbeat
from siskinward.coordination.membership.messages import Introduction
from siskinward.coordination.membership.messages import ViewRequest
from siskinward.coordination.membership.messages import VmAddress

if TYPE_CHECKING:
    from siskinward.coordination.events import VmIdentity
    from siskinward.coordination.membership._peers import Member
    from siskinward.coordination.membership._settings import MembershipSettings
    from siskinward.coordination.membership.messages import MembershipMessage
    from siskinward.coordination.platform import ListedVm
    from siskinward.state.identifiers import DomainName
    from siskinward.state.identifiers import VmName


class Membership:
    """Tracks which VMs are live, which of them are relays and which failure domains are reachable.

    Call ``on_vm_list`` once at the start with the configured VMs, and later with each VM list of
    the platform. Call ``on_timer`` several times per heartbeat interval.
    """

    def __init__(
        self, settings: MembershipSettings, own: VmIdentity, address: VmAddress, started_s: float
    ) -> None:
        self._settings = settings
        self._own = own
        self._domain = OwnDomain(settings, own, address)
        self._remote = RemoteDomains(settings, own.failure_domain)
        self._last_timer_s = started_s
        self._next_heartbeat_s = started_s
        self._next_digest_s = started_s
        self._own_changed = False
        self._changed_domains: set[DomainName] = set()
        self._revision = 0

    @property
    def revision(self) -> int:
        """Counter that changes whenever the result of a query may have changed."""
        return self._revision

    def live_vms(self, domain: DomainName, now_s: float) -> tuple[Member, ...]:
        """Return the live VMs of a failure domain, leaving ones included, sorted by incarnation."""
        if domain == self._own.failure_domain:
            return self._domain.live()
        return self._remote.live(domain)

    def relays(self, domain: DomainName, now_s: float) -> tuple[Member, ...]:
        """Return the relays of a failure domain, lowest incarnation first."""
        if domain == self._own.failure_domain:
            return self._domain.relays()
        return relays_of(self._remote.live(domain), self._settings.relay_count)

    def is_relay(self, now_s: float) -> bool:
        """Return whether this VM is a relay of its failure domain."""
        return self._domain.is_relay()

    def reachable_domains(self, now_s: float) -> frozenset[DomainName]:
        """Return the other failure domains that this VM or a live relay of its domain reaches."""
        return self._remote.reachable()

    def paired_relays(self, now_s: float) -> tuple[Member, ...]:
        """Return the relays of other failure domains that this VM exchanges messages with."""
        if not self.is_relay(now_s):
            return ()
        own_relays = self.relays(self._own.failure_domain, now_s)
        rank = [member.identity for member in own_relays].index(self._own)
        pairs = (
            paired_relays(rank, len(own_relays), self.relays(domain, now_s))
            for domain in sorted(self.reachable_domains(now_s))
        )
        return tuple(member for pair in pairs for member in pair)

    def sync_peers(self, now_s: float) -> tuple[VmName, ...]:
        """Return the VMs to synchronise relayed state with.

        For a relay: the VMs of its failure domain and the paired relays. For another VM: the
        relays of its failure domain.
        """
        if self.is_relay(now_s):
            paired = tuple(member.identity.vm for member in self.paired_relays(now_s))
            return self._domain.live_peers() + paired
        return tuple(m.identity.vm for m in self.relays(self._own.failure_domain, now_s))

    def address_of(self, vm: VmName) -> VmAddress | None:
        """Return the last known address of a VM."""
        return self._domain.address_of(vm) or self._remote.address_of(vm)

    def on_vm_list(self, listed: tuple[ListedVm, ...], now_s: float) -> list[Effect]:
        """Use the list, which may be outdated, as a hint whom to contact and who is leaving."""
        own = self._own.failure_domain
        self._domain.on_vm_list(tuple(item for item in listed if item.failure_domain == own))
        self._remote.on_vm_list(tuple(item for item in listed if item.failure_domain != own))
        self._revision += 1
        return []

    def leave(self, now_s: float) -> list[Effect]:
        """Announce to the failure domain and the other relays that this VM is shutting down."""
        self._domain.leaving = True
        self._record_own_change()
        return self._domain.heartbeats(self._view_id(now_s))

    def on_timer(self, now_s: float) -> list[Effect]:
        """Expire VMs that timed out; send changed digests and the heartbeats that are due."""
        gap_s = now_s - self._last_timer_s
        self._last_timer_s = now_s
        if gap_s > self._settings.stall_bound_s:
            self._domain.discount_pause(gap_s, now_s)
            self._remote.discount_pause(gap_s, now_s)
        self._expire(now_s)
        effects = self._send_digests(now_s)
        if now_s < self._next_heartbeat_s:
            return effects
        self._next_heartbeat_s = now_s + self._settings.heartbeat_interval_s
        effects += self._domain.heartbeats(self._view_id(now_s))
        return effects + self._relay_heartbeats(now_s)

    def on_message(
        self, message: MembershipMessage, sender: VmIdentity, now_s: float
    ) -> list[Effect]:
        """Handle a message of another VM."""
        if sender.failure_domain == self._own.failure_domain:
            return self._on_domain_message(message, sender, now_s)
        return self._on_remote_message(message, sender, now_s)

    def _on_domain_message(
        self, message: MembershipMessage, sender: VmIdentity, now_s: float
    ) -> list[Effect]:
        update = self._domain.record_message(sender, message, now_s)
        if update is None:
            return []
        if update.changed:
            self._record_own_change()
        effects: list[Effect] = []
        match message:
            case Announce(acquainted=False):
                effects += self._domain.answer_announce(
                    sender.vm, with_members=self.is_relay(now_s)
                )
            case Introduction(members):
                effects += self._domain.on_introduction(members)
            case Heartbeat(view_id=view_id):
                effects += self._on_view_id(view_id, sender.vm)
            case DomainDigest():
                self._remote.relayed_by(sender.vm).store(message)
                self._refresh((message.failure_domain,))
            case DomainSilent(domain):
                self._remote.relayed_by(sender.vm).drop(domain)
                self._refresh((domain,))
            case ViewRequest(held):
                effects += self._remote.answer_view_request(held, sender.vm)
        return effects

    def _on_remote_message(
        self, message: MembershipMessage, sender: VmIdentity, now_s: float
    ) -> list[Effect]:
        match message:
            case DigestBeat(digest_id):
                return self._on_digest_heartbeat(digest_id, sender, now_s)
            case DigestRequest():
                return [Send(sender.vm, self._domain.digest())]
            case DomainDigest(domain) if domain == sender.failure_domain:
                if self._remote.direct.store(message, sender.vm, now_s):
                    self._record_domain_change(domain)
        return []

    def _on_digest_heartbeat(
        self, digest_id: bytes, sender: VmIdentity, now_s: float
    ) -> list[Effect]:
        if not self.is_relay(now_s):
            # The sender assumes that this VM is a relay: the digest shows it the current members,
            # from which it derives the relays.
            return [Send(sender.vm, self._domain.digest())]
        held_id = self._remote.direct.digest_id_from(sender.failure_domain, sender.vm)
        if not held_id or held_id != digest_id:
            return [Send(sender.vm, DigestRequest())]
        self._remote.direct.record_heartbeat(sender.failure_domain, sender.vm, now_s)
        return []

    def _on_view_id(self, view_id: bytes, relay: VmName) -> list[Effect]:
        if not view_id:
            self._forget_relayed(relay)
            return []
        held = self._remote.relayed.setdefault(relay, RelayedView())
        if held.view_id == view_id:
            return []
        return [Send(relay, ViewRequest(held.held()))]

    def _forget_relayed(self, relay: VmName) -> None:
        view = self._remote.relayed.pop(relay, None)
        if view is not None:
            self._refresh(tuple(view.digests))

    def _expire(self, now_s: float) -> None:
        silent = self._domain.expire(now_s)
        if silent:
            for vm in silent:
                self._forget_relayed(vm)
            self._record_own_change()
        for domain in self._remote.direct.expire(now_s):
            self._record_domain_change(domain)

    def _record_own_change(self) -> None:
        self._own_changed = True
        self._revision += 1

    def _record_domain_change(self, domain: DomainName) -> None:
        self._changed_domains.add(domain)
        self._refresh((domain,))

    def _send_digests(self, now_s: float) -> list[Effect]:
        changed = self._own_changed or self._changed_domains
        if not changed or now_s < self._next_digest_s:
            return []
        self._next_digest_s = now_s + self._settings.digest_interval_s
        effects: list[Effect] = []
        if self.is_relay(now_s):
            effects = self._send_own_digest(now_s) + self._relay_changed_digests()
        self._own_changed = False
        self._changed_domains.clear()
        return effects

    def _send_own_digest(self, now_s: float) -> list[Effect]:
        if not self._own_changed:
            return []
        digest = self._domain.digest()
        return [Send(member.identity.vm, digest) for member in self.paired_relays(now_s)]

    def _relay_changed_digests(self) -> list[Effect]:
        effects: list[Effect] = []
        for domain in sorted(self._changed_domains):
            digest = self._remote.direct.merged.get(domain)
            message: Any = digest if digest is not None else DomainSilent(domain)
            effects += [Send(vm, message) for vm in self._domain.live_peers()]
        return effects

    def _refresh(self, domains: tuple[DomainName, ...]) -> None:
        self._remote.refresh(domains)
        self._revision += 1

    def _view_id(self, now_s: float) -> bytes:
        return self._remote.direct.view_id if self.is_relay(now_s) else b""

    def _relay_heartbeats(self, now_s: float) -> list[Effect]:
        if not self.is_relay(now_s):
            return []
        heartbeat = DigestBeat(self._domain.digest_id())
        vms = [member.identity.vm for member in self.paired_relays(now_s)]
        vms += self._remote.probes()
        return [Send(vm, heartbeat) for vm in vms]
