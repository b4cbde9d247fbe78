"""Token bucket whose rate and capacity are passed to each refill."""

from __future__ import annotations

from attrs import define


@define
class TokenBucket:
    """Token bucket; ``tokens`` is the level at ``refilled_at_s``."""

    tokens: float
    refilled_at_s: float

    def refill(self, rate_per_s: float, capacity: float, now_s: float) -> None:
        """Add the tokens accrued since the last refill, up to the capacity."""
        accrued = rate_per_s * max(0.0, now_s - self.refilled_at_s)
        self.tokens = min(capacity, self.tokens + accrued)
        self.refilled_at_s = now_s

    def try_take(self) -> bool:
        """Take one token; False if none is left."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True
