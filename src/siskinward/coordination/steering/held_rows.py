"""Keeps what this VM knew of a table while the store runs on from an old copy of itself.

Handles a store that comes back some seconds behind: rows that were written since the copy was made
are gone from it until their writers write them again. Meanwhile the copy must not undo them here:
an older row, a missing row and a row that was removed before are each overridden for a limited
time, or until the store reports a change of the row. Rows that can't be decoded are never held.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define
from attrs import frozen

from siskinward.coordination.steering.row import Row
from siskinward.coordination.steering.row import RowRevision
from siskinward.coordination.steering.row import Unreadable

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping

    from siskinward.coordination.steering.row import RevisionOf

MAX_REMOVED_ROWS = 1000


@frozen
class HoldSettings:
    """How long a known row overrides the store's.

    ``older_s`` applies where the store has an older row, ``missing_s`` where it has none, and
    ``removed_s`` where it has a row that is known to have been removed.
    """

    older_s: float
    missing_s: float
    removed_s: float


@frozen
class HeldRow:
    """A row that overrides the store's until ``until_s``; without a value, it stays removed."""

    row: Row
    until_s: float


@define
class _RemovedRow:
    last: Row
    version: int


class HeldRows:
    """The held rows of one table, and the recently removed rows that may have to be held."""

    def __init__(self, settings: HoldSettings, revision_of: RevisionOf) -> None:
        self._settings = settings
        self._revision_of = revision_of
        self._held: dict[str, HeldRow] = {}
        self._removed: dict[str, _RemovedRow] = {}

    def __len__(self) -> int:
        return len(self._held)

    def all(self) -> tuple[HeldRow, ...]:
        """Return the held rows."""
        return tuple(self._held.values())

    def override(self, rows: Mapping[str, Row]) -> dict[str, Row]:
        """Return the rows to use in place of the store's ``rows``."""
        effective = dict(rows)
        for key, held in self._held.items():
            if held.row.value is None:
                effective.pop(key, None)
            else:
                effective[key] = held.row
        return effective

    def record_removed(self, last: Row, version: int) -> None:
        """Remember a row that the store removed in transaction ``version``."""
        self._removed.pop(last.key, None)
        self._removed[last.key] = _RemovedRow(last, version)
        while len(self._removed) > MAX_REMOVED_ROWS:
            del self._removed[next(iter(self._removed))]

    def record_written(self, key: str) -> None:
        """Record that the store reported a change of a row, which ends its hold."""
        self._held.pop(key, None)
        self._removed.pop(key, None)

    def begin_era(
        self, known: Mapping[str, Row], restored: Mapping[str, Row], now_s: float
    ) -> None:
        """Decide which ``known`` rows override those of a store that came back from a copy."""
        still_held = self._held
        self._held = {}
        for key, row in known.items():
            self._hold_known(row, restored.get(key), key in still_held, now_s)
        for key in restored.keys() - known.keys():
            self._hold_removed(restored[key], now_s)

    def adopt(
        self,
        held: Iterable[HeldRow],
        sent: Mapping[str, Row],
        rows: Mapping[str, Row],
        now_s: float,
    ) -> None:
        """Take over rows that another VM holds against the rows of the store that it ``sent``.

        ``rows`` are the store's rows here. A row that changed since then, that this VM holds itself
        or that it knows to be newer stays.
        """
        for item in held:
            key = item.row.key
            current = rows.get(key)
            if key in self._held or item.until_s <= now_s or sent.get(key) != current:
                continue
            if self._supersedes(item.row, current):
                self._held[key] = item

    def _supersedes(self, held: Row, current: Row | None) -> bool:
        if self._is_unreadable(held):
            return False
        if current is None:
            removed = self._removed.get(held.key)
            return removed is None or self._is_written_after(held, removed)
        return held.value is None or self._is_newer(held, current)

    def release_expired(self, now_s: float) -> list[Row]:
        """End the holds whose time is over; return their rows."""
        expired = [held.row for held in self._held.values() if now_s >= held.until_s]
        for row in expired:
            del self._held[row.key]
        return expired

    def _hold_known(self, row: Row, restored: Row | None, was_held: bool, now_s: float) -> None:
        if self._is_unreadable(row):
            return
        if restored is None:
            self._held[row.key] = HeldRow(row, now_s + self._settings.missing_s)
        elif restored.value != row.value and (was_held or not self._is_newer(restored, row)):
            self._held[row.key] = HeldRow(row, now_s + self._settings.older_s)

    def _hold_removed(self, restored: Row, now_s: float) -> None:
        removed = self._removed.get(restored.key)
        if removed is None or self._is_unreadable(restored):
            return
        if self._is_written_after(restored, removed):
            return
        row = Row(restored.key, None, removed.version)
        self._held[row.key] = HeldRow(row, now_s + self._settings.removed_s)

    def _is_unreadable(self, row: Row) -> bool:
        return isinstance(self._revision_of(row), Unreadable)

    def _is_newer(self, row: Row, known: Row) -> bool:
        revision, known_revision = self._revision_of(row), self._revision_of(known)
        if isinstance(revision, RowRevision) and isinstance(known_revision, RowRevision):
            return revision >= known_revision
        return row.version >= known.version

    def _is_written_after(self, row: Row, removed: _RemovedRow) -> bool:
        # A target's last heartbeats before its removal may be newer than the row known here, so
        # only a later start tells a target that came back from one that is gone.
        revision, known_revision = self._revision_of(row), self._revision_of(removed.last)
        if isinstance(revision, RowRevision) and isinstance(known_revision, RowRevision):
            return revision.started_ms > known_revision.started_ms
        return row.version > removed.version
