from __future__ import annotations

from collections import defaultdict

import pytest
from hypothesis import given
from hypothesis import strategies as st
from planner_fixtures import CELLS
from planner_fixtures import DOMAINS
from planner_fixtures import REGIONS

from siskinward.coordination.planner import Cell
from siskinward.coordination.planner import Plan
from siskinward.coordination.planner import PlanInput
from siskinward.coordination.planner import make_plan
from siskinward.state.identifiers import RegionName

REGION_OF = {name: RegionName(name.rsplit("-", 1)[0]) for name in DOMAINS}


def make_input(
    demands: dict[Cell, float], domain_capacity: float, region_capacity: float
) -> PlanInput:
    homes = {cell: cell.site.removeprefix("site-") for cell in demands}
    return PlanInput(
        demands=demands,
        preferences={
            cell: sorted(
                DOMAINS, key=lambda name: (name != home, REGION_OF[name] not in home, name)
            )
            for cell, home in homes.items()
        },
        capacities=dict.fromkeys(DOMAINS, domain_capacity),
        region_capacities=dict.fromkeys(REGIONS, region_capacity),
        regions=REGION_OF,
    )


def loads_after(plan: Plan, given_input: PlanInput, lost: str) -> dict[str, float]:
    loads: dict[str, float] = defaultdict(float)
    for cell, route in plan.routes.items():
        domain = route.domain
        if lost == domain:
            domain = route.domain_backup
        elif lost == REGION_OF[domain]:
            domain = route.region_backup
        if domain is not None:
            loads[domain] += given_input.demands[cell]
            loads[REGION_OF[domain]] += given_input.demands[cell]
    return loads


def over_limit(loads: dict[str, float], given_input: PlanInput) -> dict[str, float]:
    limits: dict[str, float] = {**given_input.capacities, **given_input.region_capacities}
    return {
        name: load - limits[name]
        for name, load in loads.items()
        if load > limits[name] * (1 + 1e-6)
    }


@given(
    st.dictionaries(st.sampled_from(CELLS), st.floats(0.0, 40.0), min_size=1),
    st.floats(20.0, 200.0),
    st.floats(30.0, 300.0),
)
def test_no_single_loss_overloads_unless_reported(
    demands: dict[Cell, float], domain_capacity: float, region_capacity: float
) -> None:
    given_input = make_input(demands, domain_capacity, region_capacity)
    plan = make_plan(given_input)
    reported = {item.lost: item.by_per_s for item in plan.shortfalls}
    for lost in ("", *DOMAINS, *REGIONS):
        loads = loads_after(plan, given_input, lost)
        assert over_limit(loads, given_input) == {}
        carried = sum(loads[domain] for domain in DOMAINS)
        unplaced = reported.get("", 0.0)
        short = unplaced if lost == "" else unplaced + reported.get(lost, 0.0)
        assert carried + short == pytest.approx(sum(demands.values()), abs=1e-6)


@given(st.integers(1, 12), st.integers(1, 12))
def test_whole_cells_are_short_only_where_capacity_is(in_domain: int, in_region: int) -> None:
    plan = make_plan(make_input(dict.fromkeys(CELLS, 1.0), in_domain, in_region))
    per_region = min(2 * in_domain, in_region)
    placed = min(len(CELLS), 3 * per_region)
    assert len(plan.routes) == placed
    lost_in_region = max(
        sum(REGION_OF[route.domain] == region for route in plan.routes.values())
        for region in REGIONS
    )
    short = {item.lost: item.by_per_s for item in plan.shortfalls}
    spare = 2 * per_region - (placed - lost_in_region)
    assert max(short.get(region, 0.0) for region in REGIONS) == max(0, lost_in_region - spare)


def test_half_load_leaves_room_for_any_loss() -> None:
    plan = make_plan(make_input(dict.fromkeys(CELLS, 1.0), 16.0, 32.0))
    assert plan.shortfalls == ()
    assert all(route.domain in cell.site for cell, route in plan.routes.items())
    assert all(route.region_backup for route in plan.routes.values())


def test_full_load_reports_what_a_loss_would_push() -> None:
    plan = make_plan(make_input(dict.fromkeys(CELLS, 2.0), 16.0, 32.0))
    lost = {item.lost for item in plan.shortfalls}
    assert lost == {*DOMAINS, *REGIONS}
    assert len(plan.routes) == len(CELLS)
