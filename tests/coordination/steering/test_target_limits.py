"""The rate limits that targets state, their tokens, and the pauses of targets that have none."""

from __future__ import annotations

from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st
from steering_fixtures import SERVICE
from steering_fixtures import entry_vm
from steering_fixtures import fleet_of
from steering_fixtures import heartbeat
from steering_fixtures import target_record

from siskinward.coordination.steering.fleet import Fleet
from siskinward.coordination.steering.fleet import VmState
from siskinward.coordination.steering.limit_pauses import MAX_RETRY_AFTER_S
from siskinward.coordination.steering.limit_pauses import LimitPauses
from siskinward.coordination.steering.limit_tokens import LimitTokenIssuer
from siskinward.coordination.steering.limit_tokens import LimitTokenSettings
from siskinward.coordination.steering.target_limits import ENDED_RETENTION_S
from siskinward.coordination.steering.target_limits import LimitReport
from siskinward.coordination.steering.target_limits import TargetLimits
from siskinward.coordination.steering.targets import Target
from siskinward.state.identifiers import RegionName
from siskinward.state.identifiers import TargetName

TARGET = TargetName("i-1")
OTHER = TargetName("i-2")


def issuer_of(limits: TargetLimits, fleet: Fleet | None = None) -> LimitTokenIssuer:
    return LimitTokenIssuer(LimitTokenSettings(), limits, fleet or fleet_of(1))


def pauses_of(limits: TargetLimits, fleet: Fleet | None = None) -> LimitPauses:
    fleet = fleet or fleet_of(1)
    return LimitPauses(limits, issuer_of(limits, fleet), fleet)


def target(name: TargetName, **fields: Any) -> Target:
    return Target(target_record(name, **fields), RegionName("north"))


def stated(rate_per_s: float, now_s: float = 0.0) -> TargetLimits:
    limits = TargetLimits()
    limits.record_answer(TARGET, rate_per_s, now_s)
    return limits


def test_limit_is_the_last_one_stated() -> None:
    limits = TargetLimits()
    assert limits.record_answer(TARGET, 2.0, 0.0)
    assert not limits.record_answer(TARGET, 2.0, 1.0)
    assert limits.record_answer(TARGET, 1.5, 2.0)
    assert limits.rate_per_s(TARGET) == 1.5
    assert limits.rate_per_s(OTHER) is None


def test_limit_ends_with_an_answer_that_states_none() -> None:
    limits = stated(2.0)
    assert limits.record_answer(TARGET, None, 1.0)
    assert limits.rate_per_s(TARGET) is None


def test_answers_without_limits_leave_no_trace() -> None:
    limits = TargetLimits()
    assert not limits.record_answer(TARGET, None, 1.0)
    assert limits.own_reports(1.0) == ()


def test_later_statement_wins_in_either_order_of_arrival() -> None:
    first, second = stated(2.0, 10.0), stated(3.0, 11.0)
    reports = [*first.own_reports(12.0), *second.own_reports(12.0)]
    for order in (reports, reports[::-1]):
        limits = TargetLimits()
        limits.apply_reports(order, 12.0)
        assert limits.rate_per_s(TARGET) == 3.0


def test_report_of_another_vm_changes_the_limit_once() -> None:
    limits = TargetLimits()
    report = LimitReport(7, 2.0, 0.5)
    assert limits.apply_reports([report], 10.0) == [7]
    assert limits.apply_reports([report], 10.0) == []


def test_only_what_a_vm_heard_itself_is_reported() -> None:
    limits = TargetLimits()
    limits.apply_reports(stated(2.0, 0.0).own_reports(1.0), 1.0)
    assert limits.rate_per_s(TARGET) == 2.0
    assert limits.own_reports(1.0) == ()


def test_statement_stays_reported_while_another_vm_hears_the_same() -> None:
    limits = stated(2.0, 0.0)
    limits.apply_reports(stated(2.0, 1.0).own_reports(1.5), 1.5)
    assert [report.rate_per_s for report in limits.own_reports(2.0)] == [2.0]


def test_statement_is_no_longer_reported_once_another_vm_heard_differently_later() -> None:
    limits = stated(2.0, 0.0)
    limits.apply_reports(stated(5.0, 1.0).own_reports(1.5), 1.5)
    assert limits.own_reports(2.0) == ()
    assert limits.rate_per_s(TARGET) == 5.0


def test_malformed_limit_passes_on_the_last_one_with_its_age() -> None:
    limits = TargetLimits()
    limits.record_malformed(TARGET)
    assert limits.own_reports(1.0) == ()
    limits.apply_reports(stated(2.0, 0.0).own_reports(1.0), 1.0)
    limits.record_malformed(TARGET)
    assert [(item.rate_per_s, item.age_s) for item in limits.own_reports(4.0)] == [(2.0, 4.0)]


def test_end_of_a_limit_is_reported_and_then_forgotten() -> None:
    limits = stated(2.0, 0.0)
    limits.record_answer(TARGET, None, 1.0)
    assert [report.rate_per_s for report in limits.own_reports(2.0)] == [None]
    assert limits.own_reports(1.1 + ENDED_RETENTION_S) == ()


def test_limit_of_a_target_that_is_gone_is_forgotten() -> None:
    limits = stated(2.0)
    limits.retain([OTHER])
    assert limits.rate_per_s(TARGET) is None
    assert limits.own_reports(0.0) == ()


