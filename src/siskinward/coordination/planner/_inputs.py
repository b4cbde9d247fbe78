"""Measured inputs of a planner and their age."""

from __future__ import annotations

from typing import TYPE_CHECKING

from siskinward.coordination.planner._capacity_plan import PlanInput
from siskinward.coordination.topology import domain_latencies_s
from siskinward.state.objects import DrainKind

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping
    from collections.abc import Sequence

    from siskinward.coordination.planner.assignment import Cell
    from siskinward.coordination.planner.assignment import CellRoute
    from siskinward.coordination.planner.settings import PlannerSettings
    from siskinward.state.identifiers import DomainName
    from siskinward.state.identifiers import RegionName
    from siskinward.state.identifiers import ServiceName
    from siskinward.state.objects import Configuration
    from siskinward.state.objects import Drain


class PlannerInputs:
    """Last measured demand of cells and capacity of failure domains for one service."""

    def __init__(
        self, settings: PlannerSettings, service: ServiceName, configuration: Configuration
    ) -> None:
        self._settings = settings
        self._service = service
        self.demands: dict[Cell, float] = {}
        self._demand_at_s: dict[Cell, float] = {}
        self._last_demand_s = float("-inf")
        self._capacities: dict[DomainName, float] = {}
        self._capacity_at_s: dict[DomainName, float] = {}
        self._drains: tuple[Drain, ...] = ()
        self.set_configuration(configuration)

    def set_configuration(self, configuration: Configuration) -> None:
        """Apply a new configuration."""
        self._configuration = configuration
        self.regions: dict[DomainName, RegionName] = {
            name: domain.region for name, domain in configuration.failure_domains.items()
        }
        self.region_capacities: dict[RegionName, float] = {
            limit.region: limit.capacity_per_s
            for limit in configuration.region_limits.values()
            if limit.service == self._service
        }
        self._latencies_s = {name: domain_latencies_s(configuration, name) for name in self.regions}
        self._orders_by_bucket: dict[tuple[DomainName, int], Sequence[DomainName]] = {}

    def set_drains(self, drains: Iterable[Drain]) -> None:
        """Set the drains that have started."""
        self._drains = tuple(drains)

    def on_demand(self, demands: Mapping[Cell, float], now_s: float) -> None:
        """Record measured demand; omitted cells keep their last value."""
        self.demands.update(demands)
        self._demand_at_s.update(dict.fromkeys(demands, now_s))
        self._last_demand_s = now_s

    def on_capacity(self, domain: DomainName, capacity_per_s: float, now_s: float) -> None:
        """Record the request rate that the targets of a failure domain can serve."""
        self._capacities[domain] = capacity_per_s
        self._capacity_at_s[domain] = now_s

    def is_demand_fresh(self, now_s: float) -> bool:
        """Return whether the demand of any cell was measured within ``freeze_after_s``."""
        return now_s - self._last_demand_s <= self._settings.freeze_after_s

    def is_cell_fresh(self, cell: Cell, now_s: float) -> bool:
        """Return whether the demand of ``cell`` was measured within ``freeze_after_s``."""
        return now_s - self._demand_at_s[cell] <= self._settings.freeze_after_s

    def is_capacity_fresh(self, domain: DomainName, now_s: float) -> bool:
        """Return whether the capacity of ``domain`` was measured within ``freeze_after_s``."""
        measured_s = self._capacity_at_s.get(domain, float("-inf"))
        return now_s - measured_s <= self._settings.freeze_after_s

    def drained_domains(self, drain: Drain) -> frozenset[DomainName]:
        """Return the failure domains that a drain covers entirely."""
        return frozenset(
            name
            for name, region in self.regions.items()
            if (drain.kind is DrainKind.FAILURE_DOMAIN and drain.subject == name)
            or (drain.kind is DrainKind.REGION and drain.subject == region)
        )

    @property
    def drains(self) -> tuple[Drain, ...]:
        """The drains that have started."""
        return self._drains

    def capacities(self) -> dict[DomainName, float]:
        """Return the capacity of each domain, excluding drained domains and targets."""
        closed = frozenset[str]().union(*map(self.drained_domains, self._drains))
        return {
            name: capacity * self._undrained_share(name)
            for name, capacity in self._capacities.items()
            if name not in closed and name in self.regions
        }

    def current_domains(self, routes: Mapping[Cell, CellRoute]) -> dict[Cell, DomainName]:
        """Return the domain of each measured cell; without a route, that of the cell's site."""
        found: dict[Cell, DomainName] = {}
        for cell in self.demands:
            home = self.home_of(cell)
            if home is not None:
                found[cell] = routes[cell].domain if cell in routes else home
        return found

    def home_of(self, cell: Cell) -> DomainName | None:
        """Return the failure domain of the cell's site, if the site is configured."""
        site = self._configuration.sites.get(cell.site)
        return None if site is None else site.failure_domain

    def plan_input(self, placed: Mapping[Cell, DomainName]) -> PlanInput:
        """Return the input of a plan.

        Cells prefer their ``placed`` domain unless another one is nearer by ``stickiness_s``. Cells
        that prefer to stay there are placed first, then the others, each group by falling demand.
        """
        preferences = {cell: self._preference(cell, current) for cell, current in placed.items()}

        def rank(cell: Cell) -> tuple[bool, float, Cell]:
            return preferences[cell][0] != placed[cell], -self.demands[cell], cell

        return PlanInput(
            demands={cell: self.demands[cell] for cell in sorted(placed, key=rank)},
            preferences=preferences,
            capacities=self.capacities(),
            region_capacities=self.region_capacities,
            regions=self.regions,
        )

    def _preference(self, cell: Cell, current: DomainName) -> Sequence[DomainName]:
        home = self.home_of(cell)
        assert home is not None
        order = self._domains_by_latency(home, cell.bucket)
        if current == order[0] or current not in order:
            return order
        latencies_s = self._latencies_s[home]
        stay_s = latencies_s[current] - self._settings.stickiness_s
        nearer = [name for name in order if latencies_s[name] < stay_s and name != current]
        rest = [name for name in order if latencies_s[name] >= stay_s and name != current]
        return [*nearer, current, *rest]

    def _domains_by_latency(self, home: DomainName, bucket: int) -> Sequence[DomainName]:
        """Return domains by latency; the bucket decides the order of those with equal latency."""
        known = self._orders_by_bucket.get((home, bucket))
        if known is not None:
            return known
        latencies_s = self._latencies_s[home]
        names = sorted(latencies_s)
        start = bucket % len(names)
        rotated = names[start:] + names[:start]
        order = tuple(sorted(rotated, key=lambda name: latencies_s[name]))
        self._orders_by_bucket[(home, bucket)] = order
        return order

    def _undrained_share(self, domain: DomainName) -> float:
        """Return the share of the service's slots in a domain that is not at drained targets."""
        groups = self._configuration.target_groups
        drained = {d.subject for d in self._drains if d.kind is DrainKind.TARGET}
        slots = kept = 0
        for target in self._configuration.targets.values():
            group = groups[target.group]
            if group.service != self._service or group.failure_domain != domain:
                continue
            slots += target.slots
            kept += 0 if target.name in drained else target.slots
        return kept / slots if slots else 1.0
