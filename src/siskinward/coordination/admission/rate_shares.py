"""Per-target shares of a region's rate limit, enforced by the VM that owns the target."""

from __future__ import annotations

from math import inf
from typing import TYPE_CHECKING

from siskinward.coordination.token_bucket import TokenBucket

if TYPE_CHECKING:
    from collections.abc import Collection

    from siskinward.state.identifiers import DomainName
    from siskinward.state.identifiers import ServiceName
    from siskinward.state.identifiers import TargetName
    from siskinward.state.objects import Configuration

BURST_DURATION_S = 0.1
MIN_BURST_REQUESTS = 1.0


class RateShares:
    """Divides the rate limit of a service in a region among its targets, in proportion to slots.

    Each target has a single owner at a time, so the region's limit holds without coordination
    between VMs, also while the region is partitioned. Within any second a target starts no more
    requests than its share; a share below two requests per second is kept only over longer times,
    because the bucket always has room for one whole request.
    """

    def __init__(self) -> None:
        self._share_per_s: dict[TargetName, float] = {}
        self._buckets: dict[TargetName, TokenBucket] = {}

    def set_configuration(
        self, configuration: Configuration, service: ServiceName, domain: DomainName
    ) -> None:
        """Recompute the shares from the limit of the service in the region of ``domain``."""
        limit_per_s = _region_limit(configuration, service, domain)
        if limit_per_s == inf:
            self._share_per_s = {}
            return
        slots = _region_slots(configuration, service, domain)
        total = sum(slots.values())
        self._share_per_s = {
            name: limit_per_s * count / total for name, count in slots.items() if count
        }

    def retain(self, owned: Collection[TargetName]) -> None:
        """Discard the buckets of targets that are not in ``owned``."""
        for target in [target for target in self._buckets if target not in owned]:
            del self._buckets[target]

    def rate_per_s(self, targets: Collection[TargetName]) -> float:
        """Return how many requests per second ``targets`` may start in total."""
        return sum(self._share_per_s.get(target, inf) for target in targets)

    def available(self, target: TargetName, now_s: float) -> float:
        """Return how many requests the target may start now; infinite without a limit."""
        share_per_s = self._share_per_s.get(target)
        if share_per_s is None:
            return inf
        return self._refilled_bucket(target, share_per_s, now_s).tokens

    def charge(self, target: TargetName, now_s: float) -> None:
        """Take a token for one request from the bucket of the target."""
        share_per_s = self._share_per_s.get(target)
        if share_per_s is not None:
            self._refilled_bucket(target, share_per_s, now_s).tokens -= 1.0

    def _refilled_bucket(self, target: TargetName, share_per_s: float, now_s: float) -> TokenBucket:
        # A new bucket starts empty: a full one would grant an extra burst at each change of owner.
        bucket = self._buckets.setdefault(target, TokenBucket(0.0, now_s))
        burst = max(MIN_BURST_REQUESTS, share_per_s * BURST_DURATION_S)
        fill_per_s = max(share_per_s - burst, share_per_s / 2)
        bucket.refill(fill_per_s, burst, now_s)
        return bucket


def _region_limit(configuration: Configuration, service: ServiceName, domain: DomainName) -> float:
    declared = configuration.failure_domains.get(domain)
    limits = [
        limit.capacity_per_s
        for limit in configuration.region_limits.values()
        if declared is not None and (limit.region, limit.service) == (declared.region, service)
    ]
    return min(limits, default=inf)


def _region_slots(
    configuration: Configuration, service: ServiceName, domain: DomainName
) -> dict[TargetName, int]:
    """Return the slots of each of the service's targets in the region of ``domain``."""
    region = configuration.failure_domains[domain].region
    groups = {
        name
        for name, group in configuration.target_groups.items()
        if group.service == service
        and configuration.failure_domains[group.failure_domain].region == region
    }
    return {
        name: target.slots
        for name, target in configuration.targets.items()
        if target.group in groups
    }
