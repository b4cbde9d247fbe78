"""Keeps cold targets within the rate that they bear, over all VMs.

Answers targets that come back or join under full load. One VM, named by rendezvous hashing among
the live ones, sends to a cold target; a VM on the smaller side of a cut sends nothing.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from siskinward.coordination.token_bucket import TokenBucket

if TYPE_CHECKING:
    from siskinward.coordination.steering.fleet import Fleet
    from siskinward.coordination.steering.targets import Target
    from siskinward.state.identifiers import TargetName

# The store's view of a restart may lag; two VMs that each take themselves for the sender stay
# within the operators' slack.
BURST_REQUESTS = 1.0


class WarmupLimiter:
    """Lets requests through to cold targets at their warm-up rate."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self._paces: dict[TargetName, TokenBucket] = {}

    def may_send(self, target: Target, rate_per_s: float, now_s: float) -> bool:
        """Whether this VM may send one request now; ``take`` notes that it did."""
        if not self._is_sender(target, now_s):
            return False
        return self._refill(target, rate_per_s, now_s).tokens >= 1.0

    def take(self, target: Target) -> None:
        """Note a request sent to a cold target."""
        pace = self._paces.get(target.name)
        if pace is not None:
            pace.tokens -= 1.0

    def _is_sender(self, target: Target, now_s: float) -> bool:
        if not self._fleet.has_majority(now_s):
            return False
        return self._fleet.owner_of(target.name, now_s).vm == self._fleet.own.vm

    def _refill(self, target: Target, rate_per_s: float, now_s: float) -> TokenBucket:
        pace = self._paces.setdefault(target.name, TokenBucket(BURST_REQUESTS, now_s))
        pace.refill(rate_per_s, BURST_REQUESTS, now_s)
        return pace
