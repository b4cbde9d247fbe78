"""Bounded store of ticket states, used by the home role and by the copy role."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import frozen

from siskinward.coordination.tickets._states import Claimed
from siskinward.coordination.tickets._states import Done
from siskinward.coordination.tickets._states import Evicted
from siskinward.coordination.tickets._states import New
from siskinward.coordination.tickets._states import Running
from siskinward.coordination.tickets._states import TicketState
from siskinward.state.identifiers import IncarnationId

if TYPE_CHECKING:
    from siskinward.coordination.outcomes import Answered
    from siskinward.coordination.tickets._settings import TicketSettings
    from siskinward.coordination.tickets._ticket import Ticket


@frozen
class RecordKey:
    """Identifies a ticket: the incarnation that issued it and its serial there."""

    home: IncarnationId
    serial: int


def key_of(ticket: Ticket) -> RecordKey:
    """Return the key under which a ticket is recorded."""
    return RecordKey(ticket.home.incarnation, ticket.serial)


def answer_bytes(answer: Answered) -> int:
    """Return the size of an answer: its body and header fields."""
    return len(answer.body) + sum(len(name) + len(value) for name, value in answer.headers)


class TicketRecords:
    """Keeps each ticket's state for the record lifetime, and answers within a byte limit."""

    def __init__(self, settings: TicketSettings) -> None:
        self._settings = settings
        self._states: dict[RecordKey, TicketState] = {}
        self._recorded_at_s: dict[RecordKey, float] = {}
        self._answer_bytes: dict[RecordKey, int] = {}
        self._kept_bytes = 0
        self._dropped_serials: dict[IncarnationId, int] = {}

    def __len__(self) -> int:
        return len(self._states)

    def __contains__(self, key: RecordKey) -> bool:
        return key in self._states

    @property
    def kept_bytes(self) -> int:
        """Total size of the answers kept."""
        return self._kept_bytes

    def state(self, key: RecordKey) -> TicketState:
        """Return the recorded state, ``New`` if there is none."""
        return self._states.get(key, New())

    def was_dropped(self, key: RecordKey) -> bool:
        """Whether the ticket is so old that its record may have been dropped."""
        return key not in self._states and key.serial <= self.dropped_serial(key.home)

    def dropped_serial(self, home: IncarnationId) -> int:
        """Return the highest serial of a dropped record of the home, 0 if there is none."""
        return self._dropped_serials.get(home, 0)

    def record_dropped(self, home: IncarnationId, serial: int) -> None:
        """Record that records of the home up to this serial may have been dropped."""
        self._dropped_serials[home] = max(self.dropped_serial(home), serial)

    def try_make_room(self, now_s: float) -> bool:
        """Return whether a further ticket can be recorded.

        Drop the oldest records for it, but only those older than the claim lifetime: the home
        refuses new claims of such tickets by their age.
        """
        while len(self._states) >= self._settings.record_limit:
            key = next(iter(self._recorded_at_s))
            if now_s - self._recorded_at_s[key] <= self._settings.claim_lifetime_s:
                return False
            self._drop(key)
        return True

    def put(self, key: RecordKey, state: TicketState, now_s: float) -> None:
        """Record a state and evict the oldest answers above the byte limit."""
        self._remove_answer(key)
        self._recorded_at_s.setdefault(key, now_s)
        self._states[key] = self._limit_answer(key, state)
        while self._kept_bytes > self._settings.kept_answers_bytes:
            self._evict(next(iter(self._answer_bytes)))

    def expire(self, now_s: float) -> None:
        """Drop records past their lifetime."""
        limit_s = now_s - self._settings.record_lifetime_s
        while self._recorded_at_s:
            key = next(iter(self._recorded_at_s))
            if self._recorded_at_s[key] > limit_s:
                return
            self._drop(key)

    def open_claims(self) -> list[tuple[RecordKey, Claimed | Running]]:
        """Return the claimed tickets whose outcome is not known yet."""
        states = self._states.items()
        return [(key, state) for key, state in states if isinstance(state, Claimed | Running)]

    def records_of_home(self, home: IncarnationId) -> list[tuple[RecordKey, TicketState]]:
        """Return all records of one home."""
        return [(key, state) for key, state in self._states.items() if key.home == home]

    def _limit_answer(self, key: RecordKey, state: TicketState) -> TicketState:
        if not isinstance(state, Done):
            return state
        size_bytes = answer_bytes(state.answer)
        if size_bytes > self._settings.kept_answer_limit_bytes:
            return Evicted(state.claim)
        self._answer_bytes[key] = size_bytes
        self._kept_bytes += size_bytes
        return state

    def _evict(self, key: RecordKey) -> None:
        state = self._states[key]
        self._remove_answer(key)
        if isinstance(state, Done):
            self._states[key] = Evicted(state.claim)

    def _remove_answer(self, key: RecordKey) -> None:
        self._kept_bytes -= self._answer_bytes.pop(key, 0)

    def _drop(self, key: RecordKey) -> None:
        self._remove_answer(key)
        del self._recorded_at_s[key]
        del self._states[key]
        self.record_dropped(key.home, key.serial)
