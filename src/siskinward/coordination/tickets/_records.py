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
    """A ticket's name within the store."""

    home: IncarnationId
    serial: int


def key_of(ticket: Ticket) -> RecordKey:
    """The key under which a ticket is recorded."""
    return RecordKey(ticket.home.incarnation, ticket.serial)


def answer_bytes(answer: Answered) -> int:
    """Size of a kept answer."""
    return len(answer.body) + sum(len(name) + len(value) for name, value in answer.headers)


class TicketRecords:
    """Keeps each ticket's state for its lifetime and answers within a number of bytes."""

    def __init__(self, settings: TicketSettings) -> None:
        self._settings = settings
        self._states: dict[RecordKey, TicketState] = {}
        self._noted_at_s: dict[RecordKey, float] = {}
        self._answer_bytes: dict[RecordKey, int] = {}
        self._kept_bytes = 0
        self._dropped_serials: dict[IncarnationId, int] = {}

    def __len__(self) -> int:
        return len(self._states)

    def __contains__(self, key: RecordKey) -> bool:
        return key in self._states

    @property
    def kept_bytes(self) -> int:
        """Bytes of the answers kept at present."""
        return self._kept_bytes

    def state(self, key: RecordKey) -> TicketState:
        """The recorded state, ``New`` if there is none."""
        return self._states.get(key, New())

    def was_dropped(self, key: RecordKey) -> bool:
        """Whether the ticket is so old that its record may have been dropped."""
        return key not in self._states and key.serial <= self.dropped_serial(key.home)

    def dropped_serial(self, home: IncarnationId) -> int:
        """Highest serial of a dropped record of the home, 0 if there is none."""
        return self._dropped_serials.get(home, 0)

    def note_dropped(self, home: IncarnationId, serial: int) -> None:
        """Records of the home up to this serial may have been dropped."""
        self._dropped_serials[home] = max(self.dropped_serial(home), serial)

    def has_room(self, now_s: float) -> bool:
        """Whether a further ticket can be recorded; drops records that bar no claim any more."""
        while len(self._states) >= self._settings.record_limit:
            key = next(iter(self._noted_at_s))
            if now_s - self._noted_at_s[key] <= self._settings.claim_lifetime_s:
                return False
            self._drop(key)
        return True

    def put(self, key: RecordKey, state: TicketState, now_s: float) -> None:
        """Record a state and evict answers that exceed the bound, oldest first."""
        self._forget_answer(key)
        self._noted_at_s.setdefault(key, now_s)
        self._states[key] = self._bounded(key, state)
        while self._kept_bytes > self._settings.kept_answers_bytes:
            self._evict(next(iter(self._answer_bytes)))

    def expire(self, now_s: float) -> None:
        """Drop records past their lifetime."""
        limit_s = now_s - self._settings.record_lifetime_s
        while self._noted_at_s:
            key = next(iter(self._noted_at_s))
            if self._noted_at_s[key] > limit_s:
                return
            self._drop(key)

    def open_claims(self) -> list[tuple[RecordKey, Claimed | Running]]:
        """Tickets whose outcome is not known yet."""
        states = self._states.items()
        return [(key, state) for key, state in states if isinstance(state, Claimed | Running)]

    def of_home(self, home: IncarnationId) -> list[tuple[RecordKey, TicketState]]:
        """All records of one home."""
        return [(key, state) for key, state in self._states.items() if key.home == home]

    def _bounded(self, key: RecordKey, state: TicketState) -> TicketState:
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
        self._forget_answer(key)
        if isinstance(state, Done):
            self._states[key] = Evicted(state.claim)

    def _forget_answer(self, key: RecordKey) -> None:
        self._kept_bytes -= self._answer_bytes.pop(key, 0)

    def _drop(self, key: RecordKey) -> None:
        self._forget_answer(key)
        del self._noted_at_s[key]
        del self._states[key]
        self.note_dropped(key.home, key.serial)
