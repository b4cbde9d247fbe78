"""Chooses the target of a request.

Answers skewed objects at high load: requests for one object go to the same target from every VM,
where the object is warm. When that target is full by all VMs' counts, the next in the object's own
order takes over, so that few targets warm up for one object.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import frozen

from siskinward.coordination.steering.hashing import rendezvous_score
from siskinward.coordination.steering.targets import Target
from siskinward.state.identifiers import RegionName
from siskinward.state.identifiers import ServiceName
from siskinward.state.identifiers import TargetName

if TYPE_CHECKING:
    from collections.abc import Collection
    from random import Random

    from siskinward.coordination.steering.targets import TargetTable
    from siskinward.coordination.steering.warmup import WarmupGate


@frozen
class PlacementSettings:
    """How full targets may get.

    ``first_depth`` and ``other_depth`` are requests beyond the slots, as a share of the slots: a
    short wait where the object is warm costs less than a cold run elsewhere.
    """

    first_depth: float = 1.0
    other_depth: float = 0.34
    error_limit: float = 0.5


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
class NoRoom:
    """Targets exist, and all are full."""


@frozen
class NoTarget:
    """No usable target exists."""


class Placement:
    """Ranks targets for objects and finds the first with room."""

    def __init__(
        self,
        settings: PlacementSettings,
        targets: TargetTable,
        gate: WarmupGate,
        random: Random,
    ) -> None:
        self._settings = settings
        self._targets = targets
        self._gate = gate
        self._random = random
        self.warmup_rates_per_s: dict[ServiceName, float] = {}

    def choose(self, request: PlacementRequest, now_s: float) -> Placed | NoRoom | NoTarget:
        """Choose a target with room."""
        candidates = self._candidates(request, now_s)
        if not candidates:
            return NoTarget()
        for choice, target in enumerate(self._ordered(request, candidates)):
            if self._has_room(target, choice, now_s):
                return Placed(target, choice)
        return NoRoom()

    def note_sent(self, target: Target, now_s: float) -> None:
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
        return sorted(
            candidates, key=lambda target: rendezvous_score(key, target.name), reverse=True
        )

    def _has_room(self, target: Target, choice: int, now_s: float) -> bool:
        slots = target.record.slots
        if target.is_cold(now_s):
            rate_per_s = self.warmup_rates_per_s.get(target.record.service, 0.0)
            return target.load < slots and self._gate.may_send(target, rate_per_s, now_s)
        if target.error_share > self._settings.error_limit:
            return target.in_flight == 0
        depth = self._settings.first_depth if choice == 0 else self._settings.other_depth
        return target.load < slots + depth * slots


def _without(targets: list[Target], tried: Collection[TargetName]) -> list[Target]:
    if not tried:
        return targets
    return [target for target in targets if target.name not in tried]
