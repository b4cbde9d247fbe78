"""Decision after each failed attempt whether to retry the request."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import evolve
from attrs import frozen

from siskinward.coordination.outcomes import NotRun
from siskinward.coordination.outcomes import Outcome
from siskinward.coordination.outcomes import RetryReason
from siskinward.coordination.outcomes import Unknown
from siskinward.coordination.retries._results import AttemptFailure
from siskinward.coordination.retries._results import FailureClassification
from siskinward.coordination.retries._results import Shed
from siskinward.coordination.retries._results import classify_failure
from siskinward.coordination.retries._retry_after import RetryAfterCalculator
from siskinward.state.identifiers import TargetName

if TYPE_CHECKING:
    from random import Random

    from siskinward.coordination.retries._budget import RetryBudget
    from siskinward.coordination.retries._settings import RetrySettings


@frozen
class RequestProgress:
    """Properties of a request and its failed attempts so far."""

    idempotent: bool
    deadline_s: float
    failures: int = 0
    may_have_run: bool = False
    excluded: tuple[TargetName, ...] = ()


@frozen
class TryAgain:
    """Retry after ``after_s`` on a target that is not in ``progress.excluded``."""

    progress: RequestProgress
    exclude: TargetName
    reason: RetryReason
    after_s: float


@frozen
class GiveUp:
    """Do not retry; answer the caller with ``outcome`` now."""

    outcome: Outcome


RetryDecision = TryAgain | GiveUp


class RetryPolicy:
    """Retries, within the budget, only requests that are idempotent or known not to have run."""

    def __init__(self, settings: RetrySettings, random: Random) -> None:
        self._settings = settings
        self._random = random
        self._retry_after_calculator = RetryAfterCalculator(settings, random)

    def decide(
        self,
        progress: RequestProgress,
        failure: AttemptFailure,
        budget: RetryBudget,
        now_s: float,
        *,
        retry_after_s: float = 0.0,
    ) -> RetryDecision:
        """Decide whether to retry. ``retry_after_s`` is the service's advice for a ``NotRun``."""
        classification = classify_failure(failure)
        progress = evolve(
            progress,
            failures=progress.failures + 1,
            may_have_run=progress.may_have_run or classification.may_have_run,
            excluded=(*progress.excluded, failure.target),
        )
        after_s = self._backoff_s(progress, failure)
        if not self._may_retry(progress, after_s, now_s) or not budget.try_spend():
            return self._give_up(progress, classification, retry_after_s)
        return TryAgain(progress, failure.target, classification.retry, after_s)

    def _may_retry(self, progress: RequestProgress, after_s: float, now_s: float) -> bool:
        if progress.may_have_run and not progress.idempotent:
            return False
        if progress.failures >= self._settings.attempt_limit:
            return False
        left_s = progress.deadline_s - now_s - after_s
        return left_s >= self._settings.min_time_left_s

    def _backoff_s(self, progress: RequestProgress, failure: AttemptFailure) -> float:
        # Only shedding indicates overload; other failures concern one target, and another is tried.
        if not isinstance(failure, Shed):
            return 0.0
        ceiling_s = self._settings.backoff_s * 2.0 ** (progress.failures - 1)
        return self._random.uniform(0.0, min(ceiling_s, self._settings.backoff_limit_s))

    def _give_up(
        self, progress: RequestProgress, classification: FailureClassification, retry_after_s: float
    ) -> GiveUp:
        if progress.may_have_run:
            return GiveUp(Unknown(classification.refusal))
        return GiveUp(
            NotRun(classification.refusal, self._retry_after_calculator.jittered_s(retry_after_s))
        )
