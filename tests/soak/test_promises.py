"""The soak's checker: each broken promise is reported, and what is allowed is not."""

from __future__ import annotations

import time
from pathlib import Path
from random import Random

import pytest
from attrs import define
from attrs import field

from siskinward.platform.standins import RunRecord
from siskinward.platform.standins import TargetStandIn
from siskinward.state.serving import ServingBounds
from siskinward.transport.http_messages import HttpResponse
from soak.callers import Call
from soak.faults import draw_faults
from soak.promises import PromiseChecker
from soak.promises import Withdrawal
from soak.vm_process import VmProcess

LONG_AGO_S = -100.0


@define
class Seen:
    """What callers and targets saw, as a test tells it."""

    vm: VmProcess = field(factory=lambda: VmProcess("vm", "127.0.0.1", Path("-"), Path("-")))
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
        checker.check_end(recovered_since_s=LONG_AGO_S)
        return "\n".join(checker.broken)


def test_checker_allows_what_is_served_once() -> None:
    seen = Seen()
    seen.serve()
    seen.serve(path="/listings/1")
    assert seen.broken() == ""


def test_checker_reports_a_booking_that_ran_twice() -> None:
    seen = Seen()
    seen.run(seen.serve(), target=1)
    assert "is a booking and ran at" in seen.broken()


def test_checker_reports_a_refusal_of_what_has_run() -> None:
    seen = Seen()
    call = seen.call()
    seen.run(call)
    seen.answer(call, status=503)
    assert "got 503 and ran" in seen.broken()


def test_checker_reports_too_many_attempts() -> None:
    seen = Seen()
    call = seen.serve(path="/listings/1")
    seen.run(call, target=1)
    seen.run(call, target=2)
    assert "at more than 2 targets" in seen.broken()


def test_checker_reports_another_requests_answer() -> None:
    seen = Seen()
    first, second = seen.serve(), seen.serve()
    first.response, second.response = second.response, first.response
    assert "attempt-0 got" in seen.broken()


def test_checker_reports_a_request_that_nobody_sent() -> None:
    seen = Seen()
    seen.serve()
    seen.targets[0].runs.append(RunRecord("stranger", "/listings/1", "", "", 1, 1.0))
    assert "stranger was sent by nobody" in seen.broken()


def test_checker_counts_a_repeated_request_once_towards_its_account() -> None:
    # Seed 614261230: 354 requests of an account ran, within its 416; with repeats it was 417 runs.
    seen = Seen()
    for number in range(10):
        call = seen.serve(path="/listings/1", sent_s=20.0 + number / 10)
        seen.run(call, target=1)
    assert seen.broken() == ""


def test_checker_reports_repeats_beyond_their_budget() -> None:
    seen = Seen()
    for number in range(80):
        call = seen.serve(path="/bookings/1", sent_s=20.0 + number / 10)
        seen.run(call, target=1)
    assert "80 repeats beside 80 requests" in seen.broken()


def test_checker_reports_an_account_beyond_its_limit() -> None:
    seen = Seen()
    for number in range(11):
        seen.serve(sent_s=20.0 + number / 10)
    assert "ran 11 requests in a window" in seen.broken()


@pytest.mark.parametrize(("sent_s", "is_broken"), [(12.0, False), (14.0, True)])
def test_checker_reports_a_withdrawn_key_that_is_served_late(
    sent_s: float, is_broken: bool
) -> None:
    seen = Seen()
    seen.serve()
    seen.serve(sent_s=sent_s, key="key-2")
    checker = seen.checker()
    checker.withdrawn_keys.append(Withdrawal("key-2", 10.0))
    assert ("served with the key" in seen.broken(checker)) is is_broken


def test_checker_excuses_a_vm_that_was_disturbed() -> None:
    seen = Seen()
    seen.serve()
    seen.serve(sent_s=14.0, key="key-2")
    seen.vm.interferences_s.append(13.0)
    checker = seen.checker()
    checker.withdrawn_keys.append(Withdrawal("key-2", 10.0))
    assert seen.broken(checker) == ""


def test_checker_reports_a_leaving_target_that_is_used_late() -> None:
    seen = Seen()
    seen.serve(sent_s=14.0)
    checker = seen.checker()
    checker.drained.append(Withdrawal("bookings-0", 10.0))
    assert "which was leaving" in seen.broken(checker)


def test_checker_reports_a_request_lost_by_a_vm_that_left() -> None:
    seen = Seen()
    seen.serve()
    lost = seen.call(sent_s=20.0)
    lost.ended_s, lost.was_accepted = 21.0, True
    seen.vm.stops_s.append(20.5)
    assert "got no answer from vm, which left" in seen.broken()


def test_checker_reports_a_request_lost_after_the_signal_to_leave() -> None:
    seen = Seen()
    seen.serve()
    lost = seen.call(sent_s=time.monotonic() - 0.5)
    seen.vm.leave()
    lost.ended_s, lost.was_accepted = time.monotonic(), True
    # The process ends and starts again after that, as it does in a series.
    seen.vm.starts_and_ends_s.append(time.monotonic())
    assert "got no answer from vm, which left" in seen.broken()


def test_checker_excuses_a_request_lost_by_a_vm_that_was_killed_while_it_left() -> None:
    seen = Seen()
    seen.serve()
    lost = seen.call(sent_s=20.0)
    lost.ended_s, lost.was_accepted = 21.0, True
    seen.vm.stops_s.append(20.5)
    seen.vm.interferences_s.append(20.8)
    assert "got no answer" not in seen.broken()


def test_checker_reports_a_fleet_that_does_not_recover() -> None:
    seen = Seen()
    for _ in range(10):
        seen.answer(seen.call(path="/listings/1"), status=503)
    assert "0 of 10 requests were served after all faults" in seen.broken()


def test_checker_reports_a_process_that_ends_by_itself() -> None:
    seen = Seen()
    seen.serve()
    seen.vm.own_ends.append(-11)
    assert "vm ended by itself with -11" in seen.broken()


def test_faults_of_a_seed_are_the_same_each_time() -> None:
    seed = Random(3).randrange(10**9)
    faults = draw_faults(seed, 12.0, vms=6, targets=10)
    assert faults == draw_faults(seed, 12.0, vms=6, targets=10)
    assert faults != draw_faults(seed + 1, 12.0, vms=6, targets=10)
    assert len(faults) > 5
