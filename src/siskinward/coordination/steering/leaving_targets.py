"""The starts of targets that said that they leave.

Handles a target that shuts down while the store, silent or late, still lists it as ready. A target
that leaves doesn't come back: its word holds until it starts again, which makes it another one.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection

# A target whose entry is gone for so long has shut down.
RETENTION_S = 3600.0


class LeavingTargets:
    """The starts, by ``Target.start_id``, that this VM or another one heard that they leave."""

    def __init__(self) -> None:
        self._known_s: dict[int, float] = {}

    def add(self, start_id: int, now_s: float) -> bool:
        """Add a start; return whether it is new."""
        is_new = start_id not in self._known_s
        self._known_s.setdefault(start_id, now_s)
        return is_new

    def __contains__(self, start_id: int) -> bool:
        return start_id in self._known_s

    def __bool__(self) -> bool:
        return bool(self._known_s)

    def retain(self, start_ids: Collection[int], now_s: float) -> None:
        """Forget the other starts some time after they were known."""
        for start_id in start_ids:
            if start_id in self._known_s:
                self._known_s[start_id] = now_s
        since_s = now_s - RETENTION_S
        self._known_s = {key: at_s for key, at_s in self._known_s.items() if at_s >= since_s}
