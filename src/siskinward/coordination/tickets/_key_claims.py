"""Claims under callers' own keys, made by conditional writes in the platform's table."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import evolve
from attrs import frozen

from siskinward.coordination.events import ReadRow
from siskinward.coordination.events import RowFailed
from siskinward.coordination.events import RowRead
from siskinward.coordination.events import RowWritten
from siskinward.coordination.events import TableAnswer
from siskinward.coordination.events import WriteOutcome
from siskinward.coordination.events import WriteRow
from siskinward.coordination.outcomes import NotRun
from siskinward.coordination.outcomes import Outcome
from siskinward.coordination.outcomes import RefusalReason
from siskinward.coordination.outcomes import Unknown
from siskinward.coordination.tickets._decisions import AnswerCaller
from siskinward.coordination.tickets._decisions import Dispatch
from siskinward.coordination.tickets._decisions import TicketStep
from siskinward.coordination.tickets._key_rows import KeyRow
from siskinward.coordination.tickets._key_rows import KeyState
from siskinward.coordination.tickets._key_rows import claimed_row
from siskinward.coordination.tickets._key_rows import decode_row
from siskinward.coordination.tickets._key_rows import encode_row
from siskinward.coordination.tickets._key_rows import finished_row
from siskinward.coordination.tickets._key_rows import row_name
from siskinward.coordination.tickets._states import Claim
from siskinward.coordination.tickets._states import NotRunScope

if TYPE_CHECKING:
    from siskinward.coordination.tickets._settings import TicketSettings


@frozen
class Claiming:
    """The claim is being written, or read back because the write's answer was lost."""


@frozen
class Dispatched:
    """The claim is in the table and the request was dispatched."""

    version: int


@frozen
class Finishing:
    """The final outcome is being written over the claim."""

    outcome: Outcome
    version: int


Stage = Claiming | Dispatched | Finishing


@frozen
class KeyAttempt:
    """One send under a caller's own key. ``request_id`` is 0 while no answer is awaited."""

    row: str
    claim: Claim
    claim_deadline_s: float
    stage: Stage
    request_id: int = 0
    next_at_s: float = 0.0
    drop_at_s: float = 0.0


