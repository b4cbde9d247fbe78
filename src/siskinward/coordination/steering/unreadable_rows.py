"""The rows of the store that can't be used, so that each is reported once."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from siskinward.coordination.steering.rows import StoreTable

# Further rows are counted, and not told apart.
MAX_KEYS = 10_000


class UnreadableRows:
    """Remembers by table the keys of rows that can't be used."""

    def __init__(self) -> None:
        self._keys: dict[StoreTable, set[str]] = {}

    def count(self, table: StoreTable) -> int:
        """Return the number of a table's rows that can't be used."""
        return len(self._keys.get(table, ()))

    def add(self, table: StoreTable, key: str) -> bool:
        """Record a row that can't be used; return whether it was not known as such."""
        keys = self._keys.setdefault(table, set())
        if key in keys or len(keys) >= MAX_KEYS:
            return False
        keys.add(key)
        return True

    def discard(self, table: StoreTable, key: str) -> bool:
        """Record a row that can be used or is gone; return whether it could not be used before."""
        keys = self._keys.get(table, set())
        if key not in keys:
            return False
        keys.remove(key)
        return True