def test_issuer_grants_at_the_stated_rate() -> None:
    issuer = issuer_of(stated(2.0))
    grants = [issuer.grant(1, TARGET, step / 100) for step in range(1000)]
    assert 19 <= sum(grant.is_granted for grant in grants) <= 21


def test_denied_vm_is_told_when_there_is_a_token() -> None:
    issuer = issuer_of(stated(2.0))
    while (grant := issuer.grant(1, TARGET, 10.0)).is_granted:
        pass
    assert 0 < grant.retry_after_s <= 0.5
    assert issuer.grant(1, TARGET, 10.0 + grant.retry_after_s).is_granted


def test_target_without_a_limit_needs_no_token() -> None:
    issuer = issuer_of(TargetLimits())
    assert all(issuer.grant(1, TARGET, 0.0).is_granted for _ in range(100))


def test_target_that_states_zero_is_tried_now_and_then() -> None:
    issuer = issuer_of(stated(0.0))
    grants = [issuer.grant(1, TARGET, step / 10) for step in range(600)]
    assert 11 <= sum(grant.is_granted for grant in grants) <= 13


@given(
    rates=st.lists(st.floats(0.0, 40.0), min_size=1, max_size=6),
    gaps_s=st.lists(st.floats(0.0, 0.6), min_size=1, max_size=60),
)
def test_issuer_never_grants_more_than_the_highest_limit_of_the_time(
    rates: list[float], gaps_s: list[float]
) -> None:
    limits = TargetLimits()
    issuer = issuer_of(limits)
    now_s, granted_s = 1.0, []
    for number, gap_s in enumerate(gaps_s):
        now_s += gap_s
        limits.record_answer(TARGET, rates[number % len(rates)], now_s)
        granted_s += [now_s for _ in range(50) if issuer.grant(1, TARGET, now_s).is_granted]
    highest_per_s = issuer.issued_rate_per_s(max(rates))
    for start_s in granted_s:
        within = sum(start_s <= at_s < start_s + 4.0 for at_s in granted_s)
        assert within <= highest_per_s * 4.0 + max(1.0, highest_per_s * 0.5) + 1e-6


def test_sides_of_a_partition_issue_no_more_than_the_limit_together() -> None:
    granted = 0
    for side in ([0, 1, 2, 3], [4, 5]):
        fleet = fleet_of(6, own=side[0])
        issuer = issuer_of(stated(3.0), fleet)
        for step in range(400):
            now_s = 0.5 + step / 100
            for number in side:
                beat = heartbeat(entry_vm(number), 2 + step)
                fleet.on_heartbeat(beat, now_s)
            granted += issuer.grant(1, TARGET, now_s).is_granted
    assert granted <= 3.0 * 4.0 + 2


def test_new_issuer_starts_with_an_empty_bucket() -> None:
    fleet = fleet_of(3)
    issuer = issuer_of(stated(1.0), fleet)
    issuer.update_membership(0.0)
    fleet.on_heartbeat(heartbeat(entry_vm(1, incarnation="b")), 5.0)
    assert not issuer.grant(1, TARGET, 5.0).is_granted


def test_paused_target_is_left_out_until_it_has_a_token() -> None:
    limits = stated(1.0)
    pauses = pauses_of(limits)
    limited, other = target(TARGET), target(OTHER)
    pauses.record_denied(TARGET, 0.5, 0.0)
    assert pauses.without_paused([limited, other], 0.4) == [other]
    assert pauses.without_paused([limited, other], 0.5) == [limited, other]


@pytest.mark.parametrize("rate_per_s", [None, 9.0])
def test_pause_ends_when_the_target_states_another_limit(rate_per_s: float | None) -> None:
    limits = stated(0.0)
    pauses = pauses_of(limits)
    pauses.record_denied(TARGET, 5.0, 0.0)
    limits.record_answer(TARGET, rate_per_s, 0.1)
    assert not pauses.is_paused(TARGET, 0.2)


def test_retries_are_scheduled_at_the_fleet_s_share_of_the_limits() -> None:
    fleet = fleet_of(4)
    limits = stated(2.0)
    limits.record_answer(OTHER, 6.0, 0.0)
    pauses = pauses_of(limits, fleet)
    targets = [target(TARGET), target(OTHER)]
    pauses.record_denied(TARGET, 0.4, 0.0)
    pauses.record_denied(OTHER, 0.2, 0.0)
    waits_s = [pauses.schedule_retry(SERVICE, targets, 0.0) for _ in range(3)]
    assert waits_s == pytest.approx([0.2, 0.7, 1.2])


def test_retry_time_is_bounded() -> None:
    pauses = pauses_of(stated(0.0))
    waits_s = [pauses.schedule_retry(SERVICE, [target(TARGET)], 0.0) for _ in range(50)]
    assert max(waits_s) == MAX_RETRY_AFTER_S


def test_vm_that_is_not_ready_counts_for_no_share_of_retries() -> None:
    fleet = fleet_of(1)
    fleet.state = VmState.STARTING
    pauses = pauses_of(stated(1.0), fleet)
    assert pauses.schedule_retry(SERVICE, [target(TARGET)], 0.0) > 0
