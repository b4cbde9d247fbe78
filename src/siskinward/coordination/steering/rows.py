"""Copies of the store's tables, and the updates that keep them current; copies never go back."""

from __future__ import annotations

from collections import deque
from enum import Enum
from math import inf

from attrs import frozen

MAX_HISTORY_ROWS = 4000


class StoreTable(Enum):
    """The tables of the store that entry VMs read."""

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
    """All rows of a table at ``position``."""

    rows: tuple[Row, ...]
    position: int


@frozen
class Changes:
    """The rows that changed after position ``after``, up to ``position``, in order of version."""

    rows: tuple[Row, ...]
    after: int
    position: int


@frozen
class HistoryDropped:
    """The store no longer has the requested changes; the whole table has to be read."""


class TableCopy:
    """Copy of one table, and the position in the store's sequence of transactions that it reflects.

    ``content_version`` advances only when rows change, ``position`` with every transaction of the
    store up to which updates were applied. ``confirmed_s`` is when the store last confirmed the
    copy to be complete.
    """

    def __init__(self) -> None:
        self.position = 0
        self.content_version = 0
        self.is_loaded = False
        self.confirmed_s = -inf
        self._rows: dict[str, Row] = {}
        self._history: deque[Row] = deque()
        self._history_start = 0

    @property
    def rows(self) -> dict[str, Row]:
        """The current rows by key, without removed ones."""
        return self._rows

    def apply(self, update: Snapshot | Changes) -> tuple[Row, ...]:
        """Apply an update and return the rows that it changed.

        Updates that are out of date, or changes that leave a gap after the copy's position, are
        ignored.
        """
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
        """Return the changes after ``position``, or all rows if the history starts later."""
        if position < self._history_start:
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
        self._history_start = snapshot.position
        self.position = snapshot.position
        if changed or removed or not self.is_loaded:
            self.content_version = snapshot.position
        self.is_loaded = True
        return (*changed, *removed)

    def _append(self, changes: Changes) -> tuple[Row, ...]:
        applied = []
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
            applied.append(row)
        while len(self._history) > MAX_HISTORY_ROWS:
            self._history_start = self._history.popleft().version
        self.position = changes.position
        return tuple(applied)
