from __future__ import annotations

from collections import defaultdict

import pytest
from hypothesis import given
from hypothesis import strategies as st
from planner_fixtures import CELLS
from planner_fixtures import DOMAINS
from planner_fixtures import INTERVAL_S
from planner_fixtures import LISTINGS
from planner_fixtures import REGIONS
from planner_fixtures import SHARE_LIMIT
from planner_fixtures import make_configuration

from siskinward.coordination.planner import Assignment
from siskinward.coordination.planner import Cell
from siskinward.coordination.planner import Move
from siskinward.coordination.planner import PlannerSettings
from siskinward.coordination.planner import ShiftPlanner
from siskinward.coordination.planner import ShiftsFrozen
from siskinward.coordination.planner import ShiftStep
from siskinward.state.objects import Drain
from siskinward.state.objects import DrainKind

SETTINGS = PlannerSettings(answer_ttl_s=10.0, publish_s=5.0, freeze_after_s=15.0)
STEP_S = 5.0
DEMAND_PER_S = 10.0
TOTAL_PER_S = DEMAND_PER_S * len(CELLS)
SETTLE_S = SETTINGS.answer_ttl_s + SETTINGS.publish_s


def make_planner(*, capacity_per_s: float = 400.0, **limits: float) -> ShiftPlanner:
    configuration = make_configuration(**limits)
    planner = ShiftPlanner(SETTINGS, LISTINGS, configuration, Assignment(LISTINGS, 0), 0.0)
    measure(planner, 0.0, capacity_per_s)
    assert isinstance(planner.step(0.0), ShiftStep)
    return planner


def measure(planner: ShiftPlanner, now_s: float, capacity_per_s: float = 400.0) -> None:
    planner.on_demand(dict.fromkeys(CELLS, DEMAND_PER_S), now_s)
    for domain in DOMAINS:
        planner.on_capacity(domain, capacity_per_s, now_s)


def drain(kind: DrainKind, subject: str) -> Drain:
    return Drain("drain", kind, subject)


def run_steps(planner: ShiftPlanner, count: int) -> list[tuple[float, Move]]:
    moves = []
    for number in range(1, count + 1):
        now_s = number * STEP_S
        measure(planner, now_s)
        result = planner.step(now_s)
        assert isinstance(result, ShiftStep)
        moves += [(now_s, move) for move in result.moves]
    return moves


def test_new_planner_leaves_cells_where_their_callers_are() -> None:
    planner = make_planner()
    assert all(route.domain in cell.site for cell, route in planner.assignment.routes.items())
    assert run_steps(planner, 5) == []


@pytest.mark.parametrize(
    ("kind", "subject"), [(DrainKind.FAILURE_DOMAIN, DOMAINS[0]), (DrainKind.REGION, REGIONS[1])]
)
def test_drain_finishes_after_the_last_cached_answer(kind: DrainKind, subject: str) -> None:
    planner = make_planner()
    planner.on_drains([drain(kind, subject)])
    now_s = 0.0
    while any(subject in route.domain for route in planner.assignment.routes.values()):
        now_s += STEP_S
        assert now_s < 600.0
        measure(planner, now_s)
        planner.step(now_s)
    before = planner.progress(now_s + SETTLE_S - 1.0)[0]
    assert not before.is_finished and before.finish_in_s == 1.0
    assert planner.progress(now_s + SETTLE_S)[0].is_finished


def test_drain_estimate_counts_the_cap() -> None:
    planner = make_planner()
    planner.on_drains([drain(DrainKind.FAILURE_DOMAIN, DOMAINS[0])])
    progress = planner.progress(0.0)[0]
    assert progress.remaining_per_s == TOTAL_PER_S / len(DOMAINS)
    # A sixth of the demand under a cap of a tenth: one more window after the first step.
    assert progress.finish_in_s == INTERVAL_S + 2 * SETTLE_S


