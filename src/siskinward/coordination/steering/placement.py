"""Chooses the target of a request.

Handles skewed object popularity at loads that cold targets could not carry: every VM sends the
requests for one object to the same target, where the object is warm. When that target is full by
the counts of all VMs, the next one in the object's ranking is used. Only a few targets serve one
object.
"""

from __future__ import annotations

from statistics import median
from typing import TYPE_CHECKING

from attrs import evolve
from attrs import frozen

from siskinward.coordination.steering.ranking import TargetRanking
from siskinward.coordination.steering.targets import Target
from siskinward.state.identifiers import RegionName
from siskinward.state.identifiers import ServiceName
from siskinward.state.identifiers import TargetName

if TYPE_CHECKING:
    from random import Random

    from siskinward.coordination.steering.limit_pauses import LimitPauses
    from siskinward.coordination.steering.slow_targets import SlowTargets
    from siskinward.coordination.steering.targets import TargetTable
    from siskinward.coordination.steering.warm_targets import WarmTargets
    from siskinward.coordination.steering.warmup import WarmupLimiter


@frozen
class PlacementSettings:
    """How far requests for one object spread.

    Only the first ``choices`` targets in an object's ranking serve it: on further targets, a cold
    run costs more than it gains. ``first_overcommit`` and ``other_overcommit`` allow requests
    beyond the slots of the first and the other targets, as a share of their slots. Before requests
    queue at the first target, ``spills_to_warm`` sends them to a free one that has the object warm
    from an earlier spill. A target whose
    error share exceeds ``error_limit``, and ``error_ratio`` times the median of all candidates,
    gets one request at a time.
    """

    choices: int = 2
    first_overcommit: float = 0.67
    spills_to_warm: bool = True
    other_overcommit: float = 0.0
    error_limit: float = 0.4
    error_ratio: float = 2.0


@frozen
class PlacementRequest:
    """A request to be placed.

    ``object_key`` is empty if the request concerns no object, so that all targets rank alike. Empty
    ``home_regions`` allow all regions. ``tried`` targets are not chosen again, and targets that
    state a rate limit only while ``allows_limited``.
    """

    service: ServiceName
    object_key: str
    home_regions: frozenset[RegionName]
    tried: frozenset[TargetName] = frozenset()
    allows_limited: bool = True

    @property
    def object_name(self) -> str:
        """Name of the object among those of all services; empty if there is none."""
        return f"{self.service}/{self.object_key}" if self.object_key else ""


@frozen
class Placed:
    """The chosen target; ``choice`` counts the full targets that rank before it.

    ``is_warm`` states whether the object ran there lately.
    """

    target: Target
    choice: int
    is_warm: bool = False


@frozen
class NoCapacity:
    """Usable targets exist, but none can take the request now."""


@frozen
class LimitsUsedUp:
    """Usable targets exist, but the rate limits that they state are used up."""

    targets: tuple[Target, ...]


@frozen
class NoTarget:
    """No usable target exists."""


@frozen
class TargetsLeaving:
    """All targets that could be used say that they leave; waiting for one of them is no use."""


