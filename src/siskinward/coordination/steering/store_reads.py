"""Whether this VM's reads of the store succeed, so that others can read it in this VM's place."""

from __future__ import annotations

from math import inf
from typing import TYPE_CHECKING

from attrs import frozen

if TYPE_CHECKING:
    from siskinward.coordination.steering.rows import StoreTable


@frozen
class StoreReadSettings:
    """A read counts as failing once its answer is ``overdue_s`` late, before it times out."""

    overdue_s: float = 0.3


class StoreReads:
    """The reads of the store that this VM has to make and that have not succeeded yet, by table."""

    def __init__(self, settings: StoreReadSettings) -> None:
        self._settings = settings
        self._failing_from_s: dict[StoreTable, float] = {}

    def begin(self, table: StoreTable, due_s: float) -> None:
        """Record a read whose answer is due at a time; a read that is failing goes on failing."""
        self._failing_from_s.setdefault(table, due_s + self._settings.overdue_s)

    def fail(self, table: StoreTable) -> None:
        """Record that a read failed."""
        self._failing_from_s[table] = -inf

    def end(self, table: StoreTable) -> None:
        """Record that a read succeeded, or that this VM no longer has to read the table."""
        self._failing_from_s.pop(table, None)

    def are_failing(self, now_s: float) -> bool:
        """Return whether the reads of any table fail."""
        return any(from_s <= now_s for from_s in self._failing_from_s.values())
