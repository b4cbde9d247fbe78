"""Rows of the platform's table that record claims under callers' own keys."""

from __future__ import annotations

from enum import Enum
from hashlib import blake2b
from typing import TYPE_CHECKING
from typing import Any

import msgpack
from attrs import frozen

from siskinward.coordination.outcomes import Answered
from siskinward.coordination.outcomes import NotRun
from siskinward.coordination.outcomes import Outcome
from siskinward.state.identifiers import AccountName
from siskinward.state.identifiers import IncarnationId

if TYPE_CHECKING:
    from siskinward.coordination.tickets._states import Claim

ROW_PREFIX = "key-claim/"
ROW_HASH_BYTES = 16
FORMAT_VERSION = 1


class KeyState(Enum):
    """State of the claim that a row records."""

    CLAIMED = "claimed"
    DONE = "done"
    EVICTED = "evicted"
    LOST = "lost"
    NOT_RUN = "not-run"


@frozen
class KeyRow:
    """Value of a row: the attempt that claimed the key and what became of it."""

    state: KeyState
    incarnation: IncarnationId
    attempt_id: str
    fingerprint: str
    answer: Answered | None = None

    def was_claimed_by(self, claim: Claim) -> bool:
        """Whether the attempt of ``claim`` wrote this row."""
        same_process = self.incarnation == claim.claimant.incarnation
        return same_process and self.attempt_id == claim.attempt_id


def row_name(account: AccountName, key: str) -> str:
    """Return the row's name; equal keys of different client accounts get different rows."""
    digest = blake2b(digest_size=ROW_HASH_BYTES)
    digest.update(len(account.encode()).to_bytes(4, "big"))
    digest.update(account.encode())
    digest.update(key.encode())
    return ROW_PREFIX + digest.hexdigest()


def claimed_row(claim: Claim) -> KeyRow:
    """Return the row that claims a key."""
    return KeyRow(KeyState.CLAIMED, claim.claimant.incarnation, claim.attempt_id, claim.fingerprint)


def finished_row(claim: Claim, outcome: Outcome, answer_limit_bytes: int) -> KeyRow:
    """Return the row that records a final outcome, without an answer above the limit."""
    incarnation, attempt_id = claim.claimant.incarnation, claim.attempt_id
    match outcome:
        case Answered() if len(outcome.body) <= answer_limit_bytes:
            state, answer = KeyState.DONE, outcome
            return KeyRow(state, incarnation, attempt_id, claim.fingerprint, answer)
        case Answered():
            state = KeyState.EVICTED
        case NotRun():
            state = KeyState.NOT_RUN
        case _:
            state = KeyState.LOST
    return KeyRow(state, incarnation, attempt_id, claim.fingerprint)


def encode_row(row: KeyRow) -> bytes:
    """Encode a row's value."""
    answer = row.answer
    packed_answer = [answer.status, answer.headers, answer.body] if answer else None
    fields = [FORMAT_VERSION, row.state.value, row.incarnation, row.attempt_id, row.fingerprint]
    packed: bytes = msgpack.packb([*fields, packed_answer])
    return packed


def decode_row(value: bytes) -> KeyRow:
    """Decode a row's value. It is not validated: only this module writes such rows."""
    _, state, incarnation, attempt_id, fingerprint, answer = msgpack.unpackb(value)
    return KeyRow(KeyState(state), incarnation, attempt_id, fingerprint, _answer(answer))


def _answer(packed: list[Any] | None) -> Answered | None:
    if packed is None:
        return None
    status, headers, body = packed
    return Answered(status, tuple((name, value) for name, value in headers), body)
