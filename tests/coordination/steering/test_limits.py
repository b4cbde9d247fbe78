"""Retry budget, crash guard, request fingerprints, admission queue and route splitter."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st
from steering_fixtures import SERVICE
from steering_fixtures import entry_vm
from steering_fixtures import fleet_of

from siskinward.coordination.fingerprints import fingerprint_of
from siskinward.coordination.steering.admission_queue import AdmissionQueue
from siskinward.coordination.steering.admission_queue import Queued
from siskinward.coordination.steering.admission_queue import QueueSettings
from siskinward.coordination.steering.admission_queue import Rejected
from siskinward.coordination.steering.crash_guard import CrashGuard
from siskinward.coordination.steering.crash_guard import CrashGuardSettings
from siskinward.coordination.steering.fleet import Fleet
from siskinward.coordination.steering.fleet import FleetSettings
from siskinward.coordination.steering.retry_budget import RetryBudget
from siskinward.coordination.steering.retry_budget import RetrySettings
from siskinward.coordination.steering.splits import RouteSplitter
from siskinward.state.identifiers import AccountName
from siskinward.state.identifiers import ServiceName
from siskinward.state.serving import Repeatability
from siskinward.state.serving import ServedRoute
from siskinward.state.serving import ServingBounds
from siskinward.state.serving import WeightedService
from soak.retry_arrivals import worst_window_of_times

BOUNDS = ServingBounds()


def retry_budget(vms: int, vm: int, started_s: float = 0.0) -> RetryBudget:
    return RetryBudget(RetrySettings(), BOUNDS, fleet_of(vms, own=vm), started_s)


# Each step lets a VM get requests and want retries, and may kill one VM or all of them before.
@given(
    vms=st.integers(1, 12),
    steps=st.lists(
        st.tuples(
            st.integers(0, 11),
            st.integers(0, 40),
            st.integers(0, 60),
            st.sampled_from(["none", "none", "one", "all"]),
            st.sampled_from([0.05, 0.7, 1.5]),
        ),
        max_size=36,
    ),
)
def test_retry_budget_holds_over_all_vms_in_every_window(
    vms: int, steps: list[tuple[int, int, int, str, float]]
) -> None:
    budgets = [retry_budget(vms, vm) for vm in range(vms)]
    requests: list[float] = []
    retries: list[float] = []
    now_s = 0.0
    for vm, arrivals, wanted, killed, elapsed_s in steps:
        now_s += elapsed_s
        for number in range(vms):
            if killed == "all" or (killed == "one" and number == vm % vms):
                budgets[number] = retry_budget(vms, number, now_s)
        budget = budgets[vm % vms]
        for _ in range(arrivals):
            budget.on_request(SERVICE, now_s)
            requests.append(now_s)
        retries += [now_s for _ in range(wanted) if budget.try_take(SERVICE, now_s)]
    assert worst_window_of_times(requests, retries, BOUNDS).excess <= 0


def test_retry_budget_of_a_new_process_is_empty() -> None:
    assert not retry_budget(3, 0, 7.0).try_take(SERVICE, 7.0)


def test_retry_budget_has_no_allowance_before_the_other_vms_are_known() -> None:
    budget = RetryBudget(RetrySettings(), BOUNDS, Fleet(entry_vm(0), FleetSettings(), 1), 0.0)
    assert not budget.try_take(SERVICE, 60.0)


def test_retry_budget_saves_enough_for_the_requests_of_a_lost_target() -> None:
    budget = retry_budget(11, 0)
    for number in range(200):
        budget.on_request(SERVICE, number * 0.05)
    assert all(budget.try_take(SERVICE, 10.0) for _ in range(10))


def lose(guard: CrashGuard, target: int, at_s: float, key: str = "key") -> None:
    """Let a request's connection break at a target, which then refuses connections."""
    guard.on_connection_lost(key, f"target-{target}", target, at_s - 0.1)
    guard.on_target_down(f"target-{target}", at_s)


def tell_losses(guard: CrashGuard, others: list[CrashGuard], at_s: float) -> None:
    for other in others:
        other.on_peer_losses(guard.own_losses(at_s), at_s)


