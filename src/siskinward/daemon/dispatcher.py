"""Brings work to a target: on this VM, or through the VM that the router chooses."""

from __future__ import annotations

from typing import TYPE_CHECKING

import curio
from attrs import evolve

from siskinward.coordination.outcomes import Answered
from siskinward.coordination.outcomes import NotRun
from siskinward.coordination.outcomes import RefusalReason
from siskinward.coordination.outcomes import RetryReason
from siskinward.coordination.outcomes import Unknown
from siskinward.daemon.work import WorkResult

if TYPE_CHECKING:
    from siskinward.coordination.outcomes import Outcome
    from siskinward.coordination.routing import Choice
    from siskinward.coordination.routing import Router
    from siskinward.daemon.forwarder import Forwarder
    from siskinward.daemon.local_service import LocalService
    from siskinward.daemon.metrics import NodeMetrics
    from siskinward.daemon.work import Work
    from siskinward.state.identifiers import VmName

ATTEMPT_LIMIT = 4
NO_TARGET_RETRY_AFTER_S = 0.5


class Dispatcher:
    """Asks the router for each attempt and tells it what became of it."""

    def __init__(self, own_vm: VmName, local: LocalService, metrics: NodeMetrics) -> None:
        self._own_vm = own_vm
        self._local = local
        self._metrics = metrics
        self.router: Router | None = None
        self.forwarder: Forwarder | None = None

    async def run(self, work: Work) -> Outcome:
        """Return the final outcome; only idempotent or not-run work is tried again."""
        result = await self._run(work, within_domain=False)
        return result.outcome

    async def run_forwarded(self, work: Work, may_forward: bool) -> WorkResult:
        """Run what another VM forwarded, here or at the owner in this failure domain."""
        if not may_forward:
            return await self._local.run(work)
        return await self._run(work, within_domain=True)

    async def _run(self, work: Work, *, within_domain: bool) -> WorkResult:
        excluded_vms: set[VmName] = set()
        result = WorkResult(NotRun(RefusalReason.NO_TARGET, NO_TARGET_RETRY_AFTER_S))
        if self.router is None:
            return result
        for attempt in range(ATTEMPT_LIMIT):
            choice = self.router.choose(
                work.service,
                request_bytes=work.size_bytes,
                excluded=excluded_vms,
                now_s=await curio.clock(),
                within_domain=within_domain,
            )
            if isinstance(choice, RefusalReason):
                return result if attempt else _unplaced(choice)
            result = await self._attempt(choice, work)
            reason = _retry_reason(result.outcome, is_idempotent=work.is_idempotent)
            if reason is None or await curio.clock() >= work.deadline_s:
                return result
            self._metrics.count_retry(reason, work.service)
            if result.tried_target is None:
                excluded_vms.add(choice.vm)
            else:
                excluded = (*work.excluded_targets, result.tried_target)
                work = evolve(work, excluded_targets=excluded)
        return result

    async def _attempt(self, choice: Choice, work: Work) -> WorkResult:
        assert self.forwarder is not None
        assert self.router is not None
        start_s = await curio.clock()
        self.router.on_sent(choice, start_s)
        if choice.vm == self._own_vm:
            result = await self._local.run(work)
        else:
            self._metrics.forwarded.labels(choice.place.failure_domain).inc()
            may_forward = choice.place.owner is None
            result = await self.forwarder.forward(choice.vm, work, may_forward=may_forward)
        self._tell_router(choice, work, result, start_s, await curio.clock())
        return result

    def _tell_router(
        self, choice: Choice, work: Work, result: WorkResult, start_s: float, now_s: float
    ) -> None:
        assert self.router is not None
        match result.outcome:
            case Answered(body=body):
                self.router.on_answer(
                    choice,
                    took_s=now_s - start_s,
                    service_s=result.service_s,
                    size_bytes=work.size_bytes + len(body),
                    now_s=now_s,
                )
            case NotRun(RefusalReason.PEER_LOST) | Unknown(RefusalReason.PEER_LOST):
                self.router.on_lost(choice, now_s)
            case NotRun(_, retry_after_s):
                self.router.on_refusal(choice, retry_after_s=retry_after_s, now_s=now_s)
            case Unknown():
                self.router.on_refusal(choice, retry_after_s=0.0, now_s=now_s)


def _unplaced(reason: RefusalReason) -> WorkResult:
    return WorkResult(NotRun(reason, NO_TARGET_RETRY_AFTER_S))


def _retry_reason(outcome: Outcome, *, is_idempotent: bool) -> RetryReason | None:
    match outcome:
        case Answered():
            return None
        case NotRun(RefusalReason.TARGET_SHED):
            return RetryReason.TARGET_SHED
        case NotRun(RefusalReason.PEER_LOST):
            return RetryReason.PEER_LOST
        case NotRun(RefusalReason.NO_TARGET):
            return RetryReason.CONNECT_FAILED
        case NotRun():
            return RetryReason.ANOTHER_VM
        case Unknown(RefusalReason.ANSWER_INCOMPLETE) if is_idempotent:
            return RetryReason.ANSWER_INCOMPLETE
        case Unknown() if is_idempotent:
            return RetryReason.TARGET_LOST
        case _:
            return None
