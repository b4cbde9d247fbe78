"""Handles a caller's request from its arrival to its outcome."""

from __future__ import annotations

from typing import TYPE_CHECKING

import curio

from siskinward.coordination.fingerprints import fingerprint_of
from siskinward.coordination.freshness import Isolated
from siskinward.coordination.outcomes import Answered
from siskinward.coordination.outcomes import NotRun
from siskinward.coordination.outcomes import RefusalReason
from siskinward.coordination.outcomes import Unknown
from siskinward.coordination.tickets import NotRunScope
from siskinward.daemon.work import RequestResult
from siskinward.daemon.work import Work
from siskinward.protocol.caller_http import contains_key
from siskinward.protocol.caller_http import parse_caller_headers
from siskinward.protocol.caller_http import path_of
from siskinward.protocol.target_http import allowed_headers
from siskinward.state.identifiers import AccountName
from siskinward.state.identifiers import ServiceName
from siskinward.state.objects import Access
from siskinward.state.objects import WhenIsolated
from siskinward.transport.clock import read_clock_s

if TYPE_CHECKING:
    from collections.abc import Callable

    from siskinward.coordination.freshness import Standing
    from siskinward.coordination.outcomes import Outcome
    from siskinward.daemon.account_limiter import AccountLimiter
    from siskinward.daemon.dispatcher import Dispatcher
    from siskinward.daemon.metrics import NodeMetrics
    from siskinward.daemon.serving_state import ServingState
    from siskinward.daemon.ticket_service import TicketService
    from siskinward.daemon.trace_recorder import TraceRecorder
    from siskinward.state.objects import Route
    from siskinward.transport.http_messages import HttpRequest

OPEN_ROUTE_ACCOUNT = AccountName("")
PERMANENT_RETRY_AFTER_S = 60.0
STARTING_RETRY_AFTER_S = 1.0
FIRST_CONFIRMATION_WAIT_S = 1.5
FIRST_CONFIRMATION_POLL_S = 0.05


