"""Serves a caller's request: route, API key, quota, placement, sends and retries."""

from __future__ import annotations

from typing import TYPE_CHECKING

import curio

from siskinward.coordination.steering.admission_queue import Rejected
from siskinward.coordination.steering.placement import NoTarget
from siskinward.coordination.steering.placement import PlacementRequest
from siskinward.coordination.steering.placement import TargetsLeaving
from siskinward.coordination.steering.placement import TargetsResting
from siskinward.daemon.entry.dispatcher import DispatchRequest
from siskinward.daemon.entry.dispatcher import LimitReached
from siskinward.daemon.entry.quota_enforcer import OverQuota
from siskinward.daemon.entry.quota_enforcer import WithinQuota
from siskinward.daemon.entry.refusals import LEAVING_RETRY_AFTER_S
from siskinward.daemon.entry.refusals import RETRY_AFTER_S
from siskinward.daemon.entry.refusals import SHUTDOWN_RETRY_AFTER_S
from siskinward.daemon.entry.refusals import Reason
from siskinward.daemon.entry.refusals import Refused
from siskinward.daemon.entry.refusals import refused
from siskinward.daemon.entry.request_admission import RequestAdmission
from siskinward.daemon.entry.request_context import RequestContext
from siskinward.daemon.entry.request_context import SendRecord
from siskinward.daemon.entry.sender import Answered
from siskinward.daemon.entry.sender import NotRun
from siskinward.daemon.entry.sender import OutcomeUnknown
from siskinward.daemon.entry.sender import OutgoingRequest
from siskinward.daemon.entry.sender import SendFailure
from siskinward.transport.clock import read_clock_s

if TYPE_CHECKING:
    from siskinward.coordination.steering.placement import Placed
    from siskinward.coordination.steering.slow_targets import Run
    from siskinward.coordination.steering.targets import Target
    from siskinward.daemon.entry.dispatcher import Dispatcher
    from siskinward.daemon.entry.quota_enforcer import QuotaEnforcer
    from siskinward.daemon.entry.request_log import RequestLog
    from siskinward.daemon.entry.sender import Sender
    from siskinward.daemon.entry.sender import SendResult
    from siskinward.daemon.entry.steering import Steering
    from siskinward.protocol.steering_headers import SteeringHeaders
    from siskinward.state.identifiers import RegionName
    from siskinward.transport.front_server import Arrival
    from siskinward.transport.http_messages import HttpResponse

# Failed connects reached no target and don't count as attempts; they have a limit of their own.
MAX_FAILED_CONNECTS = 3


