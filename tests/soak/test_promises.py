"""The promise checker of the soak reports each broken promise, and nothing else."""

from __future__ import annotations

import time
from pathlib import Path
from random import Random

import pytest
from attrs import define
from attrs import field

from siskinward.platform.standins import ArrivalRecord
from siskinward.platform.standins import RunRecord
from siskinward.platform.standins import TargetStandIn
from siskinward.state.serving import ServingBounds
from siskinward.transport.http_messages import HttpResponse
from soak.callers import Call
from soak.faults import draw_faults
from soak.promises import PromiseChecker
from soak.promises import TargetCut
from soak.promises import Withdrawal
from soak.vm_process import VmProcess

LONG_AGO_S = -100.0
KINDS_OF_SEED_7 = [
    "all-vms-kill",
    "store-restored",
    "store-forget-history",
    "all-vms-kill",
    "vm-reload",
    "vm-kill",
    "target-shed",
    "target-delay",
    "vm-kill",
    "vm-pause",
    "vm-kill",
    "target-double",
    "target-delay",
    "target-delay",
    "target-shed",
    "target-cut-from",
    "target-cut-from",
    "target-shed",
    "store-forget-history",
    "store-forget-history",
    "target-crash",
]


@define
class Observations:
    """Records of callers and targets, which a test fills in."""

    vm: VmProcess = field(
        factory=lambda: VmProcess("vm", "127.0.0.1", Path("-"), Path("-"), "bud-a")
    )
    targets: list[TargetStandIn] = field(
        factory=lambda: [
            TargetStandIn(f"bookings-{number}", "bookings", "127.0.0.1", 1, "a")
            for number in range(3)
        ]
    )
    calls: list[Call] = field(factory=list)

    def call(self, path: str = "/bookings/1", *, sent_s: float = 20.0, key: str = "key-1") -> Call:
        call = Call(f"attempt-{len(self.calls)}", path, key, self.vm, sent_s, sent_s + 0.1)
        self.calls.append(call)
        return call

    def run(self, call: Call, target: int = 0, account: str = "account-1") -> None:
        record = RunRecord(call.attempt_id, call.path, account, "", 1000, call.sent_s)
        self.targets[target].runs.append(record)
        self.arrive(call, target)

    def arrive(self, call: Call, target: int = 0) -> None:
        self.targets[target].arrivals.append(ArrivalRecord(call.attempt_id, call.sent_s))

    def answer(self, call: Call, status: int = 200, target: int = 0) -> None:
        body = f"{self.targets[target].name} ran {call.attempt_id}".encode()
        call.response = HttpResponse(status, (), body)

    def serve(self, **fields: float | str) -> Call:
        call = self.call(**fields)  # type: ignore[arg-type]
        self.run(call)
        self.answer(call)
        return call

    def checker(self) -> PromiseChecker:
        bounds = ServingBounds()
        checker = PromiseChecker(bounds, self.targets, [self.vm], self.calls)
        checker.quota_in_window = 10.0
        return checker

    def broken(self, checker: PromiseChecker | None = None) -> str:
        checker = checker or self.checker()
        checker.check_all(recovered_since_s=LONG_AGO_S)
        return "\n".join(checker.broken)


def test_checker_allows_what_is_served_once() -> None:
    observed = Observations()
    observed.serve()
    observed.serve(path="/listings/1")
    assert observed.broken() == ""


def test_checker_reports_a_booking_that_ran_twice() -> None:
    observed = Observations()
    observed.run(observed.serve(), target=1)
    assert "is a booking and ran at" in observed.broken()


def test_checker_reports_a_refusal_of_what_has_run() -> None:
    observed = Observations()
    call = observed.call()
    observed.run(call)
    observed.answer(call, status=503)
    assert "got 503 from vm and ran" in observed.broken()


def test_checker_reports_too_many_attempts() -> None:
    observed = Observations()
    call = observed.serve(path="/listings/1")
    observed.run(call, target=1)
    observed.run(call, target=2)
    assert "at more than 2 targets" in observed.broken()


def test_checker_reports_another_requests_answer() -> None:
    observed = Observations()
    first, second = observed.serve(), observed.serve()
    first.response, second.response = second.response, first.response
    assert "attempt-0 got" in observed.broken()


def test_checker_reports_a_request_that_nobody_sent() -> None:
    observed = Observations()
    observed.serve()
    observed.targets[0].runs.append(RunRecord("unknown", "/listings/1", "", "", 1, 1.0))
    assert "unknown ran but no caller sent it" in observed.broken()


def test_checker_counts_a_repeated_request_once_towards_its_account() -> None:
    # Seed 614261230: an account had 354 first runs, below its quota of 416, but 417 with repeats.
    observed = Observations()
    for number in range(10):
        call = observed.serve(path="/listings/1", sent_s=20.0 + number / 10)
        observed.run(call, target=1)
    assert observed.broken() == ""


