"""Demand assigned to and reserved at the failure domains and regions of a plan."""

from __future__ import annotations

from collections import defaultdict
from math import inf
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

    from siskinward.state.identifiers import DomainName
    from siskinward.state.identifiers import RegionName

TOLERANCE = 1e-9


class PlanLoads:
    """Loads, and the failover capacity reserved for the loss of each single domain or region.

    A loss is identified by the name of the lost failure domain or region. Reservations for
    different losses share the same headroom, because only one loss at a time is planned for.
    """

    def __init__(
        self,
        capacities: Mapping[DomainName, float],
        region_capacities: Mapping[RegionName, float],
        regions: Mapping[DomainName, RegionName],
    ) -> None:
        self._regions: dict[str, str] = dict(regions.items())
        self._limits: dict[str, float] = {name: capacities.get(name, 0.0) for name in regions}
        self._limits |= {name: region_capacities.get(name, inf) for name in regions.values()}
        self._loads: dict[str, float] = defaultdict(float)
        self._reserves: dict[str, dict[str, float]] = defaultdict(lambda: defaultdict(float))

    def place(self, domain: DomainName, amount: float) -> bool:
        """Assign demand to a domain; ``False`` if the domain or its region has no room."""
        places = (domain, self._regions[domain])
        if not all(self._has_room(place, self._loads[place], amount) for place in places):
            return False
        for place in places:
            self._loads[place] += amount
        return True

    def reserve(self, lost: str, domain: DomainName, amount: float) -> bool:
        """Reserve capacity at ``domain`` for the loss of ``lost``; ``False`` without room."""
        places = (domain, self._regions[domain])
        if not all(
            self._has_room(place, self._load_after(lost, place), amount) for place in places
        ):
            return False
        for place in places:
            self._reserves[lost][place] += amount
        return True

    def _load_after(self, lost: str, place: str) -> float:
        load = self._loads[place] + self._reserves[lost][place]
        if self._regions.get(lost) == place:
            load -= self._loads[lost]
        return load

    def _has_room(self, place: str, load: float, amount: float) -> bool:
        return load + amount <= self._limits[place] * (1.0 + TOLERANCE)