def test_crash_guard_blocks_after_three_confirmed_losses_anywhere() -> None:
    guards = [CrashGuard(CrashGuardSettings()) for _ in range(3)]
    key = fingerprint_of(AccountName("guild"), "r-1", "GET", "/poison", b"")
    for number, guard in enumerate(guards):
        lose(guard, number, 1.2, key)
    for guard in guards[1:]:
        tell_losses(guard, guards[:1], 1.3)
    assert guards[0].is_blocked(key, 1.4)
    assert not guards[1].is_blocked(key, 1.4)
    assert not guards[0].is_blocked(key, 62.0)


# Soak seed 591755232: one crash under several sends of a request counted once for each.
def test_crash_guard_counts_each_start_of_a_target_once() -> None:
    guards = [CrashGuard(CrashGuardSettings()) for _ in range(3)]
    for guard in guards:
        for _ in range(4):
            guard.on_connection_lost("key", "target", 7, 1.0)
        guard.on_target_down("target", 1.1)
        tell_losses(guard, guards, 1.2)
    assert not any(guard.is_blocked("key", 1.3) for guard in guards)
    for start_id in (8, 9):
        guards[0].on_connection_lost("key", "target", start_id, 5.0)
        guards[0].on_target_down("target", 5.1)
    assert guards[0].is_blocked("key", 5.2)


def test_crash_guard_tells_the_losses_of_a_blocked_request_that_others_saw() -> None:
    losing, hearing, starting = (CrashGuard(CrashGuardSettings()) for _ in range(3))
    for number in range(3):
        lose(losing, number, 1.0)
    lose(losing, 3, 1.0, key="other")
    tell_losses(losing, [hearing], 2.0)
    assert set(hearing.blocked_losses(31.0)) == {"key"}
    starting.on_peer_losses(hearing.blocked_losses(31.0), 31.0)
    assert starting.is_blocked("key", 60.9)
    assert not starting.is_blocked("key", 61.1)


# BUDGET, by reading: each time that a block ended, a request could crash three targets more.
def test_crash_guard_request_that_crashes_a_target_after_its_block_is_blocked_for_longer() -> None:
    guard = CrashGuard(CrashGuardSettings())
    for number in range(3):
        lose(guard, number, 1.0)
    for number, at_s, blocked_s in ((3, 62.0, 120.0), (4, 183.0, 240.0)):
        assert not guard.is_blocked("key", at_s)
        lose(guard, number, at_s)
        assert guard.is_blocked("key", at_s + blocked_s - 0.1)
        assert not guard.is_blocked("key", at_s + blocked_s + 0.1)
    guard.on_answer("key", 500.0)
    lose(guard, 5, 501.0)
    assert not guard.is_blocked("key", 501.0)


def test_crash_guard_lost_target_whose_next_start_is_not_known_yet_counts_again() -> None:
    guard = CrashGuard(CrashGuardSettings())
    for at_s in (1.0, 6.0, 11.0):
        lose(guard, 1, at_s)
    assert guard.is_blocked("key", 11.1)


def test_crash_guard_lost_connection_to_a_live_target_is_no_crash() -> None:
    guard = CrashGuard(CrashGuardSettings(block_after=1))
    guard.on_connection_lost("key", "target", 1, 1.0)
    guard.on_target_alive("target")
    guard.on_target_down("target", 1.5)
    assert not guard.is_blocked("key", 1.6)


def test_crash_guard_answered_request_is_cleared() -> None:
    guard = CrashGuard(CrashGuardSettings(block_after=1))
    lose(guard, 1, 1.1)
    assert guard.is_blocked("key", 1.2)
    guard.on_answer("key", 1.2)
    assert not guard.is_blocked("key", 1.2)


def test_crash_guard_answer_at_another_vm_clears_the_losses_before_it() -> None:
    losing, answering, killed = (CrashGuard(CrashGuardSettings()) for _ in range(3))
    lose(losing, 1, 1.0)
    lose(killed, 2, 1.0)
    lose(killed, 3, 1.1)
    tell_losses(killed, [losing, answering], 1.2)
    tell_losses(losing, [answering], 1.2)
    assert losing.is_blocked("key", 1.3)
    answering.on_answer("key", 1.3)
    losing.on_peer_answers(answering.own_answers(1.5), 1.5)
    assert not losing.own_losses(1.5)
    # What was told before the answer and arrives after it counts no more.
    tell_losses(killed, [losing, answering], 1.6)
    for guard in (losing, answering):
        assert not guard.is_blocked("key", 1.6)


