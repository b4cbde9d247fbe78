"""Limits requests to cold targets to their warm-up rate, over all VMs.

Handles targets that return or join under full load. Only one VM, selected by rendezvous hashing
among the live ones, sends to a cold target; a VM on the minority side of a partition sends none.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from siskinward.coordination.token_bucket import TokenBucket

if TYPE_CHECKING:
    from siskinward.coordination.steering.fleet import Fleet
    from siskinward.coordination.steering.targets import Target
    from siskinward.state.identifiers import TargetName

# A burst of one request: while the store's view of a restart lags, two VMs may each act as the
# sender, and together they have to stay within the operators' slack.
BURST_REQUESTS = 1.0


class WarmupLimiter:
    """Token buckets for cold targets, filled at their warm-up rate."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self._buckets: dict[TargetName, TokenBucket] = {}

    def may_send(self, target: Target, rate_per_s: float, now_s: float) -> bool:
        """Return whether this VM may send one request now; ``record_sent`` takes the token."""
        if not self._is_sender(target, now_s):
            return False
        return self._refill(target, rate_per_s, now_s).tokens >= 1.0

    def record_sent(self, target: Target) -> None:
        """Take the token of a request that was sent to a cold target."""
        bucket = self._buckets.get(target.name)
        if bucket is not None:
            bucket.tokens -= 1.0

    def _is_sender(self, target: Target, now_s: float) -> bool:
        if not self._fleet.has_majority(now_s):
            return False
        return self._fleet.owner_of(target.name, now_s).vm == self._fleet.own.vm

    def _refill(self, target: Target, rate_per_s: float, now_s: float) -> TokenBucket:
        bucket = self._buckets.setdefault(target.name, TokenBucket(BURST_REQUESTS, now_s))
        bucket.refill(rate_per_s, BURST_REQUESTS, now_s)
        return bucket
