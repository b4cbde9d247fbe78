"""Copies of the store's tables, and the updates that keep them current; copies never go back."""

from __future__ import annotations

from collections import deque
from enum import Enum
from math import inf

from attrs import frozen

from siskinward.coordination.steering.held_rows import HeldRow
from siskinward.coordination.steering.held_rows import HeldRows
from siskinward.coordination.steering.held_rows import HoldSettings
from siskinward.coordination.steering.row import ENTRY_RETURN_S
from siskinward.coordination.steering.row import RevisionOf
from siskinward.coordination.steering.row import Row

MAX_HISTORY_ROWS = 4000
# Positions travel between VMs as one integer of 64 bits.
VERSION_BITS = 40
MAX_VERSION = (1 << VERSION_BITS) - 1
MAX_ERA = (1 << 22) - 1


class StoreTable(Enum):
    """The tables of the store that entry VMs read."""

    OPERATOR = "operator"
    TARGETS = "targets"
    VMS = "vms"


# The tables that entry VMs follow while they run; the third is read at a start only.
FOLLOWED_TABLES = (StoreTable.OPERATOR, StoreTable.TARGETS)


# An evacuation that the operator ended may be requested again within these times, so its row is
# held for less time than operators allow for an evacuation to take effect. A target's row that
# still exists after four heartbeats belongs to a live target; one that is still missing after the
# usual time of return belongs to none.
HOLD_SETTINGS = {
    StoreTable.OPERATOR: HoldSettings(older_s=10.0, missing_s=10.0, removed_s=3.0),
    StoreTable.TARGETS: HoldSettings(older_s=10.0, missing_s=ENTRY_RETURN_S, removed_s=8.0),
    StoreTable.VMS: HoldSettings(older_s=0.0, missing_s=0.0, removed_s=0.0),
}


@frozen(order=True)
class Position:
    """A point in the store's sequence of transactions.

    ``era`` counts the times that the store came back from an old copy of itself. Versions are given
    out again then, so they compare within an era only.
    """

    era: int = 0
    version: int = 0


UNREAD = Position(0, -1)


@frozen
class Snapshot:
    """All rows of a table at ``position``; ``held`` rows override them at the VM that sent it."""

    rows: tuple[Row, ...]
    position: Position
    held: tuple[HeldRow, ...] = ()


@frozen
class Changes:
    """The rows that changed after position ``after``, up to ``position``, in order of version."""

    rows: tuple[Row, ...]
    after: Position
    position: Position


@frozen
class HistoryDropped:
    """The store no longer has the requested changes; the whole table has to be read."""


class TableCopy:
    """Copy of one table, and the position in the store's sequence of transactions that it reflects.

    ``content_position`` advances only when rows or the era change, ``position`` with every
    transaction of the store up to which updates were applied. ``confirmed_s`` is when the store
    last confirmed the copy to be complete. After the store came back from an old copy of itself,
    held rows override the store's; ``rows`` and the changes that ``apply`` returns include them.
    """

    def __init__(self, table: StoreTable, revision_of: RevisionOf) -> None:
        self.position = Position()
        self.content_position = Position()
        self.is_loaded = False
        self.confirmed_s = -inf
        self._rows: dict[str, Row] = {}
        self._held = HeldRows(HOLD_SETTINGS[table], revision_of)
        self._history: deque[Row] = deque()
        self._history_start = 0

    @property
    def rows(self) -> dict[str, Row]:
        """The current rows by key, without removed ones."""
        return self._held.override(self._rows) if len(self._held) else self._rows

    @property
    def held_count(self) -> int:
        """Number of rows that override the store's."""
        return len(self._held)

    def apply(self, update: Snapshot | Changes, now_s: float) -> tuple[Row, ...]:
        """Apply an update and return the rows that it changed.

        Updates that are out of date, or changes that leave a gap after the copy's position, are
        ignored.
        """
        if update.position < self.position or (self.is_loaded and update.position == self.position):
            return ()
        match update:
            case Snapshot():
                return self._replace(update, now_s)
            case Changes():
                if not self.is_loaded or not self._is_next(update):
                    return ()
                return self._append(update)

    def adopt_held(self, snapshot: Snapshot, now_s: float) -> tuple[Row, ...]:
        """Take over the rows that another VM holds; return the rows that this changed."""
        if not self.is_loaded or snapshot.position.era != self.position.era:
            return ()
        before = dict(self.rows)
        sent = {row.key: row for row in snapshot.rows}
        self._held.adopt(snapshot.held, sent, self._rows, now_s)
        return _difference(before, self.rows, self.position)

    def release_held(self, now_s: float) -> tuple[Row, ...]:
        """End the holds whose time is over; return the rows that this changed."""
        before = self.rows
        for held in self._held.release_expired(now_s):
            if held.value is not None and held.key not in self._rows:
                self._held.record_removed(held, self.position.version)
        return _difference(before, self.rows, self.position)

    def changes_after(self, position: Position) -> Changes | Snapshot:
        """Return the changes after ``position``, or all rows if the history starts later."""
        if position.era != self.position.era or position.version < self._history_start:
            return Snapshot(tuple(self._rows.values()), self.position, self._held.all())
        rows = tuple(row for row in self._history if row.version > position.version)
        return Changes(rows, position, self.position)

    def _is_next(self, changes: Changes) -> bool:
        return changes.after.era == self.position.era and changes.after <= self.position

    def _replace(self, snapshot: Snapshot, now_s: float) -> tuple[Row, ...]:
        before = dict(self.rows)
        rows = {row.key: row for row in snapshot.rows}
        is_new_era = snapshot.position.era > self.position.era
        if self.is_loaded and is_new_era:
            self._held.begin_era(before, rows, now_s)
        else:
            self._end_changed_holds(rows, snapshot.position)
        self._rows = rows
        self._held.adopt(snapshot.held, rows, rows, now_s)
        changed = _difference(before, self.rows, snapshot.position)
        self._history.clear()
        self._history_start = snapshot.position.version
        self.position = snapshot.position
        if changed or is_new_era or not self.is_loaded:
            self.content_position = snapshot.position
        self.is_loaded = True
        return changed

    def _end_changed_holds(self, rows: dict[str, Row], position: Position) -> None:
        for key in self._rows.keys() - rows.keys():
            self._held.record_written(key)
            self._held.record_removed(self._rows[key], position.version)
        for key, row in rows.items():
            known = self._rows.get(key)
            if known is None or known.version != row.version:
                self._held.record_written(key)

    def _append(self, changes: Changes) -> tuple[Row, ...]:
        applied = []
        era = changes.position.era
        for row in changes.rows:
            known = self._rows.get(row.key)
            if row.version <= self.position.version or (known and row.version <= known.version):
                continue
            self._held.record_written(row.key)
            if row.value is None:
                self._rows.pop(row.key, None)
                if known is not None:
                    self._held.record_removed(known, row.version)
            else:
                self._rows[row.key] = row
            self._history.append(row)
            self.content_position = Position(era, row.version)
            applied.append(row)
        while len(self._history) > MAX_HISTORY_ROWS:
            self._history_start = self._history.popleft().version
        self.position = changes.position
        return tuple(applied)


def _difference(
    before: dict[str, Row], after: dict[str, Row], position: Position
) -> tuple[Row, ...]:
    """Return the rows that differ, with a removal for each row that is gone."""
    removed = [Row(key, None, position.version) for key in before if key not in after]
    changed = [
        row for key, row in after.items() if key not in before or before[key].value != row.value
    ]
    return (*changed, *removed)