class KeyClaims:
    """Drives this VM's attempts under callers' own keys."""

    def __init__(self, settings: TicketSettings) -> None:
        self._settings = settings
        self._attempts: dict[str, KeyAttempt] = {}
        self._requests: dict[int, str] = {}
        self._last_request_id = 0

    def __contains__(self, attempt_id: str) -> bool:
        return attempt_id in self._attempts

    def begin(self, key: str, claim: Claim, deadline_s: float, now_s: float) -> list[TicketStep]:
        """Claim the key by creating its row, on condition that the row is absent."""
        claim_deadline_s = min(deadline_s, now_s + self._settings.store_timeout_s)
        row = row_name(claim.account, key)
        return self._write(KeyAttempt(row, claim, claim_deadline_s, Claiming()), 0, now_s)

    def on_table_answer(self, answer: TableAnswer, now_s: float) -> list[TicketStep]:
        """Advance the attempt that the answer belongs to; late answers are dropped."""
        attempt_id = self._requests.pop(answer.request_id, None)
        attempt = self._attempts.get(attempt_id) if attempt_id else None
        if attempt is None or attempt.request_id != answer.request_id:
            return []
        attempt = evolve(attempt, request_id=0)
        match answer:
            case RowWritten(outcome=WriteOutcome.APPLIED):
                return self._on_applied(attempt, answer.version)
            case RowWritten():
                return self._read(attempt, now_s)
            case RowRead():
                return self._on_read(attempt, answer, now_s)
            case RowFailed():
                self._store(evolve(attempt, next_at_s=now_s + self._settings.store_retry_s))
                return []

    def on_timer(self, now_s: float) -> list[TicketStep]:
        """Refuse claims that the table did not answer in time; retry reads that are due."""
        steps: list[TicketStep] = []
        for attempt in list(self._attempts.values()):
            match attempt.stage:
                case Claiming() if now_s >= attempt.claim_deadline_s:
                    steps += self._abandon(attempt, now_s)
                case Finishing() if now_s >= attempt.drop_at_s:
                    self._remove(attempt)
                case Claiming() | Finishing() if self._is_due(attempt, now_s):
                    steps += self._read(attempt, now_s)
        return steps

    def report_outcome(self, attempt_id: str, outcome: Outcome, now_s: float) -> list[TicketStep]:
        """Write a dispatched attempt's final outcome over its claim."""
        attempt = self._attempts[attempt_id]
        assert isinstance(attempt.stage, Dispatched)
        version = attempt.stage.version
        drop_at_s = now_s + self._settings.finish_retention_s
        finishing = evolve(attempt, stage=Finishing(outcome, version), drop_at_s=drop_at_s)
        return self._write(finishing, version, now_s)

    def _on_applied(self, attempt: KeyAttempt, version: int) -> list[TicketStep]:
        if isinstance(attempt.stage, Finishing):
            self._remove(attempt)
            return []
        return self._dispatch(attempt, version)

    def _on_read(self, attempt: KeyAttempt, answer: RowRead, now_s: float) -> list[TicketStep]:
        row = decode_row(answer.value) if answer.version else None
        if isinstance(attempt.stage, Finishing):
            return self._retry_finish(attempt, row, answer.version, now_s)
        if row is None:
            return self._write(attempt, 0, now_s)
        if row.fingerprint != attempt.claim.fingerprint:
            refusal = NotRun(RefusalReason.TICKET_INVALID, 0.0)
            return self._answer(attempt, refusal)
        if row.was_claimed_by(attempt.claim) and row.state is KeyState.CLAIMED:
            return self._dispatch(attempt, answer.version)
        if row.state is KeyState.NOT_RUN:
            return self._write(attempt, answer.version, now_s)
        return self._answer(attempt, _recorded_outcome(row))

    def _retry_finish(
        self, attempt: KeyAttempt, row: KeyRow | None, version: int, now_s: float
    ) -> list[TicketStep]:
        if row is not None and row.was_claimed_by(attempt.claim) and row.state is KeyState.CLAIMED:
            return self._write(attempt, version, now_s)
        if row is None:
            # A claim whose answer was lost may still reach the table: read again later.
            self._store(evolve(attempt, next_at_s=now_s + self._settings.finish_interval_s))
            return []
        self._remove(attempt)
        return []

    def _dispatch(self, attempt: KeyAttempt, version: int) -> list[TicketStep]:
        self._store(evolve(attempt, stage=Dispatched(version)))
        return [Dispatch(attempt.claim.attempt_id)]

    def _abandon(self, attempt: KeyAttempt, now_s: float) -> list[TicketStep]:
        refusal = NotRun(RefusalReason.STORE_UNAVAILABLE, self._settings.retry_after_s)
        drop_at_s = now_s + self._settings.finish_retention_s
        releasing = evolve(
            attempt,
            stage=Finishing(refusal, 0),
            request_id=0,
            next_at_s=now_s + self._settings.store_retry_s,
            drop_at_s=drop_at_s,
        )
        self._store(releasing)
        return [AnswerCaller(attempt.claim.attempt_id, refusal, NotRunScope.SEND)]

    def _answer(self, attempt: KeyAttempt, outcome: Outcome) -> list[TicketStep]:
        self._remove(attempt)
        return [AnswerCaller(attempt.claim.attempt_id, outcome, NotRunScope.SEND)]

    def _write(self, attempt: KeyAttempt, expected: int, now_s: float) -> list[TicketStep]:
        value = encode_row(self._row(attempt))
        attempt = self._expect_answer(attempt, now_s)
        return [WriteRow(attempt.row, expected, value, attempt.request_id)]

    def _read(self, attempt: KeyAttempt, now_s: float) -> list[TicketStep]:
        attempt = self._expect_answer(attempt, now_s)
        return [ReadRow(attempt.row, attempt.request_id)]

    def _row(self, attempt: KeyAttempt) -> KeyRow:
        match attempt.stage:
            case Finishing(outcome):
                limit_bytes = self._settings.key_answer_limit_bytes
                return finished_row(attempt.claim, outcome, limit_bytes)
            case _:
                return claimed_row(attempt.claim)

    def _expect_answer(self, attempt: KeyAttempt, now_s: float) -> KeyAttempt:
        self._last_request_id += 1
        next_at_s = now_s + self._settings.store_timeout_s
        attempt = evolve(attempt, request_id=self._last_request_id, next_at_s=next_at_s)
        self._requests[self._last_request_id] = attempt.claim.attempt_id
        self._store(attempt)
        return attempt

    def _is_due(self, attempt: KeyAttempt, now_s: float) -> bool:
        return now_s >= attempt.next_at_s

    def _store(self, attempt: KeyAttempt) -> None:
        self._attempts[attempt.claim.attempt_id] = attempt

    def _remove(self, attempt: KeyAttempt) -> None:
        del self._attempts[attempt.claim.attempt_id]


def _recorded_outcome(row: KeyRow) -> Outcome:
    match row.state:
        case KeyState.DONE if row.answer is not None:
            return row.answer
        case KeyState.DONE | KeyState.EVICTED:
            return Unknown(RefusalReason.ANSWER_EVICTED)
        case KeyState.LOST:
            return Unknown(RefusalReason.TARGET_LOST)
        case _:
            return Unknown(RefusalReason.IN_PROGRESS)
