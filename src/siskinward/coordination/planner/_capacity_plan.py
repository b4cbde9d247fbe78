"""Feed-forward plan: where each cell should go, with failover shares reserved."""

from __future__ import annotations

from collections.abc import Mapping
from collections.abc import Sequence
from typing import TYPE_CHECKING

from attrs import frozen

from siskinward.coordination.planner._loads import PlanLoads
from siskinward.coordination.planner.assignment import Cell
from siskinward.coordination.planner.assignment import CellRoute
from siskinward.coordination.planner.results import Shortfall
from siskinward.state.identifiers import DomainName
from siskinward.state.identifiers import RegionName

if TYPE_CHECKING:
    from collections.abc import Iterable


NOTHING_LOST = ""


@frozen
class PlanInput:
    """Demand of the cells, capacities, and for each cell the domains from best to worst.

    Cells are placed in the order of ``demands``.
    """

    demands: Mapping[Cell, float]
    preferences: Mapping[Cell, Sequence[DomainName]]
    capacities: Mapping[DomainName, float]
    region_capacities: Mapping[RegionName, float]
    regions: Mapping[DomainName, RegionName]


@frozen
class Plan:
    """Routes of the placed cells; cells that fit nowhere are left out and in the shortfalls."""

    routes: dict[Cell, CellRoute]
    shortfalls: tuple[Shortfall, ...]


def make_plan(given: PlanInput) -> Plan:
    """Place all cells first, then reserve their failover shares in what is left.

    Whether a loss can be absorbed depends on total demand and the survivors' capacity, not on
    where cells are, so that reserving afterwards gives up nothing but packing.
    """
    loads = PlanLoads(given.capacities, given.region_capacities, given.regions)
    domains = {cell: _place(cell, given, loads) for cell in given.demands}
    missing: dict[str, float] = {}
    routes = {}
    for cell, domain in domains.items():
        amount = given.demands[cell]
        if domain is None:
            _add(missing, NOTHING_LOST, amount)
            continue
        region = given.regions[domain]
        outside = [name for name in given.preferences[cell] if given.regions[name] != region]
        others = [name for name in given.preferences[cell] if name != domain]
        domain_backup = _reserve(domain, others, amount, loads, missing)
        region_backup = _reserve(region, outside, amount, loads, missing)
        routes[cell] = CellRoute(domain, domain_backup, region_backup)
    shortfalls = tuple(Shortfall(lost, amount) for lost, amount in sorted(missing.items()))
    return Plan(routes, shortfalls)


def _place(cell: Cell, given: PlanInput, loads: PlanLoads) -> DomainName | None:
    for domain in given.preferences[cell]:
        if loads.place(domain, given.demands[cell]):
            return domain
    return None


def _reserve(
    lost: str,
    domains: Iterable[DomainName],
    amount: float,
    loads: PlanLoads,
    missing: dict[str, float],
) -> DomainName | None:
    for domain in domains:
        if loads.reserve(lost, domain, amount):
            return domain
    _add(missing, lost, amount)
    return None


def _add(missing: dict[str, float], lost: str, amount: float) -> None:
    if amount > 0.0:
        missing[lost] = missing.get(lost, 0.0) + amount
