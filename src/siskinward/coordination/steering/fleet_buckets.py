"""Token buckets of limits that hold over all VMs, at the VM that issues their tokens.

The issuer's rate is scaled by the fraction of all VMs that it reaches: each side of a partition has
its own issuer, and together they issue no more than the whole rate.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define
from attrs import frozen

from siskinward.coordination.token_bucket import TokenBucket

if TYPE_CHECKING:
    from siskinward.coordination.steering.fleet import Fleet
    from siskinward.state.identifiers import IncarnationId


@frozen
class FleetLimit:
    """A limit over all VMs: the rate and the capacity of its bucket."""

    rate_per_s: float
    capacity: float


@define
class FleetBucket(TokenBucket):
    """Token bucket of one limit; it schedules the retries of rejected requests one by one."""

    next_retry_s: float = 0.0


class FleetBuckets:
    """The buckets of the limits that this VM issues tokens of, by key.

    When the live VMs change, another VM may have been the issuer before and have granted the whole
    bucket: this one starts with no more than the rate earns in ``takeover_s``.
    """

    def __init__(self, takeover_s: float, fleet: Fleet) -> None:
        self._takeover_s = takeover_s
        self._fleet = fleet
        self._buckets: dict[str, FleetBucket] = {}
        self._incarnations: frozenset[IncarnationId] = frozenset()
        self._unchanged_since_s = 0.0

    def update_membership(self, now_s: float) -> None:
        """Check whether the live VMs have changed; call it about once per heartbeat."""
        incarnations = frozenset(vm.incarnation for vm in self._fleet.live(now_s))
        if incarnations != self._incarnations:
            self._incarnations = incarnations
            self._unchanged_since_s = now_s

    def scale(self, now_s: float) -> float:
        """Return the fraction of a limit that this VM issues."""
        counted = self._fleet.presumed_vm_count(now_s)
        return min(1.0, self._fleet.unsuspected_vm_count(now_s) / counted)

    def refill(self, key: str, limit: FleetLimit, now_s: float) -> FleetBucket:
        """Return the bucket of a limit with the tokens accrued by now."""
        scale = self.scale(now_s)
        rate_per_s = limit.rate_per_s * scale
        takeover_tokens = rate_per_s * self._takeover_s
        since_s = self._unchanged_since_s
        bucket = self._buckets.get(key)
        if bucket is None:
            bucket = self._buckets[key] = FleetBucket(takeover_tokens, since_s)
        elif bucket.refilled_at_s < since_s:
            bucket.refill(rate_per_s, takeover_tokens, since_s)
        bucket.refill(rate_per_s, max(1.0, limit.capacity * scale), now_s)
        return bucket

    def discard(self, key: str) -> None:
        """Drop the bucket of a limit that has ended."""
        self._buckets.pop(key, None)
