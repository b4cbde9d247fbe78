"""Brings work to a target: here, or through a VM that owns targets of the service."""

from __future__ import annotations

from typing import TYPE_CHECKING

import curio
from attrs import evolve

from siskinward.coordination.outcomes import Answered
from siskinward.coordination.outcomes import NotRun
from siskinward.coordination.outcomes import RefusalReason
from siskinward.coordination.outcomes import RetryReason
from siskinward.coordination.outcomes import Unknown

if TYPE_CHECKING:
    from collections.abc import Callable

    from siskinward.coordination.outcomes import Outcome
    from siskinward.daemon.forwarder import Forwarder
    from siskinward.daemon.local_service import LocalService
    from siskinward.daemon.metrics import NodeMetrics
    from siskinward.daemon.work import Work
    from siskinward.daemon.work import WorkResult
    from siskinward.state.identifiers import ServiceName
    from siskinward.state.identifiers import VmName

ATTEMPT_LIMIT = 3
NO_TARGET_RETRY_AFTER_S = 0.5


class Dispatcher:
    """Tries the own targets first, then other VMs in the order of ``owners_of``."""

    def __init__(
        self,
        local: LocalService,
        forwarder: Forwarder,
        owners_of: Callable[[ServiceName, float], list[VmName]],
        metrics: NodeMetrics,
    ) -> None:
        self._local = local
        self._forwarder = forwarder
        self._owners_of = owners_of
        self._metrics = metrics

    async def run(self, work: Work) -> Outcome:
        """Return the final outcome; only idempotent or not-run work is tried again."""
        outcome: Outcome = NotRun(RefusalReason.NO_TARGET, NO_TARGET_RETRY_AFTER_S)
        places: list[VmName | None] = [None] if self._local.owns_any(work.service) else []
        places.extend(self._owners_of(work.service, await curio.clock()))
        for place in places[:ATTEMPT_LIMIT]:
            result = await self._attempt(place, work)
            outcome = result.outcome
            reason = _retry_reason(outcome, is_idempotent=work.is_idempotent)
            if reason is None or await curio.clock() >= work.deadline_s:
                return outcome
            self._metrics.count_retry(reason, work.service)
            tried = () if result.tried_target is None else (result.tried_target,)
            work = evolve(work, excluded_targets=(*work.excluded_targets, *tried))
        return outcome

    async def _attempt(self, place: VmName | None, work: Work) -> WorkResult:
        if place is None:
            return await self._local.run(work)
        return await self._forwarder.forward(place, work)


def _retry_reason(outcome: Outcome, *, is_idempotent: bool) -> RetryReason | None:
    match outcome:
        case Answered():
            return None
        case NotRun(RefusalReason.TARGET_SHED):
            return RetryReason.TARGET_SHED
        case NotRun(RefusalReason.PEER_LOST):
            return RetryReason.PEER_LOST
        case NotRun():
            return RetryReason.CONNECT_FAILED
        case Unknown(RefusalReason.ANSWER_INCOMPLETE) if is_idempotent:
            return RetryReason.ANSWER_INCOMPLETE
        case Unknown() if is_idempotent:
            return RetryReason.TARGET_LOST
        case _:
            return None
