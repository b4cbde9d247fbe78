"""Dispatches requests to targets: to this VM's own, or through the VM that the router chooses."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

import curio
from attrs import evolve

from siskinward.coordination.outcomes import Answered
from siskinward.coordination.outcomes import NotRun
from siskinward.coordination.outcomes import RefusalReason
from siskinward.coordination.outcomes import RetryReason
from siskinward.coordination.outcomes import Unknown
from siskinward.coordination.retries import GiveUp
from siskinward.coordination.retries import RequestProgress
from siskinward.daemon.work import AttemptResult
from siskinward.transport.clock import read_clock_s

if TYPE_CHECKING:
    from siskinward.coordination.outcomes import Outcome
    from siskinward.coordination.retries import HedgePolicy
    from siskinward.coordination.routing import Choice
    from siskinward.coordination.routing import Router
    from siskinward.daemon.forwarder import Forwarder
    from siskinward.daemon.local_executor import LocalExecutor
    from siskinward.daemon.metrics import NodeMetrics
    from siskinward.daemon.retry_controller import RetryController
    from siskinward.daemon.work import Work
    from siskinward.state.identifiers import ServiceName
    from siskinward.state.identifiers import VmName
    from siskinward.state.objects import Service

NO_TARGET_RETRY_AFTER_S = 0.5


class Dispatcher:
    """Asks the router where to send each attempt and reports the result to it."""

    def __init__(
        self,
        own_vm: VmName,
        local_executor: LocalExecutor,
        retries: RetryController,
        metrics: NodeMetrics,
    ) -> None:
        self._own_vm = own_vm
        self._local_executor = local_executor
        self._retries = retries
        self._metrics = metrics
        self.services: dict[ServiceName, Service] = {}
        self.router: Router | None = None
        self.forwarder: Forwarder | None = None

    async def run(self, work: Work) -> Outcome:
        """Return the final outcome; retry only requests that are idempotent or did not run."""
        result = await self._run(work, within_domain=False)
        return result.outcome

    async def run_forwarded(self, work: Work, may_forward: bool) -> AttemptResult:
        """Run a request that another VM forwarded, here or at the owner in this failure domain."""
        if not may_forward:
            return await self._local_executor.run(work)
        return await self._run(work, within_domain=True)

    async def _run(self, work: Work, *, within_domain: bool) -> AttemptResult:
        budget = self._retries.budget(work.service)
        budget.on_first_attempt()
        progress = RequestProgress(work.is_idempotent, work.deadline_s)
        excluded_vms: set[VmName] = set()
        result: AttemptResult | None = None
        while True:
            choice = await self._choose(work, excluded_vms, within_domain=within_domain)
            if isinstance(choice, RefusalReason):
                return _result_without_choice(choice, progress, result)
            result = await self._attempt_hedged(choice, work, progress)
            if isinstance(result.outcome, Answered):
                return result
            now_s = read_clock_s()
            decision = self._retries.decide(work.service, progress, result, now_s)
            if isinstance(decision, GiveUp):
                return evolve(result, outcome=decision.outcome)
            self._metrics.count_retry(decision.reason, work.service)
            progress = decision.progress
            if result.tried_target is None:
                excluded_vms.add(choice.vm)
            else:
                excluded = (*work.excluded_targets, result.tried_target)
                work = evolve(work, excluded_targets=excluded)
            await curio.sleep(decision.after_s)

    async def _choose(
        self, work: Work, excluded_vms: set[VmName], *, within_domain: bool
    ) -> Choice | RefusalReason:
        if self.router is None:
            return RefusalReason.NO_TARGET
        return self.router.choose(
            work.service,
            request_bytes=work.size_bytes,
            excluded=excluded_vms,
            now_s=read_clock_s(),
            within_domain=within_domain,
        )

    async def _attempt_hedged(
        self, choice: Choice, work: Work, progress: RequestProgress
    ) -> AttemptResult:
        """Run an attempt; if it is slow and a hedge is allowed, run a second one in parallel."""
        service = self.services.get(work.service)
        if service is None or not service.hedged or progress.failures:
            return await self._attempt(choice, work)
        start_s = read_clock_s()
        policy = self._retries.hedge_policy(service)
        results = curio.Queue()
        await curio.spawn(self._put_attempt_result, results, choice, work, daemon=True)
        result = await _first_result(results, policy.hedge_after_s(progress))
        if result is None and await self._may_hedge(policy, work, progress):
            second = await self._choose(work, {choice.vm}, within_domain=False)
            if not isinstance(second, RefusalReason):
                self._metrics.count_retry(RetryReason.HEDGE, work.service)
                await curio.spawn(self._put_attempt_result, results, second, work, daemon=True)
                result = await results.get()
                if not isinstance(result.outcome, Answered):
                    result = await results.get()
        if result is None:
            result = await results.get()
        if isinstance(result.outcome, Answered):
            policy.on_latency(read_clock_s() - start_s)
        return result

    async def _may_hedge(self, policy: HedgePolicy, work: Work, progress: RequestProgress) -> bool:
        budget = self._retries.budget(work.service)
        now_s = read_clock_s()
        loads = self._local_executor.loads(now_s)
        queued_count = sum(load.waiting for load in loads if load.service == work.service)
        return policy.may_hedge(progress, budget, now_s, queued=queued_count)

    async def _put_attempt_result(self, results: Any, choice: Choice, work: Work) -> None:
        # The slower of two attempts runs to its end: cancelling it would not free its slot.
        await results.put(await self._attempt(choice, work))

    async def _attempt(self, choice: Choice, work: Work) -> AttemptResult:
        assert self.forwarder is not None
        assert self.router is not None
        start_s = read_clock_s()
        self.router.on_sent(choice, start_s)
        try:
            if choice.vm == self._own_vm:
                result = await self._local_executor.run(work)
            else:
                self._metrics.forwarded.labels(choice.destination.failure_domain).inc()
                may_forward = choice.destination.owner is None
                result = await self.forwarder.forward(choice.vm, work, may_forward=may_forward)
        except curio.CancelledError:
            self.router.on_abandoned(choice)
            raise
        self._report_to_router(choice, work, result, start_s, read_clock_s())
        return result

    def _report_to_router(
        self, choice: Choice, work: Work, result: AttemptResult, start_s: float, now_s: float
    ) -> None:
        assert self.router is not None
        match result.outcome:
            case Answered(body=body):
                self.router.on_answer(
                    choice,
                    took_s=now_s - start_s,
                    service_s=result.service_s,
                    size_bytes=work.size_bytes + len(body),
                    load=result.load,
                    now_s=now_s,
                )
            case NotRun(RefusalReason.PEER_LOST) | Unknown(RefusalReason.PEER_LOST):
                self.router.on_lost(choice, now_s)
            case NotRun(_, retry_after_s):
                self.router.on_refusal(
                    choice, retry_after_s=retry_after_s, load=result.load, now_s=now_s
                )
            case Unknown():
                self.router.on_refusal(choice, retry_after_s=0.0, load=result.load, now_s=now_s)


async def _first_result(results: Any, timeout_s: float | None) -> AttemptResult | None:
    """Return the first result, or None after ``timeout_s``."""
    if timeout_s is None:
        first: AttemptResult = await results.get()
        return first
    try:
        async with curio.timeout_after(timeout_s):
            found: AttemptResult = await results.get()
    except curio.TaskTimeout:
        return None
    return found


def _result_without_choice(
    reason: RefusalReason, progress: RequestProgress, previous: AttemptResult | None
) -> AttemptResult:
    if progress.may_have_run:
        return AttemptResult(Unknown(reason))
    if previous is not None and isinstance(previous.outcome, NotRun):
        return previous
    return AttemptResult(NotRun(reason, NO_TARGET_RETRY_AFTER_S))
