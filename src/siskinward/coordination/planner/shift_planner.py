"""Moves the demand of one service between failure domains in steps, under its shift cap."""

from __future__ import annotations

from collections import defaultdict
from math import ceil
from math import inf
from typing import TYPE_CHECKING

from attrs import frozen

from siskinward.coordination.planner._capacity_plan import make_plan
from siskinward.coordination.planner._inputs import PlannerInputs
from siskinward.coordination.planner.assignment import Assignment
from siskinward.coordination.planner.assignment import CellRoute
from siskinward.coordination.planner.results import DrainProgress
from siskinward.coordination.planner.results import FreezeReason
from siskinward.coordination.planner.results import Move
from siskinward.coordination.planner.results import ShiftsFrozen
from siskinward.coordination.planner.results import ShiftStep
from siskinward.coordination.planner.shift_ledger import ShiftLedger

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping

    from siskinward.coordination.planner._capacity_plan import Plan
    from siskinward.coordination.planner.assignment import Cell
    from siskinward.coordination.planner.results import StepResult
    from siskinward.coordination.planner.settings import PlannerSettings
    from siskinward.state.identifiers import DomainName
    from siskinward.state.identifiers import ServiceName
    from siskinward.state.objects import Configuration
    from siskinward.state.objects import Drain


@frozen
class _SettlingMove:
    """A move whose demand may reach the old domain through cached answers until ``until_s``."""

    move: Move
    until_s: float


