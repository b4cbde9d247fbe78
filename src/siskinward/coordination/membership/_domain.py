"""The own failure domain: peers, their heartbeats and the digest sent to other domains."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from attrs import frozen

from siskinward.coordination.events import Effect
from siskinward.coordination.events import Send
from siskinward.coordination.membership._digests import digest_id
from siskinward.coordination.membership._peers import Member
from siskinward.coordination.membership._peers import PeerTable
from siskinward.coordination.membership._relays import relays_of
from siskinward.coordination.membership.messages import Announce
from siskinward.coordination.membership.messages import DomainDigest
from siskinward.coordination.membership.messages import Heartbeat
from siskinward.coordination.membership.messages import Introduction
from siskinward.coordination.membership.messages import VmAddress

if TYPE_CHECKING:
    from siskinward.coordination.events import VmIdentity
    from siskinward.coordination.membership._peers import Peer
    from siskinward.coordination.membership._settings import MembershipSettings
    from siskinward.coordination.membership.messages import MemberEntry
    from siskinward.coordination.platform import ListedVm
    from siskinward.state.identifiers import VmName


@frozen
class LivenessUpdate:
    """Result of a received message: whether the live VMs or their state changed."""

    changed: bool


class OwnDomain:
    """Live VMs of the own failure domain."""

    def __init__(self, settings: MembershipSettings, own: VmIdentity, address: VmAddress) -> None:
        self._own = own
        self._address = address
        self._peers = PeerTable(settings.heartbeat_timeout_s, settings.forget_after_s)
        self._contacts: dict[VmName, VmAddress] = {}
        self._listed_leaving: frozenset[VmName] = frozenset()
        self._leaving = False
        self._relay_count = settings.relay_count
        self._live: tuple[Member, ...] = ()
        self._relays: tuple[Member, ...] = ()
        self._is_relay = False
        self._digest = DomainDigest(own.failure_domain, ())
        self._digest_id = b""
        self._refresh()

    @property
    def leaving(self) -> bool:
        """Whether this VM is shutting down."""
        return self._leaving

    @leaving.setter
    def leaving(self, value: bool) -> None:
        self._leaving = value
        self._refresh()

    def live(self) -> tuple[Member, ...]:
        """Return the live VMs, this one included, sorted by incarnation."""
        return self._live

    def relays(self) -> tuple[Member, ...]:
        """Return the relays, lowest incarnation first."""
        return self._relays

    def is_relay(self) -> bool:
        """Return whether this VM is a relay."""
        return self._is_relay

    def live_peers(self) -> tuple[VmName, ...]:
        """Return the names of the other live VMs."""
        return tuple(m.identity.vm for m in self._live if m.identity != self._own)

    def digest(self) -> DomainDigest:
        """Return the digest sent to other failure domains."""
        return self._digest

    def digest_id(self) -> bytes:
        """Return the id of the digest."""
        return self._digest_id

    def address_of(self, vm: VmName) -> VmAddress | None:
        """Return the last known address of a peer."""
        peer = self._peers.get(vm)
        if peer is not None and peer.address is not None:
            return peer.address
        return self._contacts.get(vm)

    def on_vm_list(self, listed: tuple[ListedVm, ...]) -> None:
        """Store the addresses of the listed VMs and which of them are leaving."""
        self._contacts = {
            item.vm: VmAddress(item.host, item.front_port, item.peer_port)
            for item in listed
            if item.vm != self._own.vm
        }
        self._listed_leaving = frozenset(item.vm for item in listed if item.leaving)
        self._refresh()

    def on_introduction(self, members: tuple[MemberEntry, ...]) -> list[Effect]:
        """Announce this VM to the members that were not known."""
        effects: list[Effect] = []
        for entry in members:
            if entry.vm == self._own.vm or self._peers.get(entry.vm):
                continue
            self._contacts[entry.vm] = entry.address
            effects.append(Send(entry.vm, Announce(self._address, self._leaving, False)))
        return effects

    def record_message(
        self, sender: VmIdentity, message: Any, now_s: float
    ) -> LivenessUpdate | None:
        """Record a peer's message; ``None`` if its sender was replaced or has this VM's name."""
        if sender.vm == self._own.vm:
            return None
        peer = self._peers.record_received(sender, now_s)
        if peer is None:
            return None
        before = (peer.live, peer.leaving, peer.address)
        self._update(peer, message)
        peer.live = peer.address is not None or sender.vm in self._contacts
        changed = before != (peer.live, peer.leaving, peer.address)
        if changed:
            self._refresh()
        return LivenessUpdate(changed)

    def answer_announce(self, vm: VmName, *, with_members: bool) -> list[Effect]:
        """Return the answer to a peer that does not know the address of this VM yet."""
        effects: list[Effect] = [Send(vm, Announce(self._address, self._leaving, True))]
        if with_members:
            effects.append(Send(vm, Introduction(self._digest.members)))
        return effects

    def heartbeats(self, view_id: bytes) -> list[Effect]:
        """Return a heartbeat for each peer, and an ``Announce`` for each unknown listed VM."""
        effects: list[Effect] = [
            Send(p.identity.vm, self._heartbeat_for(p, view_id)) for p in self._peers
        ]
        first_contact = Announce(self._address, self._leaving, False)
        effects += [Send(vm, first_contact) for vm in self._contacts if self._peers.get(vm) is None]
        return effects

    def expire(self, now_s: float) -> tuple[VmName, ...]:
        """Mark peers that timed out as not live and return them."""
        before = self.live_peers()
        if not self._peers.expire(now_s):
            return ()
        self._refresh()
        remaining = self.live_peers()
        return tuple(vm for vm in before if vm not in remaining)

    def discount_pause(self, gap_s: float, now_s: float) -> None:
        """Discount a pause of this process from the timeouts of the peers."""
        self._peers.discount_pause(gap_s, now_s)

    def _heartbeat_for(self, peer: Peer, view_id: bytes) -> Announce | Heartbeat:
        knows_address = peer.address is not None
        if peer.knows_own_address:
            return Heartbeat(self._leaving, knows_address, view_id)
        return Announce(self._address, self._leaving, knows_address)

    def _update(self, peer: Peer, message: Any) -> None:
        match message:
            case Announce(address, leaving, knows_own_address):
                peer.address = address
                peer.leaving = leaving
                peer.knows_own_address = knows_own_address
            case Heartbeat(leaving, knows_own_address):
                peer.leaving = leaving
                peer.knows_own_address = knows_own_address

    def _refresh(self) -> None:
        members = [Member(self._own, self._address, self._leaving)]
        for peer in self._peers:
            vm = peer.identity.vm
            address = self.address_of(vm)
            if peer.live and address is not None:
                leaving = peer.leaving or vm in self._listed_leaving
                members.append(Member(peer.identity, address, leaving))
        self._live = tuple(sorted(members, key=lambda m: m.identity.incarnation))
        self._relays = relays_of(self._live, self._relay_count)
        self._is_relay = any(member.identity == self._own for member in self._relays)
        entries = sorted((m.entry() for m in members), key=lambda entry: entry.vm)
        self._digest = DomainDigest(self._own.failure_domain, tuple(entries))
        self._digest_id = digest_id(self._digest)