class RequestHandler:
    """Checks a request's route, key and rate limit, then passes it to the dispatcher."""

    def __init__(
        self,
        current_state: Callable[[], ServingState | None],
        standing: Callable[[float], Standing],
        account_limiter: AccountLimiter,
        ticket_service: TicketService,
        dispatcher: Dispatcher,
        metrics: NodeMetrics,
        on_request: Callable[[ServiceName], None],
    ) -> None:
        self._current_state = current_state
        self._standing = standing
        self._account_limiter = account_limiter
        self._ticket_service = ticket_service
        self._dispatcher = dispatcher
        self._metrics = metrics
        self._has_been_confirmed = False
        self.recorder: TraceRecorder | None = None
        self._on_request = on_request

    async def handle(self, request: HttpRequest) -> RequestResult:
        """Return the outcome of one request and count it by reason."""
        start_s = read_clock_s()
        state = self._current_state()
        if state is None:
            return self._refuse(RefusalReason.NO_CONFIGURATION, STARTING_RETRY_AFTER_S)
        route = state.routes.match(request.method, path_of(request.target))
        if route is None:
            return self._refuse(RefusalReason.NO_ROUTE)
        handled, account = await self._check_and_run(request, state, route, start_s)
        self._record_outcome(handled.outcome, route, account, read_clock_s() - start_s)
        return handled

    async def _check_and_run(
        self, request: HttpRequest, state: ServingState, route: Route, start_s: float
    ) -> tuple[RequestResult, AccountName]:
        service = state.configuration.services[route.service]
        parsed = parse_caller_headers(request.headers, service)
        if parsed.is_error():
            return _early_refusal(route, parsed.error), OPEN_ROUTE_ACCOUNT
        account = await self._authenticate(state, route, parsed.ok.key_text)
        if isinstance(account, NotRun):
            return _early_refusal(route, account.reason, account.retry_after_s), OPEN_ROUTE_ACCOUNT
        headers = allowed_headers(request.headers)
        key_text = parsed.ok.key_text
        if key_text and contains_key(request.target, headers, request.body, key_text):
            return _early_refusal(route, RefusalReason.KEY_EXPOSED), account
        work = Work(
            service=route.service,
            client_account=account,
            method=request.method,
            target_path=request.target,
            headers=headers,
            body=request.body,
            run_id=None if route.idempotent else parsed.ok.idempotency_key,
            fingerprint=fingerprint_of(
                account, route.name, request.method, request.target, request.body
            ),
            is_idempotent=route.idempotent,
            deadline_s=start_s + parsed.ok.deadline_s,
        )
        if self.recorder is not None:
            self.recorder.record(work, request.peer, start_s)
        return await self._run(work, route), account

    async def _run(self, work: Work, route: Route) -> RequestResult:
        dispatch = (
            self._dispatcher.run if route.access is Access.OPEN else self._dispatch_with_token
        )
        if route.idempotent:
            return RequestResult(await dispatch(work))
        # Checked before a token is spent: a resend gets the recorded outcome of the first send.
        return await self._ticket_service.run(work, dispatch, read_clock_s())

    async def _dispatch_with_token(self, work: Work) -> Outcome:
        """Spend a token of the client account, then dispatch."""
        refusal = await self._account_limiter.admit(work.client_account, read_clock_s())
        return await self._dispatcher.run(work) if refusal is None else refusal

    async def _authenticate(
        self, state: ServingState, route: Route, key_text: str | None
    ) -> AccountName | NotRun:
        if route.access is Access.OPEN:
            return OPEN_ROUTE_ACCOUNT
        if not key_text:
            return NotRun(RefusalReason.KEY_MISSING, PERMANENT_RETRY_AFTER_S)
        account = state.keys.account_of(key_text)
        if account is None:
            return NotRun(RefusalReason.KEY_UNKNOWN, PERMANENT_RETRY_AFTER_S)
        when_isolated = state.configuration.client_accounts[account].when_isolated
        if when_isolated is WhenIsolated.REFUSE and not await self._is_confirmed():
            return NotRun(RefusalReason.KEY_UNCONFIRMED, STARTING_RETRY_AFTER_S)
        return account

    async def _is_confirmed(self) -> bool:
        """Return whether the active keys are confirmed; a process that just started waits."""
        now_s = read_clock_s()
        wait_until_s = now_s if self._has_been_confirmed else now_s + FIRST_CONFIRMATION_WAIT_S
        while isinstance(self._standing(now_s), Isolated):
            if now_s >= wait_until_s:
                return False
            await curio.sleep(FIRST_CONFIRMATION_POLL_S)
            now_s = read_clock_s()
        self._has_been_confirmed = True
        return True

    def _refuse(
        self, reason: RefusalReason, retry_after_s: float = PERMANENT_RETRY_AFTER_S
    ) -> RequestResult:
        self._metrics.count_refusal(reason)
        return RequestResult(NotRun(reason, retry_after_s))

    def _record_outcome(
        self, outcome: Outcome, route: Route, account: AccountName, latency_s: float
    ) -> None:
        match outcome:
            case Answered():
                label = "answered"
            case NotRun(reason):
                label = "not-run"
                self._metrics.count_refusal(reason, route.service, account)
            case Unknown(reason):
                label = "unknown"
                self._metrics.count_refusal(reason, route.service, account)
        self._metrics.requests.labels(route.service, account, label).inc()
        self._on_request(route.service)
        self._metrics.latency_s.labels(route.service).observe(latency_s)


def _early_refusal(
    route: Route, reason: RefusalReason, retry_after_s: float = PERMANENT_RETRY_AFTER_S
) -> RequestResult:
    """Refuse before the ticket registry was asked: an earlier send of the request may have run."""
    scope = None if route.idempotent else NotRunScope.SEND
    return RequestResult(NotRun(reason, retry_after_s), scope)
