"""Orders the targets of a service for an object, equally at all VMs of a region.

Handles skewed object popularity: requests for one object meet at the same target, where it is warm.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from siskinward.coordination.steering.hashing import rendezvous_score
from siskinward.coordination.steering.locality import region_weights

if TYPE_CHECKING:
    from random import Random

    from siskinward.coordination.steering.targets import Target
    from siskinward.coordination.steering.targets import TargetTable
    from siskinward.state.identifiers import RegionName
    from siskinward.state.identifiers import ServiceName


class TargetRanking:
    """Ranks targets by weighted rendezvous hashing, or by load for requests without an object."""

    def __init__(
        self,
        region: RegionName,
        regions: frozenset[RegionName],
        targets: TargetTable,
        random: Random,
    ) -> None:
        self._region = region
        self._regions = regions
        self._targets = targets
        self._random = random
        self._weights: dict[ServiceName, dict[RegionName, float]] = {}
        self._weights_revision = -1

    def rank(
        self, service: ServiceName, object_name: str, candidates: list[Target]
    ) -> list[Target]:
        """Return the candidates, the preferred one first; an empty name stands for no object."""
        if not object_name:
            shuffled = self._random.sample(candidates, len(candidates))
            return sorted(shuffled, key=lambda target: target.load / target.record.slots)
        weights = self._region_weights(service)
        return sorted(
            candidates,
            key=lambda target: rendezvous_score(object_name, target.name)
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
