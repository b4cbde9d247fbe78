"""Which failures are retried, how a request ends without a retry, and the budget's bound."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING

import pytest
from hypothesis import given
from hypothesis import strategies as st

from siskinward.coordination.outcomes import NotRun
from siskinward.coordination.outcomes import RefusalReason
from siskinward.coordination.outcomes import Unknown
from siskinward.coordination.retries import AnswerIncomplete
from siskinward.coordination.retries import GiveUp
from siskinward.coordination.retries import HedgePolicy
from siskinward.coordination.retries import LostAfterSent
from siskinward.coordination.retries import NeverConnected
from siskinward.coordination.retries import PeerLost
from siskinward.coordination.retries import RequestProgress
from siskinward.coordination.retries import RetryAfterCalculator
from siskinward.coordination.retries import RetryBudget
from siskinward.coordination.retries import RetryPolicy
from siskinward.coordination.retries import RetrySettings
from siskinward.coordination.retries import Shed
from siskinward.coordination.retries import StaleConnection
from siskinward.coordination.retries import TimedOut
from siskinward.coordination.retries import TryAgain
from siskinward.state.identifiers import ServiceName
from siskinward.state.identifiers import TargetName
from siskinward.state.objects import Service
from siskinward.state.objects import ServiceClass

if TYPE_CHECKING:
    from siskinward.coordination.retries import AttemptFailure

SETTINGS = RetrySettings()
TARGET = TargetName("organ-1")
KNOWN_NOT_RUN = [NeverConnected, StaleConnection, Shed]
MAY_HAVE_RUN = [LostAfterSent, AnswerIncomplete, PeerLost, TimedOut]
FAILURES = st.lists(
    st.sampled_from(KNOWN_NOT_RUN + MAY_HAVE_RUN).map(lambda kind: kind(TARGET)), min_size=1
)


@given(failures=FAILURES, idempotent=st.booleans())
def test_policy_never_reruns_and_never_denies_a_run(
    failures: list[AttemptFailure], idempotent: bool
) -> None:
    policy, budget = RetryPolicy(SETTINGS, Random(1)), RetryBudget(SETTINGS)
    progress = RequestProgress(idempotent, deadline_s=5.0)
    may_have_run = False
    for tries, failure in enumerate(failures, start=1):
        may_have_run = may_have_run or isinstance(failure, tuple(MAY_HAVE_RUN))
        match policy.decide(progress, failure, budget, 0.0):
            case TryAgain() as again:
                assert idempotent or not may_have_run
                assert tries < SETTINGS.attempt_limit
                progress = again.progress
            case GiveUp(outcome):
                assert isinstance(outcome, Unknown if may_have_run else NotRun)
                return


@pytest.mark.parametrize("kind", KNOWN_NOT_RUN)
def test_policy_retries_booking_known_not_run(kind: type[Shed]) -> None:
    budget = RetryBudget(SETTINGS)
    progress = RequestProgress(idempotent=False, deadline_s=5.0)
    decision = RetryPolicy(SETTINGS, Random(1)).decide(progress, kind(TARGET), budget, 0.0)
    assert isinstance(decision, TryAgain)
    assert decision.exclude == TARGET


@pytest.mark.parametrize(("deadline_s", "tokens"), [(0.001, 20.0), (5.0, 0.0)])
def test_policy_gives_up_without_time_or_tokens(deadline_s: float, tokens: float) -> None:
    settings = RetrySettings(budget_limit_tokens=tokens)
    progress = RequestProgress(idempotent=True, deadline_s=deadline_s)
    decision = RetryPolicy(settings, Random(1)).decide(
        progress, NeverConnected(TARGET), RetryBudget(settings), 0.0, retry_after_s=2.0
    )
    assert isinstance(decision, GiveUp)
    assert isinstance(decision.outcome, NotRun)
    assert decision.outcome.reason is RefusalReason.NO_TARGET
    assert decision.outcome.retry_after_s >= 2.0


def test_budget_bounds_retries_by_fraction_of_first_attempts() -> None:
    budget = RetryBudget(SETTINGS)
    requests, retries = 1000, 0
    for _ in range(requests):
        budget.on_first_attempt()
        retries += sum(budget.try_spend() for _ in range(SETTINGS.attempt_limit - 1))
    bound = SETTINGS.budget_limit_tokens + requests * SETTINGS.earned_tokens_per_request
    assert retries <= bound


@pytest.mark.parametrize("hedged", [True, False])
def test_hedge_only_for_hedged_idempotent_services_after_p95(hedged: bool) -> None:
    service = Service(ServiceName("listings"), ServiceClass.READ, hedged=hedged)
    policy = HedgePolicy(SETTINGS, service)
    read = RequestProgress(idempotent=True, deadline_s=5.0)
    booking = RequestProgress(idempotent=False, deadline_s=5.0)
    assert policy.hedge_after_s(read) is None
    for number in range(SETTINGS.hedge_samples):
        policy.on_latency(0.2 if number % 10 == 0 else 0.01)
    budget = RetryBudget(RetrySettings(budget_limit_tokens=1.0))
    assert policy.hedge_after_s(booking) is None
    assert policy.hedge_after_s(read) == (0.2 if hedged else None)
    assert not policy.may_hedge(booking, budget, 0.0, queued=0)
    assert not policy.may_hedge(read, budget, 0.0, queued=1)
    assert policy.may_hedge(read, budget, 0.0, queued=0) is hedged
    assert not policy.may_hedge(read, budget, 0.0, queued=0)


def test_calculator_spreads_callers_and_adds_only_positive_jitter() -> None:
    calculator = RetryAfterCalculator(SETTINGS, Random(1))
    waits_s = {calculator.after_queue_s(64, 32.0) for _ in range(50)}
    assert len(waits_s) > 1
    assert all(2.0 <= wait_s <= 2.0 * (1.0 + SETTINGS.retry_after_jitter) for wait_s in waits_s)
    limit_s = SETTINGS.retry_after_limit_s
    least_s = limit_s / (1.0 + SETTINGS.retry_after_jitter)
    assert least_s <= calculator.after_bucket_s(3.0, 0.0) <= limit_s


def test_calculator_never_exceeds_its_limit_and_still_spreads_callers_there() -> None:
    calculator = RetryAfterCalculator(SETTINGS, Random(5))
    limit_s = SETTINGS.retry_after_limit_s
    waits_s = [calculator.jittered_s(2 * limit_s) for _ in range(200)]
    assert max(waits_s) <= limit_s
    assert max(waits_s) - min(waits_s) > 0.1 * limit_s
