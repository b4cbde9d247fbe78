"""Home side of tickets: decides which attempt may claim a ticket."""

from __future__ import annotations

from typing import TYPE_CHECKING

from siskinward.coordination.events import Effect
from siskinward.coordination.events import Send
from siskinward.coordination.events import VmIdentity
from siskinward.coordination.outcomes import RefusalReason
from siskinward.coordination.tickets._hand_over import HandOverReceiver
from siskinward.coordination.tickets._hand_over import HandOverSender
from siskinward.coordination.tickets._records import RecordKey
from siskinward.coordination.tickets._records import key_of
from siskinward.coordination.tickets._states import Claim
from siskinward.coordination.tickets._states import Claimed
from siskinward.coordination.tickets._states import New
from siskinward.coordination.tickets._states import Role
from siskinward.coordination.tickets._states import Running
from siskinward.coordination.tickets._ticket_claims import TicketClaims
from siskinward.coordination.tickets._ticket_record import state_of
from siskinward.coordination.tickets.messages import ClaimCopy
from siskinward.coordination.tickets.messages import ClaimFinished
from siskinward.coordination.tickets.messages import ClaimGranted
from siskinward.coordination.tickets.messages import ClaimRequest
from siskinward.coordination.tickets.messages import HandOverNoted
from siskinward.coordination.tickets.messages import HandOverPart
from siskinward.coordination.tickets.messages import HomeMoved
from siskinward.coordination.tickets.messages import RoleGone

if TYPE_CHECKING:
    from siskinward.coordination.tickets._settings import TicketSettings
    from siskinward.coordination.tickets._ticket import Ticket
    from siskinward.state.identifiers import IncarnationId

MS_PER_S = 1000.0


class HomeRole:
    """Decides on tickets issued by this process and by those that handed their home role to it."""

    def __init__(self, settings: TicketSettings, own: VmIdentity) -> None:
        self._settings = settings
        self._own = own
        self.claims = TicketClaims(settings, Role.HOME)
        # Offset of this VM's clock from that of each home whose role is held here.
        self._clock_offsets_s: dict[IncarnationId, float] = {own.incarnation: 0.0}
        self._identities: dict[IncarnationId, VmIdentity] = {own.incarnation: own}
        self._successors: dict[IncarnationId, VmIdentity] = {}
        self._sender = HandOverSender(settings)
        self._receiver = HandOverReceiver()

    @property
    def is_handed_over(self) -> bool:
        """Whether no home role is held here and the successor has acknowledged every part."""
        return not self._clock_offsets_s and self._sender.is_done

    def holds(self, ticket: Ticket) -> bool:
        """Return whether this VM decides on the ticket."""
        return ticket.home.incarnation in self._clock_offsets_s

    def on_request(self, message: ClaimRequest, now_s: float) -> list[Effect]:
        """Claim a new ticket for the attempt, or answer with the ticket's recorded state."""
        ticket, claim = message.ticket, message.claim
        if not self.holds(ticket):
            return [self._redirect(ticket, claim)]
        key = key_of(ticket)
        match self.claims.records.state(key):
            case New():
                return self._claim(key, ticket, claim, now_s)
            case Claimed(holder) | Running(holder) if holder == claim:
                return [_request_confirmation(ticket, claim)]
            case _:
                return self.claims.answer(key, claim)

    def on_finished(self, message: ClaimFinished, now_s: float) -> list[Effect]:
        """Record the claimant's final outcome."""
        if not self.holds(message.ticket):
            return [self._redirect(message.ticket, message.claim)]
        return self.claims.finish(message, now_s)

    def hand_over(self, successor: VmIdentity, now_s: float) -> list[Effect]:
        """Transfer every held home role to ``successor``; make no claim here afterwards."""
        effects: list[Effect] = []
        for incarnation, offset_s in self._clock_offsets_s.items():
            home = self._identities[incarnation]
            records = self.claims.records
            effects += self._sender.start(home, successor, records, now_s - offset_s, now_s)
            self._successors[incarnation] = successor
        self._clock_offsets_s = {}
        return effects

    def home_moves(self) -> list[HomeMoved]:
        """Return the home roles that were handed over here, with their successors."""
        return [HomeMoved(home, successor) for home, successor in self._successors.items()]

    def on_hand_over(self, message: HandOverPart, sender: VmIdentity, now_s: float) -> list[Effect]:
        """Collect the parts of a home role and take it over once they are complete."""
        if message.successor.incarnation != self._own.incarnation:
            return []
        incarnation = message.home.incarnation
        acknowledgement = Send(sender.vm, HandOverNoted(incarnation, message.part))
        if incarnation in self._clock_offsets_s or incarnation in self._successors:
            return [acknowledgement]
        parts = self._receiver.add(message)
        if parts:
            self._take_over(parts, now_s)
        return [acknowledgement]

    def on_part_received(self, message: HandOverNoted) -> None:
        """Stop resending a part that the successor has acknowledged."""
        self._sender.on_part_received(message)

    def on_timer(self, now_s: float) -> list[Effect]:
        """Resend unacknowledged parts and drop expired records."""
        self.claims.expire(now_s)
        return self._sender.on_timer(now_s)

    def _claim(self, key: RecordKey, ticket: Ticket, claim: Claim, now_s: float) -> list[Effect]:
        offset_s = self._clock_offsets_s[key.home]
        age_s = now_s - offset_s - ticket.minted_at_ms / MS_PER_S
        if age_s > self._settings.claim_lifetime_s:
            return self.claims.refuse_send(claim, RefusalReason.TICKET_INVALID)
        refusal = self.claims.refuse_if_unrecordable(key, claim, now_s)
        if refusal:
            return refusal
        state = Claimed(claim) if ticket.copy else Running(claim)
        self.claims.records.put(key, state, now_s)
        return [_request_confirmation(ticket, claim)]

    def _take_over(self, parts: list[HandOverPart], now_s: float) -> None:
        home = parts[0].home
        self._identities[home.incarnation] = home
        self._clock_offsets_s[home.incarnation] = now_s - parts[0].sender_now_s
        self.claims.records.record_dropped(home.incarnation, parts[0].dropped_serial)
        for part in parts:
            for record in part.records:
                key = RecordKey(home.incarnation, record.serial)
                self.claims.records.put(key, state_of(record), now_s)

    def _redirect(self, ticket: Ticket, claim: Claim) -> Effect:
        successor = self._successors.get(ticket.home.incarnation)
        if successor is None:
            return Send(claim.claimant.vm, RoleGone(claim, Role.HOME))
        return Send(claim.claimant.vm, HomeMoved(ticket.home.incarnation, successor))


def _request_confirmation(ticket: Ticket, claim: Claim) -> Effect:
    # A ticket without a copy was issued by the only VM of its failure domain.
    if ticket.copy is None:
        return Send(claim.claimant.vm, ClaimGranted(claim))
    return Send(ticket.copy.vm, ClaimCopy(ticket, claim))