@pytest.mark.parametrize("missing", ["demand", "capacity"])
def test_missing_measurements_freeze_a_drain(missing: str) -> None:
    planner = make_planner()
    planner.on_drains([drain(DrainKind.FAILURE_DOMAIN, DOMAINS[0])])
    now_s = SETTINGS.freeze_after_s + 1.0
    if missing == "demand":
        for domain in DOMAINS:
            planner.on_capacity(domain, 400.0, now_s)
    else:
        planner.on_demand(dict.fromkeys(CELLS, DEMAND_PER_S), now_s)
    before = planner.assignment
    assert isinstance(planner.step(now_s), ShiftsFrozen)
    assert planner.assignment == before


def test_successor_waits_for_a_window_before_its_first_move() -> None:
    assignment = make_planner().assignment
    planner = ShiftPlanner(SETTINGS, LISTINGS, make_configuration(), assignment, 0.0)
    planner.on_drains([drain(DrainKind.FAILURE_DOMAIN, DOMAINS[0])])
    moves = run_steps(planner, 12)
    assert moves[0][0] == INTERVAL_S + SETTLE_S


EVENTS = st.lists(
    st.tuples(
        st.sampled_from(["drain", "undrain", "demand", "capacity", "silence"]),
        st.integers(0, 5),
        st.floats(0.0, 3.0),
    ),
    max_size=25,
)


@given(EVENTS, st.floats(100.0, 300.0))
def test_steps_stay_under_cap_and_capacity(
    events: list[tuple[str, int, float]], region_capacity_per_s: float
) -> None:
    planner = make_planner(region_capacity_per_s=region_capacity_per_s)
    demands = dict.fromkeys(CELLS, DEMAND_PER_S)
    capacities = dict.fromkeys(DOMAINS, 400.0)
    charged: list[tuple[float, float, float]] = []
    silent_s = 0.0
    for number, (event, index, factor) in enumerate(events, start=1):
        now_s = number * STEP_S
        domain = DOMAINS[index]
        silent_s = silent_s + STEP_S if event == "silence" else 0.0
        if event == "drain":
            planner.on_drains([drain(DrainKind.FAILURE_DOMAIN, domain)])
        elif event == "undrain":
            planner.on_drains([])
        elif event == "demand":
            demands |= {cell: factor * DEMAND_PER_S for cell in CELLS if domain in cell.site}
        elif event == "capacity":
            capacities[domain] = factor * 200.0
        if event != "silence":
            planner.on_demand(demands, now_s)
            for name, capacity_per_s in capacities.items():
                planner.on_capacity(name, capacity_per_s, now_s)
        before = planner.assignment.routes
        result = planner.step(now_s)
        if silent_s > SETTINGS.freeze_after_s:
            assert isinstance(result, ShiftsFrozen) and planner.assignment.routes == before
            continue
        assert isinstance(result, ShiftStep)
        check_capacity(result, demands, capacities, region_capacity_per_s)
        moved = sum(move.demand_per_s for move in result.moves)
        charged.append((now_s, moved, SHARE_LIMIT * sum(demands.values())))
        if moved > 0:
            check_window(charged)


def check_window(charged: list[tuple[float, float, float]]) -> None:
    """Check the shift cap; answers are cached, so the window is longer than the interval."""
    now_s, _, limit = charged[-1]
    start_s = now_s - INTERVAL_S - SETTLE_S
    assert sum(moved for at_s, moved, _ in charged if at_s > start_s) <= limit * (1 + 1e-6)


def check_capacity(
    step: ShiftStep,
    demands: dict[Cell, float],
    capacities: dict[str, float],
    region_capacity_per_s: float,
) -> None:
    """Check that the destinations of a step are within their limits."""
    loads: dict[str, float] = defaultdict(float)
    for cell, route in step.assignment.routes.items():
        loads[route.domain] += demands[cell]
        loads[route.domain.rsplit("-", 1)[0]] += demands[cell]
    for move in step.moves:
        assert loads[move.to_domain] <= capacities[move.to_domain] * (1 + 1e-6)
        region = move.to_domain.rsplit("-", 1)[0]
        if region != move.from_domain.rsplit("-", 1)[0]:
            assert loads[region] <= region_capacity_per_s * (1 + 1e-6)
