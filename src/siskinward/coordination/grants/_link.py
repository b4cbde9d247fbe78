"""Builds a participant's messages and table requests, and tracks the VMs to send them to."""

from __future__ import annotations

from typing import TYPE_CHECKING

from siskinward.coordination.events import Effect
from siskinward.coordination.events import ReadRow
from siskinward.coordination.events import Send
from siskinward.coordination.events import WriteRow
from siskinward.coordination.grants._candidate import candidate
from siskinward.coordination.grants._record import ROW_PREFIX
from siskinward.coordination.grants._record import GrantRecord
from siskinward.coordination.grants._record import encode_record
from siskinward.coordination.grants.messages import GrantHandover
from siskinward.coordination.grants.messages import GrantNotice

if TYPE_CHECKING:
    from siskinward.coordination.events import VmIdentity
    from siskinward.coordination.grants.messages import GrantMessage
    from siskinward.coordination.membership import Member
    from siskinward.state.identifiers import IncarnationId
    from siskinward.state.identifiers import VmName


class GrantLink:
    """Messages and table requests of one participant, and the live VMs of its failure domain.

    VMs that are no longer live are still sent notices for ``notify_departed_s``.
    """

    def __init__(self, own: VmIdentity, grant: str, notify_departed_s: float) -> None:
        self.own = own
        self._notify_departed_s = notify_departed_s
        self._last_seen_s: dict[VmName, float] = {}
        self.grant = grant
        self.row = f"{ROW_PREFIX}{grant}"
        self.row_version = 0
        self._members: tuple[Member, ...] = ()
        self._last_request_id = 0

    def set_members(self, members: tuple[Member, ...], now_s: float) -> list[VmName]:
        """Replace the live VMs; return the peers that are new."""
        known = set(self.peers())
        self._members = members
        self._last_seen_s.update((peer.vm, now_s) for peer in (*known, *self.peers()))
        bound_s = now_s - self._notify_departed_s
        self._last_seen_s = {vm: at_s for vm, at_s in self._last_seen_s.items() if at_s >= bound_s}
        return [peer.vm for peer in self.peers() if peer not in known]

    def keep_notifying(self, vm: VmName, now_s: float) -> None:
        """Keep sending notices to a VM that is not live, since it may be suspected wrongly."""
        if vm and vm != self.own.vm:
            self._last_seen_s[vm] = now_s

    def peers(self) -> list[VmIdentity]:
        """Return the other live VMs."""
        return [m.identity for m in self._members if m.identity != self.own]

    def is_live(self, incarnation: IncarnationId) -> bool:
        """Return whether an incarnation is among the live VMs."""
        return any(member.identity.incarnation == incarnation for member in self._members)

    def is_candidate(self) -> bool:
        """Return whether this VM is the candidate for the grant."""
        chosen = candidate(self.grant, self._members)
        return chosen is not None and chosen.identity == self.own

    def successor(self) -> VmIdentity | None:
        """Return the peer to hand the grant to."""
        peers = [member for member in self._members if member.identity != self.own]
        chosen = candidate(self.grant, peers)
        return chosen.identity if chosen else None

    def own_record(self, epoch: int) -> GrantRecord:
        """Return the record that names this VM."""
        return GrantRecord(epoch, self.own.vm, self.own.incarnation)

    def next_request_id(self) -> int:
        """Return an id not used before."""
        self._last_request_id += 1
        return self._last_request_id

    def read(self, request_id: int) -> Effect:
        """Return the effect that reads the row."""
        return ReadRow(self.row, request_id)

    def write(self, record: GrantRecord, request_id: int) -> Effect:
        """Return a write that fails if the row changed since it was last read or written."""
        return WriteRow(self.row, self.row_version, encode_record(record), request_id)

    def notice(self, record: GrantRecord) -> GrantNotice:
        """Return the message that announces a record."""
        return GrantNotice(self.grant, record.epoch, record.vm, record.incarnation)

    def to_peers(self, message: GrantMessage) -> list[Effect]:
        """Send a message to all other VMs that are live or were until recently."""
        return [Send(vm, message) for vm in self._last_seen_s]

    def hand_over(self, record: GrantRecord) -> list[Effect]:
        """Send the grant to the successor; do nothing if there is none."""
        if record.is_vacant:
            return []
        return [Send(record.vm, GrantHandover(self.grant, record.epoch))]
