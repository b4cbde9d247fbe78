"""Capacity plan: the failure domain of each cell, with failover capacity reserved."""

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
    """Demand of the cells, capacities, and the domains for each cell in order of preference.

    Cells are placed in the order of ``demands``.
    """

    demands: Mapping[Cell, float]
    preferences: Mapping[Cell, Sequence[DomainName]]
    capacities: Mapping[DomainName, float]
    region_capacities: Mapping[RegionName, float]
    regions: Mapping[DomainName, RegionName]


@frozen
class Plan:
    """Routes of the placed cells; cells that fit nowhere are counted in the shortfalls instead."""

    routes: dict[Cell, CellRoute]
    shortfalls: tuple[Shortfall, ...]


def make_plan(plan_input: PlanInput) -> Plan:
    """Place all cells first, then reserve their failover shares in the remaining capacity.

    Whether a loss can be absorbed depends on the total demand and the capacity of the remaining
    domains, not on where cells are placed. Reserving afterwards costs only packing efficiency.
    """
    loads = PlanLoads(plan_input.capacities, plan_input.region_capacities, plan_input.regions)
    domains = {cell: _place(cell, plan_input, loads) for cell in plan_input.demands}
    missing: dict[str, float] = {}
    routes = {}
    for cell, domain in domains.items():
        amount = plan_input.demands[cell]
        if domain is None:
            _add_shortfall(missing, NOTHING_LOST, amount)
            continue
        region = plan_input.regions[domain]
        outside = [
            name for name in plan_input.preferences[cell] if plan_input.regions[name] != region
        ]
        others = [name for name in plan_input.preferences[cell] if name != domain]
        domain_backup = _reserve(domain, others, amount, loads, missing)
        region_backup = _reserve(region, outside, amount, loads, missing)
        routes[cell] = CellRoute(domain, domain_backup, region_backup)
    shortfalls = tuple(Shortfall(lost, amount) for lost, amount in sorted(missing.items()))
    return Plan(routes, shortfalls)


def _place(cell: Cell, plan_input: PlanInput, loads: PlanLoads) -> DomainName | None:
    for domain in plan_input.preferences[cell]:
        if loads.place(domain, plan_input.demands[cell]):
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
    _add_shortfall(missing, lost, amount)
    return None


def _add_shortfall(missing: dict[str, float], lost: str, amount: float) -> None:
    if amount > 0.0:
        missing[lost] = missing.get(lost, 0.0) + amount
