"""Callers' own keys: conditional writes, lost answers and an unavailable table."""

from __future__ import annotations

import itertools

import pytest

from siskinward.coordination.events import ReadRow
from siskinward.coordination.events import RowFailed
from siskinward.coordination.events import RowRead
from siskinward.coordination.events import RowWritten
from siskinward.coordination.events import TableAnswer
from siskinward.coordination.events import VmIdentity
from siskinward.coordination.events import WriteOutcome
from siskinward.coordination.events import WriteRow
from siskinward.coordination.outcomes import Answered
from siskinward.coordination.outcomes import NotRun
from siskinward.coordination.outcomes import RefusalReason
from siskinward.coordination.outcomes import Unknown
from siskinward.coordination.tickets import AnswerCaller
from siskinward.coordination.tickets import Dispatch
from siskinward.coordination.tickets import NotRunScope
from siskinward.coordination.tickets import TicketRegistry
from siskinward.coordination.tickets import TicketSettings
from siskinward.coordination.tickets import TicketStep
from siskinward.state.identifiers import AccountName
from siskinward.state.identifiers import DomainName
from siskinward.state.identifiers import IncarnationId
from siskinward.state.identifiers import VmName

ANSWER = Answered(200, ((b"content-type", b"text/plain"),), b"booked")
TABLE_AVAILABLE_AT_S = 10.0


class Table:
    """A table whose writes succeed, are lost, or are applied while their answer is lost."""

    def __init__(self) -> None:
        self.rows: dict[str, tuple[int, bytes]] = {}

    def answer(self, step: TicketStep, fault: str) -> TableAnswer:
        assert isinstance(step, ReadRow | WriteRow)
        version, value = self.rows.get(step.row, (0, b""))
        if isinstance(step, ReadRow):
            if fault == "unavailable":
                return RowFailed(step.row, step.request_id)
            return RowRead(step.row, step.request_id, version, value)
        applied = fault in ("none", "answer lost") and version == step.expected_version
        if applied:
            version += 1
            self.rows[step.row] = (version, step.value)
        if fault != "none":
            return RowWritten(step.row, step.request_id, WriteOutcome.UNKNOWN, 0)
        outcome = WriteOutcome.APPLIED if applied else WriteOutcome.CONFLICT
        return RowWritten(step.row, step.request_id, outcome, version)


class Sender:
    """One VM, whose table effects meet the given faults in turn."""

    def __init__(self, vm: str, table: Table) -> None:
        own = VmIdentity(VmName(vm), DomainName("domain"), IncarnationId(f"{vm}-0"))
        self.registry = TicketRegistry(TicketSettings(), own, b"secret")
        self._table = table
        self.faults: list[str] = []

    def settle(self, steps: list[TicketStep], now_s: float = 0.0) -> list[TicketStep]:
        decisions: list[TicketStep] = []
        while steps:
            step = steps.pop(0)
            if isinstance(step, Dispatch | AnswerCaller):
                decisions.append(step)
                continue
            fault = self.faults.pop(0) if self.faults else "none"
            steps += self.registry.on_table_answer(self._table.answer(step, fault), now_s)
        return decisions

    def send(self, attempt: str, fingerprint: str = "print") -> list[TicketStep]:
        account = AccountName("agency")
        return self.settle(self.registry.begin(attempt, "own-key", account, fingerprint, 60.0, 0.0))

    def finish(self, attempt: str, outcome: Answered | NotRun) -> None:
        assert self.settle(self.registry.report_outcome(attempt, outcome, 0.0)) == []

    def wait(self, now_s: float) -> list[TicketStep]:
        return self.settle(self.registry.on_timer(now_s), now_s)


@pytest.mark.parametrize(
    "faults", list(itertools.product(["none", "answer lost", "write lost"], repeat=3))
)
def test_key_runs_once_whatever_answers_are_lost(faults: tuple[str, ...]) -> None:
    table = Table()
    first, second = Sender("first", table), Sender("second", table)
    first.faults = list(faults)
    assert first.send("a") == [Dispatch("a")]
    in_progress = Unknown(RefusalReason.IN_PROGRESS)
    assert second.send("b") == [AnswerCaller("b", in_progress, NotRunScope.SEND)]
    first.faults = list(faults)
    first.finish("a", ANSWER)
    assert second.send("c") == [AnswerCaller("c", ANSWER, NotRunScope.SEND)]
    other = second.send("d", fingerprint="other")
    refusal = NotRun(RefusalReason.TICKET_INVALID, 0.0)
    assert other == [AnswerCaller("d", refusal, NotRunScope.SEND)]


@pytest.mark.parametrize("first_write", ["answer lost", "unavailable"])
def test_key_is_refused_while_table_is_unavailable_and_runs_later(first_write: str) -> None:
    table = Table()
    first, second = Sender("first", table), Sender("second", table)
    first.faults = [first_write, *["unavailable"] * 30]
    assert first.send("a") == []
    (refusal,) = first.wait(TicketSettings().store_timeout_s)
    assert isinstance(refusal, AnswerCaller)
    assert refusal.outcome == NotRun(RefusalReason.STORE_UNAVAILABLE, 1.0)
    assert refusal.scope is NotRunScope.SEND
    # The claim may have been applied although its answer was lost: the VM releases it once the
    # table is available again.
    first.faults = []
    assert first.wait(TABLE_AVAILABLE_AT_S) == []
    assert second.send("b") == [Dispatch("b")]


def test_key_shed_by_target_may_be_claimed_again_by_one_send() -> None:
    table = Table()
    first, second = Sender("first", table), Sender("second", table)
    assert first.send("a") == [Dispatch("a")]
    first.finish("a", NotRun(RefusalReason.TARGET_SHED, 1.0))
    assert second.send("b") == [Dispatch("b")]
    assert isinstance(first.send("c")[0], AnswerCaller)
