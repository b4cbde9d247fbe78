"""Ledger of moved demand within a sliding window."""

from __future__ import annotations

from collections import deque

TOLERANCE = 1e-9


class ShiftLedger:
    """Limits the demand that starts moving within any window of ``window_s``."""

    def __init__(self, *, window_s: float) -> None:
        self.window_s = window_s
        self._charges: deque[tuple[float, float]] = deque()
        self._blocked_until_s = float("-inf")

    def block_for_window(self, now_s: float) -> None:
        """Allow no moves for a whole window, because earlier moves are not known."""
        self._blocked_until_s = now_s + self.window_s

    def charged(self, now_s: float) -> float:
        """Return the demand that started moving within the window before ``now_s``."""
        while self._charges and self._charges[0][0] <= now_s - self.window_s:
            self._charges.popleft()
        return sum(amount for _, amount in self._charges)

    def available(self, limit: float, now_s: float) -> float:
        """Return how much demand may still start moving now under ``limit``."""
        if now_s < self._blocked_until_s:
            return 0.0
        return max(0.0, limit - self.charged(now_s))

    def charge(self, amount: float, *, limit: float, now_s: float) -> bool:
        """Charge a move; return ``False`` if it exceeds ``limit``."""
        if amount * (1.0 - TOLERANCE) > self.available(limit, now_s):
            return False
        self._charges.append((now_s, amount))
        return True
