"""The soak's checks of what targets say report each request that a word forbids, and no other."""

from __future__ import annotations

from pathlib import Path

import pytest
from attrs import define
from attrs import field

from siskinward.platform._headers import HEADERS
from siskinward.platform.standins import ArrivalRecord
from siskinward.platform.standins import RestRecord
from siskinward.platform.standins import TargetStandIn
from siskinward.transport.http_messages import HttpResponse
from soak.callers import Call
from soak.target_words import TargetWords
from soak.vm_process import VmProcess

DRAIN_S = 2.0
LEAVING_S = 10.0


@define
class Words:
    """What callers and a target recorded, which a test fills in."""

    vm: VmProcess = field(factory=lambda: VmProcess("vm", "127.0.0.1", Path("-"), Path("-"), "a"))
    target: TargetStandIn = field(
        factory=lambda: TargetStandIn("bookings-0", "bookings", "127.0.0.1", 1, "a")
    )
    calls: list[Call] = field(factory=list)
    words: TargetWords = field(factory=TargetWords)

    def call(self, sent_s: float, status: int = 200, *, reaches: bool = True) -> Call:
        attempt_id = f"attempt-{len(self.calls)}"
        call = Call(attempt_id, "/bookings/1", "key-1", self.vm, sent_s, sent_s + 0.1)
        headers = [(HEADERS.signature, f"{self.target.name}.{attempt_id}".encode())]
        if self.target.leaving is not None:
            headers.append((HEADERS.leaving, self.target.leaving.encode()))
        call.response = HttpResponse(status, tuple(headers) if reaches else ())
        self.calls.append(call)
        if reaches:
            self.target.arrivals.append(ArrivalRecord(attempt_id, sent_s))
        return call

    def rest(self, call: Call, rest: str = "3") -> None:
        self.target.rests.append(RestRecord(call.attempt_id, call.sent_s, rest))

    def broken(self) -> list[str]:
        return list(self.words.broken(self.calls, [self.target], DRAIN_S))


@pytest.fixture
def leaving() -> Words:
    """A target that says that it leaves, and a VM that has passed that on."""
    words = Words()
    words.words.leave(words.target, "1", LEAVING_S)
    words.call(LEAVING_S + 1.0)
    return words


def test_checker_reports_a_request_that_reaches_a_leaving_target_late(leaving: Words) -> None:
    leaving.call(LEAVING_S + 3.2)
    assert len(leaving.broken()) == 1
    assert leaving.words.check_counts["answers that said that a target leaves"] == 1


def test_checker_allows_requests_sent_before_the_time_is_over(leaving: Words) -> None:
    leaving.call(LEAVING_S + 3.0)
    assert leaving.broken() == []


def test_checker_allows_requests_of_a_vm_that_was_not_told() -> None:
    words = Words()
    words.words.leave(words.target, "1", LEAVING_S)
    words.call(LEAVING_S + 5.0)
    assert words.broken() == []


def test_checker_allows_requests_to_the_next_start(leaving: Words) -> None:
    leaving.words.record_restart(leaving.target, LEAVING_S + 4.0)
    leaving.target.leaving = None
    leaving.call(LEAVING_S + 5.0)
    assert leaving.broken() == []


@pytest.mark.parametrize("name", ["freezes_s", "starts_and_exits_s"])
def test_checker_allows_requests_of_a_vm_that_was_frozen_or_restarted(
    leaving: Words, name: str
) -> None:
    getattr(leaving.vm, name).append(LEAVING_S + 2.0)
    leaving.call(LEAVING_S + 5.0)
    assert leaving.broken() == []


def test_checker_allows_requests_of_a_vm_of_another_release(leaving: Words) -> None:
    leaving.vm.program = Path("/other/deploy/entry.py")
    leaving.call(LEAVING_S + 5.0)
    assert leaving.broken() == []


@pytest.mark.parametrize("word", ["0", "yes"])
def test_checker_takes_no_other_word_for_leaving(word: str) -> None:
    words = Words()
    words.words.leave(words.target, word, LEAVING_S)
    words.call(LEAVING_S + 1.0)
    words.call(LEAVING_S + 5.0)
    assert words.broken() == []


def rested(*sent_s: float, status: int = 503, rest: str = "3") -> Words:
    """Return a rest that a target asked for at 0 s, and requests that reached it later."""
    words = Words()
    words.rest(words.call(0.0, status), rest)
    for at_s in sent_s:
        words.call(at_s)
    return words


def test_checker_reports_more_than_two_requests_in_a_rest() -> None:
    assert len(rested(0.6, 1.0, 2.9).broken()) == 1


@pytest.mark.parametrize("sent_s", [(0.6, 1.0), (0.2, 0.4, 1.0, 2.0), (1.0, 2.0, 3.1)])
def test_checker_allows_what_a_rest_allows(sent_s: tuple[float, ...]) -> None:
    words = rested(*sent_s)
    assert words.broken() == []
    assert words.words.check_counts["rests"] == 1


# Seed 608877665: the target had started again 2.1 s after it asked for 3 s.
def test_checker_allows_requests_to_the_next_start_of_a_target_that_rested() -> None:
    words = rested(2.2, 2.3, 2.4)
    assert len(words.broken()) == 1
    words.words.record_restart(words.target, 2.1)
    assert words.broken() == []


@pytest.mark.parametrize("rest", ["0", "-3", "soon"])
def test_checker_takes_a_malformed_time_for_no_rest(rest: str) -> None:
    assert rested(0.6, 1.0, 2.0, rest=rest).broken() == []


def test_checker_leaves_out_rests_that_the_vm_may_not_have_heard_of() -> None:
    words = rested(0.6, 1.0, 2.0, status=502)
    assert words.broken() == []
    assert words.words.check_counts["rests"] == 0


def test_checker_allows_requests_of_a_vm_that_was_frozen_in_a_rest() -> None:
    words = rested(0.6, 1.0, 2.0)
    words.vm.freezes_s.append(0.5)
    assert words.broken() == []
