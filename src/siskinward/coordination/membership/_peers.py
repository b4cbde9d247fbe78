"""Peers of the own failure domain and their liveness, derived from received messages."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define
from attrs import field
from attrs import frozen

from siskinward.coordination.events import VmIdentity
from siskinward.coordination.membership.messages import MemberEntry
from siskinward.coordination.membership.messages import VmAddress
from siskinward.state.identifiers import IncarnationId

if TYPE_CHECKING:
    from collections.abc import Iterator

    from siskinward.state.identifiers import DomainName
    from siskinward.state.identifiers import VmName

MAX_RETIRED_INCARNATIONS = 4


@frozen
class Member:
    """A live VM, as returned by the queries of the membership."""

    identity: VmIdentity
    address: VmAddress
    leaving: bool

    @classmethod
    def of_entry(cls, entry: MemberEntry, domain: DomainName) -> Member:
        """Create a member from a digest entry and the failure domain of the digest."""
        identity = VmIdentity(entry.vm, domain, entry.incarnation)
        return cls(identity, entry.address, entry.leaving)

    def entry(self) -> MemberEntry:
        """Return the digest entry of this member."""
        identity = self.identity
        return MemberEntry(identity.vm, identity.incarnation, self.address, self.leaving)


@define
class Peer:
    """Known state of a peer; ``retired`` holds its replaced incarnations."""

    identity: VmIdentity
    last_received_s: float
    address: VmAddress | None = None
    leaving: bool = False
    live: bool = True
    knows_own_address: bool = False
    retired: tuple[IncarnationId, ...] = field(default=())


class PeerTable:
    """Peers of the own failure domain by VM name; a new incarnation replaces the old at once."""

    def __init__(self, timeout_s: float, forget_after_s: float) -> None:
        self._timeout_s = timeout_s
        self._forget_after_s = forget_after_s
        self._peers: dict[VmName, Peer] = {}

    def __iter__(self) -> Iterator[Peer]:
        return iter(self._peers.values())

    def get(self, vm: VmName) -> Peer | None:
        """Return the peer, live or not."""
        return self._peers.get(vm)

    def record_received(self, sender: VmIdentity, now_s: float) -> Peer | None:
        """Record that a message was received; ``None`` if it is from a replaced incarnation."""
        peer = self._peers.get(sender.vm)
        if peer is None:
            peer = Peer(sender, now_s, live=False)
            self._peers[sender.vm] = peer
            return peer
        if peer.identity.incarnation != sender.incarnation:
            return self._replace(peer, sender, now_s)
        peer.last_received_s = now_s
        return peer

    def _replace(self, old: Peer, sender: VmIdentity, now_s: float) -> Peer | None:
        # A retired incarnation is accepted again only after its successor has timed out: messages
        # of the two may have arrived in the wrong order at first contact.
        if sender.incarnation in old.retired and now_s - old.last_received_s <= self._timeout_s:
            return None
        retired = (*old.retired, old.identity.incarnation)[-MAX_RETIRED_INCARNATIONS:]
        peer = Peer(sender, now_s, live=False, retired=retired)
        self._peers[sender.vm] = peer
        return peer

    def expire(self, now_s: float) -> bool:
        """Mark peers that timed out as not live; return whether any was live before."""
        changed = False
        for peer in list(self._peers.values()):
            silent_s = now_s - peer.last_received_s
            if peer.live and silent_s > self._timeout_s:
                peer.live = False
                changed = True
            if silent_s > self._forget_after_s:
                del self._peers[peer.identity.vm]
        return changed

    def discount_pause(self, gap_s: float, now_s: float) -> None:
        """Discount a pause of this process from the time since the peers were last received."""
        for peer in self._peers.values():
            peer.last_received_s = min(peer.last_received_s + gap_s, now_s)
