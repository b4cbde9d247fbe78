"""Entry VM side of tickets: tracks each send from its claim request to its final outcome."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import evolve
from attrs import frozen

from siskinward.coordination.events import Send
from siskinward.coordination.events import VmIdentity
from siskinward.coordination.outcomes import NotRun
from siskinward.coordination.outcomes import Outcome
from siskinward.coordination.outcomes import RefusalReason
from siskinward.coordination.outcomes import Unknown
from siskinward.coordination.tickets._decisions import AnswerCaller
from siskinward.coordination.tickets._decisions import Dispatch
from siskinward.coordination.tickets._decisions import TicketStep
from siskinward.coordination.tickets._outbox import FinishOutbox
from siskinward.coordination.tickets._states import Claim
from siskinward.coordination.tickets._states import NotRunScope
from siskinward.coordination.tickets._states import Role
from siskinward.coordination.tickets._ticket import Ticket
from siskinward.coordination.tickets.messages import ClaimGranted
from siskinward.coordination.tickets.messages import ClaimPending
from siskinward.coordination.tickets.messages import ClaimQuery
from siskinward.coordination.tickets.messages import ClaimRequest
from siskinward.coordination.tickets.messages import ClaimSettled
from siskinward.coordination.tickets.messages import HomeMoved
from siskinward.coordination.tickets.messages import RoleGone

if TYPE_CHECKING:
    from collections.abc import Callable

    from siskinward.coordination.tickets._settings import TicketSettings


@frozen
class AskingHome:
    """The claim was requested from the home."""


@frozen
class AskingCopy:
    """The home timed out or was replaced; the copy was queried too."""


@frozen
class Withdrawing:
    """Home and copy timed out: the attempt will not run, and both are asked to record that."""


@frozen
class Waiting:
    """Another attempt holds the claim; this one waits for its outcome."""


@frozen
class Dispatched:
    """The claim was granted and the request was dispatched."""


Stage = AskingHome | AskingCopy | Withdrawing | Waiting | Dispatched


@frozen
class Attempt:
    """One send under a ticket. ``replaced_roles`` lists roles whose process no longer runs."""

    ticket: Ticket
    claim: Claim
    deadline_s: float
    stage: Stage
    next_at_s: float
    replaced_roles: frozenset[Role] = frozenset()


class TicketAttempts:
    """Drives the attempts of this VM. Each is dispatched at most once or withdrawn, never both."""

    def __init__(self, settings: TicketSettings, home_of: Callable[[Ticket], VmIdentity]) -> None:
        self._settings = settings
        self._home_of = home_of
        self._attempts: dict[str, Attempt] = {}
        self._outbox = FinishOutbox(settings, home_of)

    def __contains__(self, attempt_id: str) -> bool:
        return attempt_id in self._attempts

    def begin(
        self, ticket: Ticket, claim: Claim, deadline_s: float, now_s: float
    ) -> list[TicketStep]:
        """Request the claim from the home."""
        next_at_s = now_s + self._settings.ask_timeout_s
        attempt = Attempt(ticket, claim, deadline_s, AskingHome(), next_at_s)
        self._attempts[claim.attempt_id] = attempt
        return [self._request(attempt)]

    def on_granted(self, message: ClaimGranted) -> list[TicketStep]:
        """Dispatch the attempt unless it was withdrawn or dispatched before."""
        attempt = self._attempts.get(message.claim.attempt_id)
        if attempt is None or not isinstance(attempt.stage, AskingHome | AskingCopy):
            return []
        self._store(evolve(attempt, stage=Dispatched()))
        return [Dispatch(message.claim.attempt_id)]

    def on_pending(self, message: ClaimPending) -> list[TicketStep]:
        """Wait for the outcome of the attempt that holds the claim."""
        attempt = self._attempts.get(message.claim.attempt_id)
        if attempt is not None and isinstance(attempt.stage, AskingHome | AskingCopy):
            self._store(evolve(attempt, stage=Waiting(), next_at_s=attempt.deadline_s))
        return []

    def on_settled(self, message: ClaimSettled, now_s: float) -> list[TicketStep]:
        """Answer the caller with the final outcome that the home or the copy recorded."""
        attempt_id = message.claim.attempt_id
        self._outbox.on_recorded(attempt_id, message.role)
        attempt = self._attempts.get(attempt_id)
        if attempt is None or isinstance(attempt.stage, Dispatched):
            return []
        del self._attempts[attempt_id]
        steps: list[TicketStep] = [AnswerCaller(attempt_id, message.outcome, message.scope)]
        if _cancels_ticket(message.outcome):
            other = Role.COPY if message.role is Role.HOME else Role.HOME
            steps += self._outbox.send_until_recorded(
                attempt.ticket, attempt.claim, message.outcome, other, now_s
            )
        return steps

    def on_role_gone(self, message: RoleGone, now_s: float) -> list[TicketStep]:
        """Advance without waiting for the time-out: the home or the copy was replaced."""
        attempt_id = message.claim.attempt_id
        self._outbox.on_recorded(attempt_id, message.role)
        attempt = self._attempts.get(attempt_id)
        if attempt is None:
            return []
        attempt = evolve(attempt, replaced_roles=attempt.replaced_roles | {message.role})
        self._store(attempt)
        return self._advance(attempt, now_s)

    def on_moved(self, message: HomeMoved, now_s: float) -> list[TicketStep]:
        """Request open claims from the home's successor, which does not know waiting attempts."""
        steps: list[TicketStep] = []
        for attempt in list(self._attempts.values()):
            awaits_reply = isinstance(attempt.stage, AskingHome | AskingCopy | Waiting)
            if not awaits_reply or attempt.ticket.home.incarnation != message.home:
                continue
            next_at_s = now_s + self._settings.ask_timeout_s
            self._store(evolve(attempt, stage=AskingHome(), next_at_s=next_at_s))
            steps.append(self._request(attempt))
        return steps

    def on_timer(self, now_s: float) -> list[TicketStep]:
        """Advance attempts past their time-out or deadline; resend unrecorded outcomes."""
        steps: list[TicketStep] = []
        for attempt in list(self._attempts.values()):
            if isinstance(attempt.stage, Dispatched):
                continue
            if now_s >= attempt.deadline_s:
                steps += self._abandon(attempt, now_s)
            elif now_s >= attempt.next_at_s:
                steps += self._advance(attempt, now_s)
        return steps + self._outbox.on_timer(now_s)

    def report_outcome(self, attempt_id: str, outcome: Outcome, now_s: float) -> list[TicketStep]:
        """Report a dispatched attempt's final outcome to the home and the copy."""
        attempt = self._attempts.pop(attempt_id)
        return self._report_to_both(attempt, outcome, now_s)

    def _advance(self, attempt: Attempt, now_s: float) -> list[TicketStep]:
        match attempt.stage:
            case AskingHome() if self._may_ask_copy(attempt):
                next_at_s = now_s + self._settings.ask_timeout_s
                self._store(evolve(attempt, stage=AskingCopy(), next_at_s=next_at_s))
                return [self._request(attempt), self._query(attempt)]
            case AskingHome() | AskingCopy():
                return self._withdraw(attempt, now_s)
            case Withdrawing() if now_s >= attempt.next_at_s or self._are_all_replaced(attempt):
                return self._abandon(attempt, now_s)
            case _:
                return []

    def _withdraw(self, attempt: Attempt, now_s: float) -> list[TicketStep]:
        if self._are_all_replaced(attempt):
            return self._abandon(attempt, now_s)
        next_at_s = now_s + self._settings.ask_timeout_s
        self._store(evolve(attempt, stage=Withdrawing(), next_at_s=next_at_s))
        return self._report_to_both(attempt, self._withdrawal(), now_s)

    def _abandon(self, attempt: Attempt, now_s: float) -> list[TicketStep]:
        del self._attempts[attempt.claim.attempt_id]
        reason = RefusalReason.CLAIM_UNAVAILABLE
        steps: list[TicketStep] = []
        match attempt.stage:
            case Waiting():
                reason = RefusalReason.IN_PROGRESS
            case AskingHome() | AskingCopy():
                steps = self._report_to_both(attempt, self._withdrawal(), now_s)
        answer = AnswerCaller(attempt.claim.attempt_id, Unknown(reason), NotRunScope.SEND)
        return [answer, *steps]

    def _report_to_both(self, attempt: Attempt, outcome: Outcome, now_s: float) -> list[TicketStep]:
        steps: list[TicketStep] = []
        for role in Role:
            if role not in attempt.replaced_roles:
                steps += self._outbox.send_until_recorded(
                    attempt.ticket, attempt.claim, outcome, role, now_s
                )
        return steps

    def _withdrawal(self) -> NotRun:
        return NotRun(RefusalReason.CLAIM_UNAVAILABLE, self._settings.retry_after_s)

    def _may_ask_copy(self, attempt: Attempt) -> bool:
        return attempt.ticket.copy is not None and Role.COPY not in attempt.replaced_roles

    def _are_all_replaced(self, attempt: Attempt) -> bool:
        return Role.HOME in attempt.replaced_roles and not self._may_ask_copy(attempt)

    def _request(self, attempt: Attempt) -> TicketStep:
        return Send(self._home_of(attempt.ticket).vm, ClaimRequest(attempt.ticket, attempt.claim))

    def _query(self, attempt: Attempt) -> TicketStep:
        assert attempt.ticket.copy is not None
        return Send(attempt.ticket.copy.vm, ClaimQuery(attempt.ticket, attempt.claim))

    def _store(self, attempt: Attempt) -> None:
        self._attempts[attempt.claim.attempt_id] = attempt


def _cancels_ticket(outcome: Outcome) -> bool:
    # TICKET_INVALID refuses only this send, for example one with another fingerprint: the request
    # that the ticket belongs to must still be able to run.
    return isinstance(outcome, NotRun) and outcome.reason is not RefusalReason.TICKET_INVALID
