"""Decides on retries within the retry budget of a service, and keeps its hedge policy."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import evolve

from siskinward.coordination.outcomes import Answered
from siskinward.coordination.outcomes import NotRun
from siskinward.coordination.outcomes import RefusalReason
from siskinward.coordination.outcomes import RetryReason
from siskinward.coordination.outcomes import Unknown
from siskinward.coordination.retries import AnswerIncomplete
from siskinward.coordination.retries import GiveUp
from siskinward.coordination.retries import HedgePolicy
from siskinward.coordination.retries import LostAfterSent
from siskinward.coordination.retries import NeverConnected
from siskinward.coordination.retries import PeerLost
from siskinward.coordination.retries import RequestProgress
from siskinward.coordination.retries import RetryBudget
from siskinward.coordination.retries import RetryPolicy
from siskinward.coordination.retries import RetrySettings
from siskinward.coordination.retries import Shed
from siskinward.coordination.retries import TimedOut
from siskinward.coordination.retries import TryAgain
from siskinward.state.identifiers import TargetName

if TYPE_CHECKING:
    from random import Random

    from siskinward.coordination.outcomes import Outcome
    from siskinward.coordination.retries import AttemptFailure
    from siskinward.daemon.work import AttemptResult
    from siskinward.state.identifiers import ServiceName
    from siskinward.state.objects import Service

NO_TARGET = TargetName("")
FINAL_REASONS = frozenset(
    {RefusalReason.DEADLINE, RefusalReason.QUARANTINED, RefusalReason.LINK_BUDGET}
)


class RetryController:
    """Keeps one retry budget and one hedge policy per service."""

    def __init__(self, settings: RetrySettings, random: Random) -> None:
        self._settings = settings
        self._policy = RetryPolicy(settings, random)
        self._budgets: dict[ServiceName, RetryBudget] = {}
        self._hedges: dict[ServiceName, HedgePolicy] = {}

    def budget(self, service: ServiceName) -> RetryBudget:
        """Return the retry budget of a service."""
        if service not in self._budgets:
            self._budgets[service] = RetryBudget(self._settings)
        return self._budgets[service]

    def hedge_policy(self, service: Service) -> HedgePolicy:
        """Return the hedge policy of a service."""
        if service.name not in self._hedges:
            self._hedges[service.name] = HedgePolicy(self._settings, service)
        return self._hedges[service.name]

    def decide(
        self, service: ServiceName, progress: RequestProgress, result: AttemptResult, now_s: float
    ) -> TryAgain | GiveUp:
        """Decide whether to retry after an attempt that was not answered."""
        outcome = result.outcome
        if isinstance(outcome, NotRun) and outcome.reason in FINAL_REASONS:
            return GiveUp(_final_outcome(progress, outcome))
        retry_after_s = outcome.retry_after_s if isinstance(outcome, NotRun) else 0.0
        decision = self._policy.decide(
            progress,
            _failure(outcome, result.tried_target or NO_TARGET),
            self.budget(service),
            now_s,
            retry_after_s=retry_after_s,
        )
        match decision:
            case TryAgain() if result.tried_target is None and isinstance(outcome, NotRun):
                return evolve(decision, reason=RetryReason.ANOTHER_VM, after_s=0.0)
            case GiveUp() if isinstance(outcome, NotRun):
                return GiveUp(_final_outcome(progress, outcome))
        return decision


def _final_outcome(progress: RequestProgress, outcome: NotRun) -> Outcome:
    # An earlier attempt may have run although the last one did not.
    return Unknown(outcome.reason) if progress.may_have_run else outcome


def _failure(outcome: Outcome, target: TargetName) -> AttemptFailure:
    match outcome:
        case Answered():
            raise ValueError("expected a failed outcome, got Answered")
        case NotRun(RefusalReason.NO_TARGET | RefusalReason.PEER_LOST):
            return NeverConnected(target)
        case NotRun():
            return Shed(target)
        case Unknown(RefusalReason.ANSWER_INCOMPLETE):
            return AnswerIncomplete(target)
        case Unknown(RefusalReason.PEER_LOST):
            return PeerLost(target)
        case Unknown(RefusalReason.DEADLINE):
            return TimedOut(target)
        case Unknown():
            return LostAfterSent(target)
