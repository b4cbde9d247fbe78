"""Runs non-idempotent requests at most once, by the VM's ticket registry."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING
from typing import Any

from siskinward.coordination.outcomes import NotRun
from siskinward.coordination.outcomes import RefusalReason
from siskinward.coordination.outcomes import Unknown
from siskinward.coordination.tickets import AnswerCaller
from siskinward.coordination.tickets import Dispatch
from siskinward.coordination.tickets import NotRunScope
from siskinward.daemon.waiter import Waiter
from siskinward.daemon.work import RequestResult

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable
    from collections.abc import Sequence

    from siskinward.coordination.events import TableAnswer
    from siskinward.coordination.events import VmIdentity
    from siskinward.coordination.outcomes import Outcome
    from siskinward.coordination.tickets import TicketRegistry
    from siskinward.daemon.component_router import ComponentRouter
    from siskinward.daemon.work import Work

DECISION_MARGIN_S = 0.5
RETRY_AFTER_S = 1.0


class TicketService:
    """Asks the ticket registry before a request is dispatched and reports the outcome to it."""

    def __init__(self, own: VmIdentity, registry: TicketRegistry, router: ComponentRouter) -> None:
        self._own = own
        self._registry = registry
        self._router = router
        self._attempt_numbers = itertools.count(1)
        self._waiters: dict[str, Waiter[Dispatch | AnswerCaller]] = {}

    def issue(self, count: int, now_s: float) -> list[str]:
        """Return new tickets for the answer to a look-up."""
        return [self._registry.issue_ticket(now_s) for _ in range(count)]

    async def run(
        self,
        work: Work,
        dispatch: Callable[[Work], Awaitable[Outcome]],
        now_s: float,
    ) -> RequestResult:
        """Dispatch ``work`` if the registry allows it, else return the registry's outcome."""
        if work.run_id is None:
            refusal = NotRun(RefusalReason.TICKET_REQUIRED, RETRY_AFTER_S)
            return self._create_result(refusal, NotRunScope.REQUEST, now_s)
        attempt_id = f"{self._own.incarnation}-{next(self._attempt_numbers)}"
        waiter = Waiter[Dispatch | AnswerCaller]()
        self._waiters[attempt_id] = waiter
        steps = self._registry.begin(
            attempt_id, work.run_id, work.client_account, work.fingerprint, work.deadline_s, now_s
        )
        try:
            await self._router.run(self, steps)
            decision = await waiter.wait(work.deadline_s - now_s + DECISION_MARGIN_S)
        finally:
            del self._waiters[attempt_id]
        match decision:
            case Dispatch():
                outcome = await self._dispatch(attempt_id, work, dispatch)
                return self._create_result(outcome, NotRunScope.REQUEST, now_s)
            case AnswerCaller(outcome=outcome, scope=scope):
                return self._create_result(outcome, scope, now_s)
            case None:
                return RequestResult(Unknown(RefusalReason.CLAIM_UNAVAILABLE))

    def on_message(self, message: Any, sender: VmIdentity, now_s: float) -> Sequence[Any]:
        """Pass a message to the registry."""
        return self._registry.on_message(message, sender, now_s)

    def on_timer(self, now_s: float) -> Sequence[Any]:
        """Drive the timer of the registry."""
        return self._registry.on_timer(now_s)

    def on_table_answer(self, answer: TableAnswer, now_s: float) -> Sequence[Any]:
        """Pass a result of the platform's table to the registry."""
        return self._registry.on_table_answer(answer, now_s)

    async def on_decision(self, decision: Any) -> None:
        """Deliver a decision; record a dispatch for which no request waits as not run."""
        waiter = self._waiters.get(decision.attempt_id)
        if waiter is not None:
            await waiter.deliver(decision)
        elif isinstance(decision, Dispatch):
            await self._finish(decision.attempt_id, NotRun(RefusalReason.DEADLINE, RETRY_AFTER_S))

    async def on_members(self, live: Sequence[VmIdentity], now_s: float) -> None:
        """Update the live VMs of all failure domains."""
        await self._router.run(self, self._registry.on_members(live, now_s))

    async def hand_over(self, peer: VmIdentity, now_s: float) -> None:
        """Hand the home role over to a peer before a shutdown."""
        await self._router.run(self, self._registry.hand_over(peer, now_s))

    @property
    def is_handed_over(self) -> bool:
        """Whether the hand-over that was started is complete."""
        return self._registry.is_handed_over

    def _create_result(self, outcome: Outcome, scope: NotRunScope, now_s: float) -> RequestResult:
        """Attach a fresh ticket if the request never ran, because its own ticket is spent."""
        if not isinstance(outcome, NotRun):
            return RequestResult(outcome)
        fresh = self._registry.issue_ticket(now_s) if scope is NotRunScope.REQUEST else ""
        return RequestResult(outcome, scope, fresh)

    async def _dispatch(
        self, attempt_id: str, work: Work, dispatch: Callable[[Work], Awaitable[Outcome]]
    ) -> Outcome:
        outcome: Outcome = Unknown(RefusalReason.TARGET_LOST)
        try:
            outcome = await dispatch(work)
        finally:
            await self._finish(attempt_id, outcome)
        return outcome

    async def _finish(self, attempt_id: str, outcome: Outcome) -> None:
        now_s = await self._router.clock()
        await self._router.run(self, self._registry.report_outcome(attempt_id, outcome, now_s))
