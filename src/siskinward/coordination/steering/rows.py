"""A copy of a table of the store that only moves forward, and what passes it between VMs."""

from __future__ import annotations

from collections import deque
from enum import Enum
from math import inf

from attrs import frozen

HISTORY_ROWS = 4000


class StoreTable(Enum):
    """The tables of the store that entry VMs follow."""

    OPERATOR = "operator"
    TARGETS = "targets"
    VMS = "vms"


@frozen
class Row:
    """One row as of ``version``; ``value`` is None where the row was removed."""

    key: str
    value: bytes | None
    version: int


@frozen
class Snapshot:
    """All rows of a table as of ``position``."""

    rows: tuple[Row, ...]
    position: int


@frozen
class Changes:
    """The rows that changed after ``after``, up to ``position``, in order."""

    rows: tuple[Row, ...]
    after: int
    position: int


@frozen
class HistoryDropped:
    """The changes that were asked for are no longer kept."""


class TableCopy:
    """Rows of one table and the position up to which they are known.

    ``content_version`` moves only when rows change, ``position`` with every transaction of the
    store that was seen. ``confirmed_s`` is when the store last confirmed the copy to be complete.
    """

    def __init__(self) -> None:
        self.position = 0
        self.content_version = 0
        self.is_loaded = False
        self.confirmed_s = -inf
        self._rows: dict[str, Row] = {}
        self._history: deque[Row] = deque()
        self._history_after = 0

    @property
    def rows(self) -> dict[str, Row]:
        """The rows that exist."""
        return self._rows

    def apply(self, update: Snapshot | Changes) -> tuple[Row, ...]:
        """Take an update in; returns the rows that differ from before."""
        if update.position < self.position or (self.is_loaded and update.position == self.position):
            return ()
        match update:
            case Snapshot():
                return self._replace(update)
            case Changes():
                if not self.is_loaded or update.after > self.position:
                    return ()
                return self._append(update)

    def changes_after(self, position: int) -> Changes | Snapshot:
        """What a copy at ``position`` lacks; all rows if the history does not reach back."""
        if position < self._history_after:
            return Snapshot(tuple(self._rows.values()), self.position)
        rows = tuple(row for row in self._history if row.version > position)
        return Changes(rows, position, self.position)

    def _replace(self, snapshot: Snapshot) -> tuple[Row, ...]:
        rows = {row.key: row for row in snapshot.rows}
        removed = [Row(key, None, snapshot.position) for key in self._rows if key not in rows]
        changed = [
            row
            for row in snapshot.rows
            if row.key not in self._rows or self._rows[row.key].value != row.value
        ]
        self._rows = rows
        self._history.clear()
        self._history_after = snapshot.position
        self.position = snapshot.position
        if changed or removed or not self.is_loaded:
            self.content_version = snapshot.position
        self.is_loaded = True
        return (*changed, *removed)

    def _append(self, changes: Changes) -> tuple[Row, ...]:
        taken = []
        for row in changes.rows:
            known = self._rows.get(row.key)
            if row.version <= self.position or (known and row.version <= known.version):
                continue
            if row.value is None:
                self._rows.pop(row.key, None)
            else:
                self._rows[row.key] = row
            self._history.append(row)
            self.content_version = row.version
            taken.append(row)
        while len(self._history) > HISTORY_ROWS:
            self._history_after = self._history.popleft().version
        self.position = changes.position
        return tuple(taken)
