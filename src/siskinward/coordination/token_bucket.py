"""Tokens that are earned at a rate and kept up to a capacity."""

from __future__ import annotations

from attrs import define


@define
class TokenBucket:
    """What is left of the tokens as of ``refilled_at_s``."""

    tokens: float
    refilled_at_s: float

    def refill(self, rate_per_s: float, capacity: float, now_s: float) -> None:
        """Add what was earned since the last refill; what exceeds the capacity is lost."""
        earned = rate_per_s * max(0.0, now_s - self.refilled_at_s)
        self.tokens = min(capacity, self.tokens + earned)
        self.refilled_at_s = now_s

    def try_take(self) -> bool:
        """Take one token; False if none is left."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True
