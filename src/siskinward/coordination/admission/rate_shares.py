"""Shares of a region's limit, bound to targets and enforced by whoever owns a target."""

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

BURST_S = 0.1
MIN_BURST = 1.0


class RateShares:
    """Splits the limit of a region and service over its targets by their slots.

    Each target has one owner at a time, so that the shares hold for the region without any
    agreement, also while it is cut off. Within any second a target starts no more than its share;
    a share below two requests a second holds over longer times only.
    """

    def __init__(self) -> None:
        self._share_per_s: dict[TargetName, float] = {}
        self._buckets: dict[TargetName, TokenBucket] = {}

    def set_configuration(
        self, configuration: Configuration, service: ServiceName, domain: DomainName
    ) -> None:
        """Take in the limit of the service in the region of ``domain``."""
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
        """Forget the buckets of targets that this VM may not use now."""
        for target in [target for target in self._buckets if target not in owned]:
            del self._buckets[target]

    def rate_per_s(self, targets: Collection[TargetName]) -> float:
        """Requests that ``targets`` may start in a second, all together."""
        return sum(self._share_per_s.get(target, inf) for target in targets)

    def available(self, target: TargetName, now_s: float) -> float:
        """How many requests the target may start now."""
        share_per_s = self._share_per_s.get(target)
        if share_per_s is None:
            return inf
        return self._filled(target, share_per_s, now_s).tokens

    def charge(self, target: TargetName, now_s: float) -> None:
        """Charge one request."""
        share_per_s = self._share_per_s.get(target)
        if share_per_s is not None:
            self._filled(target, share_per_s, now_s).tokens -= 1.0

    def _filled(self, target: TargetName, share_per_s: float, now_s: float) -> TokenBucket:
        # It begins empty, so that a change of owner adds none.
        bucket = self._buckets.setdefault(target, TokenBucket(0.0, now_s))
        burst = max(MIN_BURST, share_per_s * BURST_S)
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
    """Slots of the service's targets in the region of ``domain``."""
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
