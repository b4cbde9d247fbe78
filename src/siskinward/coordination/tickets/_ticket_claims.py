"""Claims of tickets in one role, home or copy: their records and the replies to attempts."""

from __future__ import annotations

from typing import TYPE_CHECKING

from siskinward.coordination.events import Effect
from siskinward.coordination.events import Send
from siskinward.coordination.outcomes import NotRun
from siskinward.coordination.outcomes import Outcome
from siskinward.coordination.outcomes import RefusalReason
from siskinward.coordination.outcomes import Unknown
from siskinward.coordination.tickets._records import RecordKey
from siskinward.coordination.tickets._records import TicketRecords
from siskinward.coordination.tickets._records import key_of
from siskinward.coordination.tickets._states import Claim
from siskinward.coordination.tickets._states import Claimed
from siskinward.coordination.tickets._states import Lost
from siskinward.coordination.tickets._states import New
from siskinward.coordination.tickets._states import NotRunScope
from siskinward.coordination.tickets._states import Role
from siskinward.coordination.tickets._states import Running
from siskinward.coordination.tickets._states import claim_of
from siskinward.coordination.tickets._states import finished_state
from siskinward.coordination.tickets._states import outcome_of
from siskinward.coordination.tickets.messages import ClaimFinished
from siskinward.coordination.tickets.messages import ClaimPending
from siskinward.coordination.tickets.messages import ClaimSettled

if TYPE_CHECKING:
    from collections.abc import Collection

    from siskinward.coordination.tickets._settings import TicketSettings
    from siskinward.state.identifiers import IncarnationId


class TicketClaims:
    """Records the claims of tickets in one role and replies to attempts that claim or query them.

    An attempt that resends a request still running waits here for its outcome.
    """

    def __init__(self, settings: TicketSettings, role: Role) -> None:
        self._settings = settings
        self._role = role
        self.records = TicketRecords(settings)
        self._waiters: dict[RecordKey, tuple[Claim, ...]] = {}

    def refuse_send(self, claim: Claim, reason: RefusalReason) -> list[Effect]:
        """Refuse this send without a statement about earlier ones."""
        refusal = NotRun(reason, self._settings.retry_after_s)
        return [self._settled(claim, refusal, NotRunScope.SEND)]

    def refuse_if_unrecordable(self, key: RecordKey, claim: Claim, now_s: float) -> list[Effect]:
        """Refuse a send for which no record can be made; return nothing if one can."""
        if self.records.was_dropped(key):
            return self.refuse_send(claim, RefusalReason.TICKET_INVALID)
        if not self.records.try_make_room(now_s):
            return self.refuse_send(claim, RefusalReason.CLAIM_UNAVAILABLE)
        return []

    def answer(self, key: RecordKey, claim: Claim) -> list[Effect]:
        """Reply to an attempt with the outcome of a recorded ticket, now or once it is known."""
        state = self.records.state(key)
        holder = claim_of(state)
        if holder is not None and not claim.is_resend_of(holder):
            return self.refuse_send(claim, RefusalReason.TICKET_INVALID)
        outcome = outcome_of(state)
        if outcome is not None:
            return [self._settled(claim, outcome)]
        return self._add_waiter(key, claim)

    def finish(self, message: ClaimFinished, now_s: float) -> list[Effect]:
        """Record the claimant's final outcome; send the result to it and to waiting attempts."""
        key = key_of(message.ticket)
        state = self.records.state(key)
        match state:
            case New():
                refusal = self.refuse_if_unrecordable(key, message.claim, now_s)
                if refusal:
                    return refusal
                self._record_outcome(key, message, now_s)
            case Claimed(claim) | Running(claim) | Lost(claim) if claim == message.claim:
                self._record_outcome(key, message, now_s)
        outcome = outcome_of(self.records.state(key))
        if outcome is None:
            return [self._settled(message.claim, Unknown(RefusalReason.IN_PROGRESS))]
        return [self._settled(message.claim, outcome), *self._notify(key, outcome)]

    def mark_claims_lost(self, departed: Collection[IncarnationId], now_s: float) -> list[Effect]:
        """Mark the open claims of departed claimants as lost."""
        if not departed:
            return []
        effects: list[Effect] = []
        for key, state in self.records.open_claims():
            if state.claim.claimant.incarnation not in departed:
                continue
            lost = Lost(state.claim, RefusalReason.PEER_LOST)
            self.records.put(key, lost, now_s)
            effects += self._notify(key, Unknown(lost.reason))
        return effects

    def expire(self, now_s: float) -> None:
        """Drop records past their lifetime, with the attempts that wait for them."""
        self.records.expire(now_s)
        for key in [key for key in self._waiters if key not in self.records]:
            del self._waiters[key]

    def _record_outcome(self, key: RecordKey, message: ClaimFinished, now_s: float) -> None:
        self.records.put(key, finished_state(message.claim, message.outcome), now_s)

    def _add_waiter(self, key: RecordKey, claim: Claim) -> list[Effect]:
        waiters = self._waiters.get(key, ())
        if claim not in waiters:
            if len(waiters) >= self._settings.waiter_limit:
                return [self._settled(claim, Unknown(RefusalReason.IN_PROGRESS))]
            self._waiters[key] = (*waiters, claim)
        return [Send(claim.claimant.vm, ClaimPending(claim))]

    def _notify(self, key: RecordKey, outcome: Outcome) -> list[Effect]:
        return [self._settled(claim, outcome) for claim in self._waiters.pop(key, ())]

    def _settled(
        self, claim: Claim, outcome: Outcome, scope: NotRunScope = NotRunScope.REQUEST
    ) -> Effect:
        return Send(claim.claimant.vm, ClaimSettled(claim, outcome, scope, self._role))