def test_checker_reports_retries_beyond_their_budget() -> None:
    observed = Observations()
    for number in range(80):
        call = observed.serve(path="/bookings/1", sent_s=20.0 + number / 10)
        observed.run(call, target=1)
    assert "80 retries, allowed 66" in observed.broken()


def test_checker_counts_retries_that_targets_reject() -> None:
    observed = Observations()
    for number in range(80):
        call = observed.serve(path="/bookings/1", sent_s=20.0 + number / 10)
        observed.arrive(call, target=1)
    assert "80 retries, allowed 66" in observed.broken()


def test_checker_reports_an_account_beyond_its_limit() -> None:
    observed = Observations()
    for number in range(11):
        observed.serve(sent_s=20.0 + number / 10)
    assert "ran 11 requests in a window" in observed.broken()


@pytest.mark.parametrize(("sent_s", "is_broken"), [(12.0, False), (14.0, True)])
def test_checker_reports_a_withdrawn_key_that_is_served_late(
    sent_s: float, is_broken: bool
) -> None:
    observed = Observations()
    observed.serve()
    observed.serve(sent_s=sent_s, key="key-2")
    checker = observed.checker()
    checker.withdrawn_keys.append(Withdrawal("key-2", 10.0))
    assert ("served with the key" in observed.broken(checker)) is is_broken


def test_checker_ignores_a_vm_that_was_disturbed() -> None:
    observed = Observations()
    observed.serve()
    observed.serve(sent_s=14.0, key="key-2")
    observed.vm.disturbances_s.append(13.0)
    checker = observed.checker()
    checker.withdrawn_keys.append(Withdrawal("key-2", 10.0))
    assert observed.broken(checker) == ""


def test_checker_reports_a_draining_target_that_is_used_late() -> None:
    observed = Observations()
    observed.serve(sent_s=14.0)
    checker = observed.checker()
    checker.drained.append(Withdrawal("bookings-0", 10.0))
    assert "which was draining" in observed.broken(checker)


def test_checker_reports_a_request_lost_by_a_vm_that_shut_down() -> None:
    observed = Observations()
    observed.serve()
    lost = observed.call(sent_s=20.0)
    lost.ended_s, lost.may_have_arrived = 21.0, True
    observed.vm.stops_s.append(20.5)
    assert "got no answer from vm, which shut down" in observed.broken()


def test_checker_reports_a_request_lost_after_the_signal_to_shut_down() -> None:
    observed = Observations()
    observed.serve()
    lost = observed.call(sent_s=time.monotonic() - 0.5)
    observed.vm.stop()
    lost.ended_s, lost.may_have_arrived = time.monotonic(), True
    # After that, the process exits and is restarted, as in a soak run.
    observed.vm.starts_and_exits_s.append(time.monotonic())
    assert "got no answer from vm, which shut down" in observed.broken()


def test_checker_ignores_a_request_lost_by_a_vm_that_was_killed_during_shutdown() -> None:
    observed = Observations()
    observed.serve()
    lost = observed.call(sent_s=20.0)
    lost.ended_s, lost.may_have_arrived = 21.0, True
    observed.vm.stops_s.append(20.5)
    observed.vm.disturbances_s.append(20.8)
    assert "got no answer" not in observed.broken()


def test_checker_reports_a_fleet_that_does_not_recover() -> None:
    observed = Observations()
    for _ in range(10):
        observed.answer(observed.call(path="/listings/1"), status=503)
    assert "0 of 10 requests were served after all faults" in observed.broken()


def test_checker_reports_a_process_that_exits_unexpectedly() -> None:
    observed = Observations()
    observed.serve()
    observed.vm.unexpected_exits.append(-11)
    assert "vm exited unexpectedly with -11" in observed.broken()


def test_faults_of_a_seed_are_the_same_each_time() -> None:
    seed = Random(3).randrange(10**9)
    faults = draw_faults(seed, 12.0, vms=6, targets=10)
    assert faults == draw_faults(seed, 12.0, vms=6, targets=10)
    assert faults != draw_faults(seed + 1, 12.0, vms=6, targets=10)
    assert len(faults) > 5


def limited(
    observed: Observations,
    rate_limit: str | None,
    *,
    gap_s: float,
    stated_s: tuple[float, ...] = (0.1, 5.1, 6.1),
) -> PromiseChecker:
    target = observed.targets[0]
    checker = observed.checker()
    target.stated_s = list(stated_s)
    checker.limits.state(target, "2", 0.0)
    if rate_limit is not None:
        checker.limits.state(target, rate_limit, 5.0)
    target.arrivals_s = [10.0 + number * gap_s for number in range(40)]
    observed.serve()
    return checker


@pytest.mark.parametrize("rate_limit", [None, "2", "many", "1"])
def test_checker_reports_a_target_that_got_more_than_it_stated(rate_limit: str | None) -> None:
    observed = Observations()
    broken = observed.broken(limited(observed, rate_limit, gap_s=0.2))
    assert "bookings-0 stated" in broken
    assert "requests in 4.0 s" in broken


