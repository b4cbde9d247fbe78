"""Chooses the target of a request.

Answers skewed objects at loads that cold targets could not carry: requests for one object go to the
same target from every VM, where the object is warm. When that target is full by all VMs' counts,
the next in the object's own order takes over, and no more than a few targets serve one object.
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

    Only the first ``choices`` targets in an object's order serve it: beyond them, a cold run costs
    more than it gains. ``first_depth`` and ``other_depth`` are requests beyond the slots, as a
    share of the slots. A target that fails more than ``error_limit`` of what it gets, and
    ``error_ratio`` times as much as the others, is tried with one request at a time.
    """

    choices: int = 2
    first_depth: float = 0.67
    other_depth: float = 0.0
    error_limit: float = 0.4
    error_ratio: float = 2.0


@frozen
class PlacementRequest:
    """What a request asks for. ``object_key`` is empty where any target serves as well."""

    service: ServiceName
    object_key: str
    home_regions: frozenset[RegionName]
    tried: frozenset[TargetName] = frozenset()


@frozen
class Placed:
    """Send to this target; ``choice`` counts from 0 in the object's order."""

    target: Target
    choice: int


@frozen
class NoCapacity:
    """Targets exist, and all are full."""


@frozen
class NoTarget:
    """No usable target exists."""


@frozen
class ConsideredTarget:
    """A target that a request might have gone to, and what was believed of it."""

    target: TargetName
    load: int
    slots: int
    state: str


class Placement:
    """Ranks targets for objects and finds the first with capacity."""

    def __init__(
        self,
        settings: PlacementSettings,
        region: RegionName,
        regions: frozenset[RegionName],
        targets: TargetTable,
        gate: WarmupLimiter,
        random: Random,
    ) -> None:
        self._settings = settings
        self._region = region
        self._regions = regions
        self._targets = targets
        self._gate = gate
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
        for target in self._ordered(request, candidates):
            if target.is_cold(now_s):
                if self._bears_cold_request(target, now_s):
                    return Placed(target, warm_seen)
                continue
            if self._fails_more(target, candidates):
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
        """The targets that a request without capacity would have gone to."""
        ordered = self._ordered(request, self._candidates(request, now_s))
        return [
            ConsideredTarget(item.name, item.load, item.record.slots, item.state_name(now_s))
            for item in ordered[: self._settings.choices]
        ]

    def free_slots(self, service: ServiceName, now_s: float) -> int:
        """Slots of a service that nobody is known to use, at any target."""
        usable = self._targets.usable(service, now_s)
        return sum(max(0, target.record.slots - target.load) for target in usable)

    def record_sent(self, target: Target, now_s: float) -> None:
        """Count a request that goes to a target."""
        target.in_flight += 1
        if target.is_cold(now_s):
            self._gate.take(target)

    def _candidates(self, request: PlacementRequest, now_s: float) -> list[Target]:
        usable = self._targets.usable(request.service, now_s)
        if request.home_regions:
            usable = [target for target in usable if target.region in request.home_regions]
        return _without(usable, request.tried)

    def _ordered(self, request: PlacementRequest, candidates: list[Target]) -> list[Target]:
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

    def _bears_cold_request(self, target: Target, now_s: float) -> bool:
        rate_per_s = self.warmup_rates_per_s.get(target.record.service, 0.0)
        is_free = target.load < target.record.slots
        return is_free and self._gate.may_send(target, rate_per_s, now_s)

    def _fails_more(self, target: Target, candidates: list[Target]) -> bool:
        if target.error_share <= self._settings.error_limit:
            return False
        typical = median(other.error_share for other in candidates)
        return target.error_share > self._settings.error_ratio * typical

    def _has_capacity(self, target: Target, choice: int) -> bool:
        slots = target.record.slots
        depth = self._settings.first_depth if choice == 0 else self._settings.other_depth
        return target.load < slots + int(depth * slots)


def _without(targets: list[Target], tried: Collection[TargetName]) -> list[Target]:
    if not tried:
        return targets
    return [target for target in targets if target.name not in tried]
