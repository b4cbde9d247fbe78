"""Chooses the target of a request.

Handles skewed object popularity at loads that cold targets could not carry: every VM sends the
requests for one object to the same target, where the object is warm. When that target is full by
the counts of all VMs, the next one in the object's ranking is used. Only a few targets serve one
object.
"""

from __future__ import annotations

from statistics import median
from typing import TYPE_CHECKING

from attrs import frozen

from siskinward.coordination.steering.hashing import rendezvous_score
from siskinward.coordination.steering.locality import region_weights
from siskinward.coordination.steering.targets import Target
from siskinward.state.identifiers import RegionName
from siskinward.state.identifiers import ServiceName
from siskinward.state.identifiers import TargetName

if TYPE_CHECKING:
    from collections.abc import Collection
    from random import Random

    from siskinward.coordination.steering.targets import TargetTable
    from siskinward.coordination.steering.warmup import WarmupLimiter


@frozen
class PlacementSettings:
    """How far requests for one object spread.

    Only the first ``choices`` targets in an object's ranking serve it: on further targets, a cold
    run costs more than it gains. ``first_overcommit`` and ``other_overcommit`` allow requests
    beyond the slots of the first and the other targets, as a share of their slots. A target whose
    error share exceeds ``error_limit``, and ``error_ratio`` times the median of all candidates,
    gets one request at a time.
    """

    choices: int = 2
    first_overcommit: float = 0.67
    other_overcommit: float = 0.0
    error_limit: float = 0.4
    error_ratio: float = 2.0


@frozen
class PlacementRequest:
    """A request to be placed.

    ``object_key`` is empty if the request concerns no object, so that all targets rank alike. Empty
    ``home_regions`` allow all regions. ``tried`` targets are not chosen again.
    """

    service: ServiceName
    object_key: str
    home_regions: frozenset[RegionName]
    tried: frozenset[TargetName] = frozenset()


@frozen
class Placed:
    """The chosen target; ``choice`` counts the full targets that rank before it."""

    target: Target
    choice: int


@frozen
class NoCapacity:
    """Usable targets exist, but none can take the request now."""


@frozen
class NoTarget:
    """No usable target exists."""


@frozen
class ConsideredTarget:
    """A target considered for a request, with its load and state as known to this VM."""

    target: TargetName
    load: int
    slots: int
    state: str


class Placement:
    """Ranks the targets for an object and finds the first with capacity."""

    def __init__(
        self,
        settings: PlacementSettings,
        region: RegionName,
        regions: frozenset[RegionName],
        targets: TargetTable,
        warmup_limiter: WarmupLimiter,
        random: Random,
    ) -> None:
        self._settings = settings
        self._region = region
        self._regions = regions
        self._targets = targets
        self._warmup_limiter = warmup_limiter
        self._random = random
        self._weights: dict[ServiceName, dict[RegionName, float]] = {}
        self._weights_revision = -1
        self.warmup_rates_per_s: dict[ServiceName, float] = {}

    def choose(self, request: PlacementRequest, now_s: float) -> Placed | NoCapacity | NoTarget:
        """Choose a target with capacity."""
        candidates = self._candidates(request, now_s)
        if not candidates:
            return NoTarget()
        warm_seen = 0
        for target in self._rank(request, candidates):
            if target.is_cold(now_s):
                if self._accepts_cold_request(target, now_s):
                    return Placed(target, warm_seen)
                continue
            if self._is_error_outlier(target, candidates):
                if target.in_flight == 0:
                    return Placed(target, warm_seen)
                continue
            if self._has_capacity(target, warm_seen):
                return Placed(target, warm_seen)
            warm_seen += 1
            if request.object_key and warm_seen >= self._settings.choices:
                break
        return NoCapacity()

    def considered(self, request: PlacementRequest, now_s: float) -> list[ConsideredTarget]:
        """Return the targets that rank first for a request, to log when none has capacity."""
        ordered = self._rank(request, self._candidates(request, now_s))
        return [
            ConsideredTarget(item.name, item.load, item.record.slots, item.state_name(now_s))
            for item in ordered[: self._settings.choices]
        ]

    def free_slots(self, service: ServiceName, now_s: float) -> int:
        """Return the free slots at the usable targets of a service."""
        usable = self._targets.usable(service, now_s)
        return sum(max(0, target.record.slots - target.load) for target in usable)

    def record_sent(self, target: Target, now_s: float) -> None:
        """Count a request that is sent to a target."""
        target.in_flight += 1
        if target.is_cold(now_s):
            self._warmup_limiter.record_sent(target)

    def _candidates(self, request: PlacementRequest, now_s: float) -> list[Target]:
        usable = self._targets.usable(request.service, now_s)
        if request.home_regions:
            usable = [target for target in usable if target.region in request.home_regions]
        return _exclude_tried(usable, request.tried)

    def _rank(self, request: PlacementRequest, candidates: list[Target]) -> list[Target]:
        if not request.object_key:
            shuffled = self._random.sample(candidates, len(candidates))
            return sorted(shuffled, key=lambda target: target.load / target.record.slots)
        key = f"{request.service}/{request.object_key}"
        weights = self._region_weights(request.service)
        return sorted(
            candidates,
            key=lambda target: rendezvous_score(key, target.name)
            * weights[target.region]
            * target.record.slots,
            reverse=True,
        )

    def _region_weights(self, service: ServiceName) -> dict[RegionName, float]:
        if self._weights_revision != self._targets.revision:
            self._weights_revision = self._targets.revision
            self._weights.clear()
        if service not in self._weights:
            slots = self._targets.slots_by_region(service)
            self._weights[service] = region_weights(slots, self._regions, self._region)
        return self._weights[service]

    def _accepts_cold_request(self, target: Target, now_s: float) -> bool:
        rate_per_s = self.warmup_rates_per_s.get(target.record.service, 0.0)
        is_free = target.load < target.record.slots
        return is_free and self._warmup_limiter.may_send(target, rate_per_s, now_s)

    def _is_error_outlier(self, target: Target, candidates: list[Target]) -> bool:
        if target.error_share <= self._settings.error_limit:
            return False
        median_share = median(other.error_share for other in candidates)
        return target.error_share > self._settings.error_ratio * median_share

    def _has_capacity(self, target: Target, choice: int) -> bool:
        slots = target.record.slots
        overcommit = (
            self._settings.first_overcommit if choice == 0 else self._settings.other_overcommit
        )
        return target.load < slots + int(overcommit * slots)


def _exclude_tried(targets: list[Target], tried: Collection[TargetName]) -> list[Target]:
    if not tried:
        return targets
    return [target for target in targets if target.name not in tried]