def test_crash_guard_losses_after_an_answer_at_another_vm_count() -> None:
    losing, answering = (CrashGuard(CrashGuardSettings(block_after=1)) for _ in range(2))
    lose(losing, 1, 1.0)
    tell_losses(losing, [answering], 1.0)
    answering.on_answer("key", 1.2)
    lose(losing, 2, 1.4)
    losing.on_peer_answers(answering.own_answers(1.5), 1.5)
    assert losing.is_blocked("key", 1.5)
    assert answering.own_answers(11.3) == {}


def test_crash_guard_answer_of_a_request_without_losses_is_not_announced() -> None:
    guard = CrashGuard(CrashGuardSettings())
    guard.on_answer("key", 1.0)
    assert guard.own_answers(1.0) == {}


def test_crash_guard_counts_the_losses_of_a_vm_that_tells_only_their_number() -> None:
    guard = CrashGuard(CrashGuardSettings())
    lose(guard, 1, 1.0)
    guard.on_peer_loss_counts("earlier", {"key": 2}, 1.0)
    assert guard.is_blocked("key", 1.1)
    assert guard.own_losses(1.1) == {"key": {1: pytest.approx(0.1)}}
    guard.on_peer_loss_counts("earlier", {"other": 2**60}, 1.0)
    assert guard.is_blocked("other", 1.1)
    assert not guard.is_blocked("other", 61.5)


def test_fingerprint_tells_bodies_accounts_and_paths_apart() -> None:
    one = fingerprint_of(AccountName("guild"), "r-1", "POST", "/a", b"x")
    others = {
        fingerprint_of(AccountName("guild"), "r-1", "POST", "/a", b"y"),
        fingerprint_of(AccountName("choir"), "r-1", "POST", "/a", b"x"),
        fingerprint_of(AccountName("uild"), "r-1", "POST", "/ag", b"x"),
    }
    assert one not in others
    assert len(others) == 3


def enter(queue: AdmissionQueue, now_s: float, priority: int = 1) -> Queued | Rejected:
    return queue.try_enqueue(
        None,
        priority=priority,
        objective_s=0.4,
        arrived_s=now_s,
        deadline_s=now_s + 3.0,
        now_s=now_s,
    )


def test_admission_queue_rejects_at_once_what_cannot_start_in_time() -> None:
    queue = AdmissionQueue(QueueSettings())
    for step in range(20):
        queue.record_start(step / 10)
    entered = [enter(queue, 2.0) for _ in range(10)]
    assert isinstance(entered[0], Queued)
    rejected = [item for item in entered if isinstance(item, Rejected)]
    # At ten starts per second, only two requests can start within the maximum wait of 0.16 s.
    assert len(rejected) == 8
    assert all(item.retry_after_s >= 0.25 for item in rejected)


def test_admission_queue_lets_the_more_urgent_go_first() -> None:
    queue = AdmissionQueue(QueueSettings())
    later, urgent = enter(queue, 1.0, priority=2), enter(queue, 1.1, priority=0)
    assert isinstance(later, Queued) and isinstance(urgent, Queued)
    assert queue.in_order() == [urgent.entry, later.entry]
    queue.remove(urgent.entry)
    assert queue.in_order() == [later.entry]


@given(weights=st.lists(st.integers(1, 100), min_size=2, max_size=4))
def test_splitter_keeps_every_part_close_to_its_weight(weights: list[int]) -> None:
    parts = tuple(
        WeightedService(ServiceName(f"s{number}"), float(weight))
        for number, weight in enumerate(weights)
    )
    route = ServedRoute(
        "r", "h", "/", Repeatability.IDEMPOTENT, 1.0, 0.4, 1, parts, 2, False, True, frozenset()
    )
    splitter = RouteSplitter()
    chosen = [splitter.choose(route) for _ in range(200)]
    for part in parts:
        share = part.weight / sum(weights)
        assert abs(chosen.count(part.service) - 200 * share) <= len(parts)