@frozen
class TargetsResting:
    """All targets that could be used want nothing for a while, the first for ``for_s``."""

    for_s: float


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
        warm: WarmTargets,
        slow: SlowTargets,
        limit_pauses: LimitPauses,
        random: Random,
    ) -> None:
        self._settings = settings
        self._ranking = TargetRanking(region, regions, targets, random)
        self._targets = targets
        self._warmup_limiter = warmup_limiter
        self._warm = warm
        self._slow = slow
        self._limit_pauses = limit_pauses
        self.warmup_rates_per_s: dict[ServiceName, float] = {}

    def choose(
        self, request: PlacementRequest, now_s: float
    ) -> Placed | NoCapacity | LimitsUsedUp | NoTarget | TargetsLeaving | TargetsResting:
        """Choose a target with capacity.

        Targets that may be leaving are chosen only for what no other can take.
        """
        candidates = self._candidates(request, now_s)
        if not candidates:
            return self._explain_no_candidate(request, now_s)
        staying = [target for target in candidates if not target.is_leaving_doubted]
        if staying and len(staying) < len(candidates):
            choice = self._choose_within_limits(request, staying, now_s)
            if isinstance(choice, Placed):
                return choice
        return self._choose_within_limits(request, candidates, now_s)

    def _explain_no_candidate(
        self, request: PlacementRequest, now_s: float
    ) -> NoTarget | TargetsLeaving | TargetsResting:
        eligible = self._eligible(request)
        if self._targets.are_leaving(eligible):
            return TargetsLeaving()
        end_s = self._targets.first_rest_end_s(eligible, now_s)
        return NoTarget() if end_s is None else TargetsResting(end_s - now_s)

    def _choose_within_limits(
        self, request: PlacementRequest, candidates: list[Target], now_s: float
    ) -> Placed | NoCapacity | LimitsUsedUp:
        unpaused = self._within_limits(request, candidates, now_s)
        if not unpaused:
            return LimitsUsedUp(tuple(candidates))
        return self._choose_among(request, self._slow.without_avoided(unpaused, now_s), now_s)

    def _within_limits(
        self, request: PlacementRequest, candidates: list[Target], now_s: float
    ) -> list[Target]:
        if request.allows_limited:
            return self._limit_pauses.without_paused(candidates, now_s)
        return self._limit_pauses.without_limited(candidates)

    def _choose_among(
        self, request: PlacementRequest, candidates: list[Target], now_s: float
    ) -> Placed | NoCapacity:
        ranked = self._ranking.rank(request.service, request.object_name, candidates)
        warm_seen = 0
        for target in ranked:
            if target.is_cold(now_s):
                if self._accepts_cold_request(target, now_s):
                    return Placed(target, warm_seen)
                continue
            if target.is_returning or self._is_error_outlier(target, candidates):
                if target.in_flight == 0:
                    return Placed(target, warm_seen)
                continue
            if warm_seen == 0 and target.load >= target.record.slots:
                warm = self._find_warm(request, ranked, target, now_s)
                if warm is not None:
                    return Placed(warm, 1)
            if self._has_capacity(target, warm_seen):
                return Placed(target, warm_seen)
            warm_seen += 1
            if request.object_key and warm_seen >= self._settings.choices:
                break
        return NoCapacity()

    def _is_warm(self, request: PlacementRequest, target: Target, now_s: float) -> bool:
        if target.is_cold(now_s):
            return False
        return self._warm.is_warm(
            request.object_name, target.name, now_s, since_s=target.cold_since_s
        )

    def _find_warm(
        self, request: PlacementRequest, ranked: list[Target], full: Target, now_s: float
    ) -> Target | None:
        """Find a target with a free slot that has the object warm, besides the ``full`` one."""
        if not request.object_key or not self._settings.spills_to_warm:
            return None
        for target in ranked:
            is_free = target is not full and target.load < target.record.slots
            if target.is_returning and target.in_flight:
                continue
            if is_free and self._is_warm(request, target, now_s):
                return target
        return None

    def considered(self, request: PlacementRequest, now_s: float) -> list[ConsideredTarget]:
        """Return the targets that rank first for a request, to log when none has capacity."""
        candidates = self._candidates(request, now_s)
        ordered = self._ranking.rank(request.service, request.object_name, candidates)
        return [
            ConsideredTarget(item.name, item.load, item.record.slots, self._state_name(item, now_s))
            for item in ordered[: self._settings.choices]
        ]

    def _state_name(self, target: Target, now_s: float) -> str:
        if self._limit_pauses.is_paused(target.name, now_s):
            return "limited"
        return target.state_name(now_s)

    def free_slots(self, service: ServiceName, now_s: float) -> int:
        """Return the free slots at the usable targets of a service."""
        usable = self._targets.usable(service, now_s)
        return sum(max(0, target.record.slots - target.load) for target in usable)

    def reserve(self, placed: Placed, now_s: float) -> None:
        """Take a slot of a target, which is released whether or not the request is sent."""
        placed.target.in_flight += 1
        if placed.target.is_cold(now_s):
            self._warmup_limiter.record_sent(placed.target)

    def record_run(self, request: PlacementRequest, placed: Placed, now_s: float) -> Placed:
        """Record what runs at a target; return the placement with ``is_warm`` set."""
        target = placed.target
        is_warm = self._is_warm(request, target, now_s)
        if request.object_key:
            self._warm.record_run(request.object_name, target.name, now_s)
        return evolve(placed, is_warm=is_warm)

    def _candidates(self, request: PlacementRequest, now_s: float) -> list[Target]:
        usable = self._targets.usable(request.service, now_s)
        return _restrict(usable, request)

    def _eligible(self, request: PlacementRequest) -> list[Target]:
        """Return the targets that the request may be sent to, whatever their state."""
        return _restrict(list(self._targets.of_service(request.service)), request)

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


def _restrict(targets: list[Target], request: PlacementRequest) -> list[Target]:
    """Leave out the targets outside a request's home regions, and those that it was sent to."""
    if request.home_regions:
        targets = [target for target in targets if target.region in request.home_regions]
    if request.tried:
        targets = [target for target in targets if target.name not in request.tried]
    return targets