class RequestHandler:
    """Answers callers' requests."""

    def __init__(
        self,
        steering: Steering,
        headers: SteeringHeaders,
        dispatcher: Dispatcher,
        sender: Sender,
        quota: QuotaEnforcer,
        log: RequestLog,
    ) -> None:
        self._steering = steering
        self._headers = headers
        self._admission = RequestAdmission(steering, headers)
        self._dispatcher = dispatcher
        self._sender = sender
        self._quota = quota
        self._log = log

    async def handle(self, arrival: Arrival) -> HttpResponse:
        """Answer one request."""
        context: RequestContext | None = None
        try:
            context = self._admission.admit(arrival)
            await self._enforce_quota(context)
            response = await self._serve(context)
        except Refused as refusal:
            self._log.record_result(arrival, context, refusal.response.status, refusal.reason)
            return refusal.response
        self._log.record_result(arrival, context, response.status, None)
        return response

    async def _enforce_quota(self, context: RequestContext) -> None:
        if context.account is None:
            return
        match await self._quota.try_take(context.account):
            case OverQuota(retry_after_s=retry_after_s, issuer=issuer):
                context.quota_issuer = issuer
                raise refused(Reason.OVER_QUOTA, retry_after_s)
            case WithinQuota():
                return

    async def _serve(self, context: RequestContext) -> HttpResponse:
        while True:
            placed = await self._acquire_target(context)
            result = await self._attempt(context, placed)
            response = self._respond_or_retry(context, result)
            if response is not None:
                return response

    async def _acquire_target(self, context: RequestContext) -> Placed:
        """Return a slot at a target; raise a refusal if there is none, or no time left for it."""
        shutdown = self._steering.shutdown
        if shutdown.leaves_time_until(context.deadline_s):
            placed = await self._acquire_slot(context)
            if shutdown.leaves_time_until(context.deadline_s):
                return placed
            await self._dispatcher.release(placed.target)
        raise self._create_refusal(context, Reason.SHUTTING_DOWN, SHUTDOWN_RETRY_AFTER_S)

    async def _acquire_slot(self, context: RequestContext) -> Placed:
        request = DispatchRequest(
            placement=self._placement_request(context),
            account=context.account.name if context.account else None,
            priority=self._priority(context),
            latency_objective_s=context.route.latency_objective_s,
            arrived_s=context.arrival.received_s,
            deadline_s=context.deadline_s,
        )
        before_s = read_clock_s()
        acquired = await self._dispatcher.acquire(request)
        context.waited_s += read_clock_s() - before_s
        match acquired:
            case NoTarget():
                raise self._create_refusal(context, Reason.NO_TARGET, RETRY_AFTER_S)
            case TargetsLeaving():
                raise self._create_refusal(context, Reason.TARGETS_LEAVING, LEAVING_RETRY_AFTER_S)
            case TargetsResting(for_s=for_s):
                raise self._create_refusal(context, Reason.TARGETS_RESTING, for_s)
            case Rejected(retry_after_s=retry_after_s):
                self._record_considered(context, request)
                raise self._create_refusal(context, Reason.NO_CAPACITY, retry_after_s)
            case LimitReached(retry_after_s=retry_after_s):
                self._record_considered(context, request)
                raise self._create_refusal(context, Reason.TARGETS_LIMITED, retry_after_s)
            case placed:
                return placed

    def _record_considered(self, context: RequestContext, request: DispatchRequest) -> None:
        now_s = read_clock_s()
        placement = self._steering.placement
        context.considered = placement.considered(request.placement, now_s)
        context.free_slots = placement.free_slots(context.service, now_s)

    def _placement_request(self, context: RequestContext) -> PlacementRequest:
        route = context.route
        object_key = context.arrival.request.header(self._headers.object_key) or b""
        return PlacementRequest(
            service=context.service,
            object_key=f"{route.name}/{object_key.decode('latin-1')}" if object_key else "",
            home_regions=self._home_regions(context),
            tried=frozenset(context.tried),
        )

    def _home_regions(self, context: RequestContext) -> frozenset[RegionName]:
        """Return the regions that may serve a request; empty if all may."""
        route_homes = context.route.home_regions
        account_homes = context.account.home_regions if context.account else frozenset()
        if route_homes and account_homes:
            return route_homes & account_homes
        return route_homes or account_homes

    def _priority(self, context: RequestContext) -> int:
        if context.account is not None and context.account.priority is not None:
            return context.account.priority
        return context.route.priority

    async def _attempt(self, context: RequestContext, placed: Placed) -> SendResult:
        target = placed.target
        load, started_s = target.load, read_clock_s()
        outgoing = OutgoingRequest(
            request=context.arrival.request,
            account=context.account.name if context.account else None,
            is_idempotent=context.route.is_idempotent,
            deadline_s=context.deadline_s,
            fingerprint=context.fingerprint,
            home_regions=self._home_regions(context),
        )
        run = self._start_run(context, placed, started_s)
        result: SendResult | None = None
        try:
            await self._check_caller(context)
            # A request that must not run twice runs to its end even if its caller disconnects.
            context.arrival.survives_disconnect = not context.route.is_idempotent
            result = await self._sender.send(outgoing, target)
        finally:
            context.arrival.survives_disconnect = False
            self._end_run(run, result)
            await self._dispatcher.release(target)
        if not self._may_try_again(context, target, result):
            context.tried.append(target.name)
        context.may_have_run = context.may_have_run or isinstance(result, OutcomeUnknown)
        took_ms = round((read_clock_s() - started_s) * 1000, 1)
        outcome = _outcome_text(result)
        slots = target.record.slots
        relay = result.relay if isinstance(result, Answered) else None
        context.sends.append(
            SendRecord(
                target.name,
                placed.choice,
                load,
                slots,
                placed.is_warm,
                outcome,
                took_ms,
                relay,
                result.detail,
            )
        )
        return result

    async def _check_caller(self, context: RequestContext) -> None:
        """End a request that is not sent yet if its caller has gone.

        A cancelled task goes on until it has to wait, which it need not before it has sent.
        """
        await curio.check_cancellation()
        if context.arrival.is_caller_gone():
            raise self._create_refusal(context, Reason.CALLER_GONE, RETRY_AFTER_S)

    def _may_try_again(self, context: RequestContext, target: Target, result: SendResult) -> bool:
        """Return whether a target stays a candidate for the next attempt.

        A target that sheds with free slots may accept it, and its cache is warm for the object. One
        that states a rate limit sheds because it is in need. A request that must not run twice goes
        to each target once: a copy of the first refusal might be taken for a second one.
        """
        is_shed = isinstance(result, NotRun) and result.reason is SendFailure.SHED
        if not is_shed or not context.route.is_idempotent:
            return False
        return self._steering.limits.rate_per_s(target.name) is None

    def _start_run(self, context: RequestContext, placed: Placed, now_s: float) -> Run:
        target = placed.target
        return self._steering.slow.on_sent(
            target,
            is_warm=placed.is_warm,
            objective_s=context.route.latency_objective_s,
            now_s=now_s,
        )

    def _end_run(self, run: Run, result: SendResult | None) -> None:
        is_timeout = isinstance(result, OutcomeUnknown) and result.reason is SendFailure.TIMEOUT
        is_answered = isinstance(result, Answered)
        self._steering.slow.on_ended(
            run, is_answered=is_answered, is_timeout=is_timeout, now_s=read_clock_s()
        )

    def _respond_or_retry(self, context: RequestContext, result: SendResult) -> HttpResponse | None:
        """Return the answer for the caller, or None to send again; raise a refusal otherwise."""
        match result:
            case Answered(response=response, is_error=is_error):
                if is_error and context.route.is_idempotent and self._may_retry(context):
                    context.may_have_run = True
                    return None
                return response
            case NotRun(reason=reason):
                if self._may_retry(context):
                    return None
                raise self._create_refusal(context, _refusal_reason(reason), RETRY_AFTER_S)
            case OutcomeUnknown(reason=reason):
                if reason is SendFailure.TIMEOUT:
                    raise refused(Reason.TIMEOUT)
                if context.route.is_idempotent and self._may_retry(context):
                    return None
                raise refused(Reason.OUTCOME_UNKNOWN)

    def _may_retry(self, context: RequestContext) -> bool:
        now_s = read_clock_s()
        if context.arrival.caller_disconnected or now_s >= context.deadline_s:
            return False
        if self._steering.crashes.is_blocked(context.fingerprint, now_s):
            return False
        if context.attempts >= context.route.max_attempts:
            return False
        if len(context.sends) - context.attempts > MAX_FAILED_CONNECTS:
            return False
        # Until a send may have reached a target, the next one is no retry and costs no budget.
        if context.attempts > 0 and not self._steering.retries.try_take(context.service, now_s):
            return False
        self._log.count_retry(context)
        return True

    def _create_refusal(
        self, context: RequestContext, reason: Reason, retry_after_s: float
    ) -> Refused:
        """Refund the token and return the refusal; OUTCOME_UNKNOWN if the request may have run."""
        if context.may_have_run:
            return refused(Reason.OUTCOME_UNKNOWN)
        if context.account is not None:
            self._quota.refund(context.account)
        return refused(reason, retry_after_s)


def _outcome_text(result: SendResult) -> str:
    match result:
        case Answered(response=response):
            return str(response.status)
        case NotRun(reason=reason) | OutcomeUnknown(reason=reason):
            return reason.value


def _refusal_reason(reason: SendFailure) -> Reason:
    match reason:
        case SendFailure.SHED | SendFailure.FULL | SendFailure.RESTING | SendFailure.MISDIRECTED:
            return Reason.TARGETS_SHED
        case SendFailure.TIMEOUT:
            return Reason.TIMEOUT_UNSENT
        case _:
            return Reason.NO_TARGET
