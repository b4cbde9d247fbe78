"""Copy side of tickets: confirms claims, and answers for a home that timed out."""

from __future__ import annotations

from typing import TYPE_CHECKING

from siskinward.coordination.events import Effect
from siskinward.coordination.events import Send
from siskinward.coordination.events import VmIdentity
from siskinward.coordination.outcomes import NotRun
from siskinward.coordination.outcomes import RefusalReason
from siskinward.coordination.tickets._records import key_of
from siskinward.coordination.tickets._states import Claim
from siskinward.coordination.tickets._states import NeverRuns
from siskinward.coordination.tickets._states import New
from siskinward.coordination.tickets._states import Role
from siskinward.coordination.tickets._states import Running
from siskinward.coordination.tickets._ticket_claims import TicketClaims
from siskinward.coordination.tickets.messages import ClaimCopy
from siskinward.coordination.tickets.messages import ClaimFinished
from siskinward.coordination.tickets.messages import ClaimGranted
from siskinward.coordination.tickets.messages import ClaimQuery
from siskinward.coordination.tickets.messages import RoleGone

if TYPE_CHECKING:
    from siskinward.coordination.tickets._settings import TicketSettings
    from siskinward.coordination.tickets._ticket import Ticket


class CopyRole:
    """Grants the claim of a ticket once it is recorded here, or cancels the ticket; never both."""

    def __init__(self, settings: TicketSettings, own: VmIdentity) -> None:
        self._settings = settings
        self._own = own
        self.claims = TicketClaims(settings, Role.COPY)

    def on_copy(self, message: ClaimCopy, now_s: float) -> list[Effect]:
        """Record a claim that the home has recorded, and grant it to the claimant."""
        ticket, claim = message.ticket, message.claim
        if not self._is_copy_of(ticket):
            return [_role_gone(claim)]
        key = key_of(ticket)
        match self.claims.records.state(key):
            case New():
                refusal = self.claims.refuse_if_unrecordable(key, claim, now_s)
                if refusal:
                    return refusal
                self.claims.records.put(key, Running(claim), now_s)
                return [_granted(claim)]
            case Running(holder) if holder == claim:
                return [_granted(claim)]
            case _:
                return self.claims.answer(key, claim)

    def on_query(self, message: ClaimQuery, now_s: float) -> list[Effect]:
        """Answer for a home that timed out.

        A claim is granted only once it is recorded here. If none is, cancel the ticket.
        """
        ticket, claim = message.ticket, message.claim
        if not self._is_copy_of(ticket):
            return [_role_gone(claim)]
        key = key_of(ticket)
        match self.claims.records.state(key):
            case New():
                refusal = self.claims.refuse_if_unrecordable(key, claim, now_s)
                if refusal:
                    return refusal
                self.claims.records.put(key, self._cancelled(), now_s)
                return self.claims.answer(key, claim)
            case Running(holder) if holder == claim:
                return [_granted(claim)]
            case _:
                return self.claims.answer(key, claim)

    def on_finished(self, message: ClaimFinished, now_s: float) -> list[Effect]:
        """Record the claimant's final outcome."""
        if not self._is_copy_of(message.ticket):
            return [_role_gone(message.claim)]
        return self.claims.finish(message, now_s)

    def _cancelled(self) -> NeverRuns:
        refusal = NotRun(RefusalReason.PEER_LOST, self._settings.retry_after_s)
        return NeverRuns(None, refusal)

    def _is_copy_of(self, ticket: Ticket) -> bool:
        return ticket.copy is not None and ticket.copy.incarnation == self._own.incarnation


def _granted(claim: Claim) -> Effect:
    return Send(claim.claimant.vm, ClaimGranted(claim))


def _role_gone(claim: Claim) -> Effect:
    return Send(claim.claimant.vm, RoleGone(claim, Role.COPY))