class ShiftPlanner:
    """Plans the domain of each cell and moves cells there in steps.

    The plan is feed-forward: it follows from measured demand and capacity. A move is charged to
    the shift cap for its interval plus the time that publication and cached answers take, so that
    the traffic that actually moves stays under the cap. A moving cell counts at both of its
    domains until the cached answers have expired. A new planner does not know the moves of its
    predecessor: if routes exist already, it waits for a whole window before its first move.
    """

    def __init__(
        self,
        settings: PlannerSettings,
        service: ServiceName,
        configuration: Configuration,
        assignment: Assignment,
        now_s: float,
    ) -> None:
        self._settings = settings
        self._service = service
        self._inputs = PlannerInputs(settings, service, configuration)
        self._assignment = assignment
        self._settling_moves: list[_SettlingMove] = []
        self._wanted: list[Move] = []
        self._inflows: dict[DomainName, ShiftLedger] = {}
        self._set_cap(configuration)
        self._ledger = ShiftLedger(window_s=self._window_s)
        if assignment.routes:
            self._ledger.block_for_window(now_s)

    @property
    def assignment(self) -> Assignment:
        """The latest assignment."""
        return self._assignment

    def on_configuration(self, configuration: Configuration) -> None:
        """Apply a new configuration; the window never shrinks, which would drop charges early."""
        self._inputs.set_configuration(configuration)
        self._set_cap(configuration)
        self._ledger.window_s = max(self._ledger.window_s, self._window_s)

    def on_drains(self, drains: Iterable[Drain]) -> None:
        """Set the drains that have started."""
        self._inputs.set_drains(drains)

    def on_demand(self, demands: Mapping[Cell, float], now_s: float) -> None:
        """Record the measured demand of cells."""
        self._inputs.on_demand(demands, now_s)

    def on_capacity(self, domain: DomainName, capacity_per_s: float, now_s: float) -> None:
        """Record the measured capacity of a failure domain."""
        self._inputs.on_capacity(domain, capacity_per_s, now_s)

    def step(self, now_s: float) -> StepResult:
        """Recompute the plan and start as many moves as the limits allow now."""
        frozen_result = self._freeze_result(now_s)
        if frozen_result is not None:
            return frozen_result
        self._settling_moves = [
            settling for settling in self._settling_moves if settling.until_s > now_s
        ]
        placed = self._inputs.current_domains(self._assignment.routes)
        self._add_home_routes(placed)
        plan = make_plan(self._inputs.plan_input(placed))
        wanted = self._wanted = self._wanted_moves(plan, placed)
        moves = self._start_moves(wanted, now_s)
        self._assignment = self._next_assignment(plan, moves)
        return ShiftStep(self._assignment, moves, len(wanted) - len(moves), plan.shortfalls)

    def progress(self, now_s: float) -> tuple[DrainProgress, ...]:
        """Return the progress of the drains of failure domains and regions."""
        return tuple(
            self._drain_progress(drain, domains, now_s)
            for drain in self._inputs.drains
            if (domains := self._inputs.drained_domains(drain))
        )

    @property
    def _settle_s(self) -> float:
        """How long after its publication a move may still take effect."""
        return self._settings.answer_ttl_s + self._settings.publish_s

    @property
    def _window_s(self) -> float:
        return self._interval_s + self._settle_s

    @property
    def _cap_per_s(self) -> float:
        return self._share_limit * sum(self._inputs.demands.values())

    def _set_cap(self, configuration: Configuration) -> None:
        self._share_limit = self._settings.default_share_limit
        self._interval_s = self._settings.default_interval_s
        for cap in configuration.shift_caps.values():
            if cap.service == self._service:
                self._share_limit = cap.share_limit
                self._interval_s = cap.interval_s

    def _freeze_result(self, now_s: float) -> ShiftsFrozen | None:
        if not self._inputs.is_demand_fresh(now_s):
            return ShiftsFrozen(FreezeReason.DEMAND_MISSING)
        stale = tuple(
            name for name in self._inputs.regions if not self._has_fresh_capacity(name, now_s)
        )
        if len(stale) == len(self._inputs.regions):
            return ShiftsFrozen(FreezeReason.CAPACITY_MISSING, stale)
        return None

    def _has_fresh_capacity(self, domain: DomainName, now_s: float) -> bool:
        return self._inputs.is_capacity_fresh(domain, now_s)

    def _wanted_moves(self, plan: Plan, placed: Mapping[Cell, DomainName]) -> list[Move]:
        """Return the moves that the plan requires: drained domains first, then the largest."""
        open_domains = self._inputs.capacities()
        wanted = [
            Move(cell, placed[cell], route.domain, self._inputs.demands[cell])
            for cell, route in plan.routes.items()
            if placed[cell] != route.domain
        ]
        wanted.sort(key=lambda move: (move.from_domain in open_domains, -move.demand_per_s))
        return wanted

    def _start_moves(self, wanted: list[Move], now_s: float) -> tuple[Move, ...]:
        committed = self._committed_demand()
        started = []
        for move in wanted:
            if not self._try_charge(move, committed, now_s):
                continue
            committed[move.to_domain] += move.demand_per_s
            if self._region_of(move.from_domain) != self._region_of(move.to_domain):
                committed[self._region_of(move.to_domain)] += move.demand_per_s
            self._settling_moves.append(_SettlingMove(move, now_s + self._settle_s))
            started.append(move)
        return tuple(started)

    def _try_charge(self, move: Move, committed: Mapping[str, float], now_s: float) -> bool:
        """Charge a move to the shift cap and to the inflow limit of its destination.

        Return ``False`` if a measurement is stale, or a capacity, cap or limit would be exceeded.
        """
        amount = move.demand_per_s
        if not self._has_fresh_capacity(move.to_domain, now_s):
            return False
        if not self._has_fresh_capacity(move.from_domain, now_s):
            return False
        if not self._inputs.is_cell_fresh(move.cell, now_s):
            return False
        capacity = self._inputs.capacities().get(move.to_domain, 0.0)
        region = self._inputs.regions[move.to_domain]
        region_capacity = self._inputs.region_capacities.get(region, float("inf"))
        if committed[move.to_domain] + amount > capacity:
            return False
        is_same_region = region == self._region_of(move.from_domain)
        if not is_same_region and committed[region] + amount > region_capacity:
            return False
        inflow = self._inflow(move.to_domain)
        inflow_limit = capacity * self._settings.cold_inflow_share
        if inflow.available(inflow_limit, now_s) < amount:
            return False
        if not self._ledger.charge(amount, limit=self._cap_per_s, now_s=now_s):
            return False
        return inflow.charge(amount, limit=inflow_limit, now_s=now_s)

    def _inflow(self, domain: DomainName) -> ShiftLedger:
        window_s = self._settings.cold_interval_s
        return self._inflows.setdefault(domain, ShiftLedger(window_s=window_s))

    def _committed_demand(self) -> defaultdict[str, float]:
        """Return the demand of each domain and region, with what cached answers may still send."""
        committed: defaultdict[str, float] = defaultdict(float)
        for cell, route in self._assignment.routes.items():
            amount = self._inputs.demands.get(cell, 0.0)
            committed[route.domain] += amount
            committed[self._region_of(route.domain)] += amount
        for settling in self._settling_moves:
            move = settling.move
            committed[move.from_domain] += move.demand_per_s
            if self._region_of(move.from_domain) != self._region_of(move.to_domain):
                committed[self._region_of(move.from_domain)] += move.demand_per_s
        return committed

    def _region_of(self, domain: DomainName) -> str:
        return self._inputs.regions.get(domain, "")

    def _add_home_routes(self, placed: Mapping[Cell, DomainName]) -> None:
        """Route cells without a route to the domain of their site, which callers use already."""
        routes = self._assignment.routes
        new = {cell: CellRoute(home) for cell, home in placed.items() if cell not in routes}
        if new:
            version = self._assignment.version + 1
            self._assignment = Assignment(self._service, version, routes | new)

    def _next_assignment(self, plan: Plan, moves: tuple[Move, ...]) -> Assignment:
        """Return the assignment after ``moves``, with the backups of the plan."""
        routes = dict(self._assignment.routes)
        moved = {move.cell for move in moves}
        for cell, planned in plan.routes.items():
            domain = routes[cell].domain
            if cell in moved or domain == planned.domain:
                routes[cell] = planned
            else:
                routes[cell] = CellRoute(domain, planned.domain, planned.region_backup)
        if routes == self._assignment.routes:
            return self._assignment
        return Assignment(self._service, self._assignment.version + 1, routes)

    def _drain_progress(
        self, drain: Drain, domains: frozenset[DomainName], now_s: float
    ) -> DrainProgress:
        left = [
            self._inputs.demands.get(cell, 0.0)
            for cell, route in self._assignment.routes.items()
            if route.domain in domains
        ]
        if not left:
            settled = (s.until_s for s in self._settling_moves if s.move.from_domain in domains)
            finish_in_s = max(0.0, max(settled, default=now_s) - now_s)
            return DrainProgress(drain.name, 0.0, finish_in_s, finish_in_s == 0.0)
        remaining = sum(left)
        if max(left) > self._cap_per_s:
            return DrainProgress(drain.name, remaining, inf, is_finished=False)
        available = self._ledger.available(self._cap_per_s, now_s)
        windows = ceil(max(0.0, remaining - available) / self._cap_per_s) if remaining else 0
        waiting_s = max(windows * self._ledger.window_s, self._inflow_wait_s(domains))
        return DrainProgress(drain.name, remaining, waiting_s + self._settle_s, is_finished=False)

    def _inflow_wait_s(self, domains: frozenset[DomainName]) -> float:
        """Return how long the inflow limits of a drain's destinations delay it."""
        inflows: defaultdict[DomainName, float] = defaultdict(float)
        for move in self._wanted:
            if move.from_domain in domains:
                inflows[move.to_domain] += move.demand_per_s
        capacities = self._inputs.capacities()
        waits = [
            ceil(amount / (capacities[name] * self._settings.cold_inflow_share)) - 1
            for name, amount in inflows.items()
            if amount > 0 and capacities.get(name, 0.0) > 0
        ]
        return max(waits, default=0) * self._settings.cold_interval_s