@pytest.mark.parametrize(("rate_limit", "gap_s"), [("2", 0.25), ("30", 0.05), ("many", 0.25)])
def test_checker_allows_what_a_stated_limit_allows(rate_limit: str, gap_s: float) -> None:
    observed = Observations()
    assert observed.broken(limited(observed, rate_limit, gap_s=gap_s)) == ""


def test_checker_allows_any_rate_once_no_vm_knows_what_an_unreadable_limit_was() -> None:
    observed = Observations()
    checker = limited(observed, "many", gap_s=0.05)
    checker.limits.forget(6.0)
    assert observed.broken(checker) == ""


# Soak seed 913976389: the answers that stated the limit before were cut in their heads.
def test_checker_allows_any_rate_beside_an_unreadable_limit_if_none_was_stated_before() -> None:
    observed = Observations()
    checker = limited(observed, "many", gap_s=0.05, stated_s=(5.1, 6.1))
    assert observed.broken(checker) == ""


def test_checker_keeps_readable_limits_when_all_vms_restart() -> None:
    observed = Observations()
    checker = limited(observed, "2", gap_s=0.05)
    checker.limits.forget(6.0)
    assert "bookings-0 stated" in observed.broken(checker)


# Soak seed 80187467: all VMs were killed, and the target's answers did not end from then on.
def test_checker_allows_any_rate_while_no_vm_was_told_since_all_were_killed() -> None:
    observed = Observations()
    checker = limited(observed, "2", gap_s=0.05)
    checker.limits.forget(6.5)
    assert observed.broken(checker) == ""


def test_limits_keep_the_number_of_a_statement_when_all_vms_restart() -> None:
    observed = Observations()
    checker = limited(observed, "2", gap_s=1.0)
    statement = checker.limits.statement(observed.targets[0])
    checker.limits.forget(6.0)
    assert statement is not None
    assert checker.limits.statement(observed.targets[0]) == statement


def test_checker_counts_from_the_first_answer_that_stated_the_limit() -> None:
    observed = Observations()
    checker = limited(observed, "2", gap_s=0.05)
    observed.targets[0].stated_s = [0.1, 10.1]
    assert observed.broken(checker) == ""


def test_checker_allows_any_rate_once_a_limit_has_ended() -> None:
    observed = Observations()
    checker = limited(observed, None, gap_s=0.05)
    checker.limits.state(observed.targets[0], None, 9.0)
    assert observed.broken(checker) == ""


LATER_KINDS = (
    "target-limit",
    "target-endless",
    "vm-cut-from-targets",
    "vm-stop",
    "target-repeat-refusals",
    "target-stop-in-head",
    "target-fail-as-refused",
    "target-no-length",
    "zone-cut",
    "odd-entries",
    "target-leaving",
    "target-rest",
)


def test_later_kinds_leave_the_other_faults_of_a_seed_as_they_were() -> None:
    faults = draw_faults(7, 12.0, 6, 10)
    kinds = [fault.kind.value for fault in faults if fault.kind.value not in LATER_KINDS]
    assert {fault.kind.value for fault in faults} >= set(LATER_KINDS[:3])
    drawn = {fault.kind.value for seed in range(7, 17) for fault in draw_faults(seed, 12.0, 6, 10)}
    assert drawn >= set(LATER_KINDS)
    assert kinds == KINDS_OF_SEED_7


def cut_calls(status_at_cut: int, sent_s: float) -> str:
    observed = Observations()
    other = VmProcess("other", "127.0.0.1", Path("-"), Path("-"), "bud-a")
    checker = observed.checker()
    checker.cuts.append(TargetCut((observed.vm,), 19.0, 30.0))
    for number in range(40):
        call = observed.call(path="/listings/1", sent_s=sent_s + number / 10)
        call.vm = observed.vm if number % 2 else other
        observed.answer(call, status=status_at_cut if number % 2 else 200)
        if call.status == 200:
            observed.run(call)
    checker.quota_in_window = 100.0
    return observed.broken(checker)


@pytest.mark.parametrize(
    ("status", "sent_s", "is_broken"), [(503, 22.0, True), (503, 17.0, False), (200, 22.0, False)]
)
def test_checker_reports_a_cut_vm_that_serves_worse_than_the_others(
    status: int, sent_s: float, is_broken: bool
) -> None:
    assert ("20 of 20 calls failed at cut VMs" in cut_calls(status, sent_s)) == is_broken


def cut_answer(crash_s: float, body: bytes) -> str:
    observed = Observations()
    call = observed.call(sent_s=20.0)
    observed.run(call)
    observed.answer(call, status=200)
    call.response, call.ended_s = HttpResponse(200, (), body), 21.0
    observed.targets[0].crashes_s.append(crash_s)
    return observed.broken()


def test_checker_reports_a_cut_answer_unless_its_target_ended_meanwhile() -> None:
    assert "got b'bookings-0 ran'" in cut_answer(19.0, b"bookings-0 ran")
    assert "got b'bookings-1 ran'" in cut_answer(20.5, b"bookings-1 ran")
    assert cut_answer(20.5, b"bookings-0 ran") == ""
