"""Plans the steps of planned shifts on the planning VM, and publishes them."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import curio

from siskinward.coordination.assignment_store import AssignmentStore
from siskinward.coordination.demand import DemandExchange
from siskinward.coordination.demand import DemandRoute
from siskinward.coordination.demand import DemandSettings
from siskinward.coordination.demand import messages as demand_messages
from siskinward.coordination.planner import Assignment
from siskinward.coordination.planner import PlannerSettings
from siskinward.coordination.planner import ShiftPlanner
from siskinward.coordination.planner import ShiftsFrozen
from siskinward.state.drains import draining_domains
from siskinward.state.drains import started_drains
from siskinward.state.identifiers import VmName
from siskinward.transport.clock import read_clock_s

if TYPE_CHECKING:
    from collections.abc import Mapping

    from siskinward.coordination.assignment_content import Assignments
    from siskinward.coordination.assignment_store import PublishedAssignments
    from siskinward.coordination.planner import Cell
    from siskinward.coordination.planner import Move
    from siskinward.daemon.node_components import NodeComponents
    from siskinward.daemon.routing_updater import RoutingUpdater
    from siskinward.daemon.serving_state import ServingState
    from siskinward.state.identifiers import DomainName
    from siskinward.state.identifiers import ServiceName

STEP_INTERVAL_S = 5.0
WRITE_LIMIT_S = 2.0
RESERVES_INTERVAL_S = 60.0
MIN_CELL_DEMAND_PER_S = 0.01
FROZEN_PLATFORM = "platform"
FROZEN_MEASURING = "measuring"


class ShiftController:
    """Drives one planner a service while this VM is the planning VM.

    If a step was not accepted in time, the planners are discarded and new ones wait for a whole
    window, because it is not known when that step takes effect.
    """

    def __init__(
        self,
        components: NodeComponents,
        steering: RoutingUpdater,
        look_up_ttl_s: float,
        now_s: float,
    ) -> None:
        self._components = components
        self._steering = steering
        self._settings = PlannerSettings(answer_ttl_s=look_up_ttl_s)
        self._store = AssignmentStore(components.platform, components.platform)
        self._state: ServingState | None = None
        self._base: PublishedAssignments | None = None
        self._planners: dict[ServiceName, ShiftPlanner] = {}
        self._written_at_s = float("-inf")
        self.exchange = DemandExchange(
            DemandSettings(), components.own, self._route, self._capacities, now_s
        )
        components.router.register(self.exchange, demand_messages.MESSAGES)

    def on_configuration(self, state: ServingState) -> None:
        """Apply a configuration."""
        self._state = state
        for planner in self._planners.values():
            planner.on_configuration(state.configuration)

    def progress(self, now_s: float) -> dict[str, dict[str, float]]:
        """Return the remaining demand of each drain by service; empty unless this VM plans."""
        return {
            service: {item.name: item.remaining_per_s for item in planner.progress(now_s)}
            for service, planner in self._planners.items()
        }

    async def run(self) -> None:
        """Plan a step every ``STEP_INTERVAL_S``."""
        while True:
            await curio.sleep(STEP_INTERVAL_S)
            await self.step()

    async def step(self) -> None:
        """Plan and publish one step if this VM is the planning VM."""
        state = self._state
        now_s = read_clock_s()
        if state is None or self._route(now_s).planner != self._components.own.vm:
            self._discard_planners()
            return
        demands = self.exchange.demands()
        if demands is None:
            self._components.metrics.shift_freezes.labels(FROZEN_MEASURING).inc()
            return
        base = self._base or await self._read_base()
        if base is None:
            self._components.metrics.shift_freezes.labels(FROZEN_PLATFORM).inc()
            return
        now_s = read_clock_s()
        self._update_planners(state, base, demands, now_s)
        assignments, moves = self._plan_steps(base, now_s)
        if assignments == base.assignments:
            return
        # Without moves only reserved shares differ; they need not be published at once.
        if moves or now_s - self._written_at_s >= RESERVES_INTERVAL_S:
            await self._publish(base, assignments, now_s)

    def _route(self, now_s: float) -> DemandRoute:
        holder = self._components.authority.holder
        domain = self._planning_domain(now_s)
        if domain == self._components.own.failure_domain:
            return DemandRoute(holder, holder)
        return DemandRoute(holder, self._steering.holder_of(domain) if domain else VmName(""))

    def _planning_domain(self, now_s: float) -> DomainName | None:
        if self._state is None:
            return None
        configuration = self._state.configuration
        reachable = self._components.cluster.reachable_domains(now_s)
        found = [name for name in configuration.failure_domains if name in reachable]
        drained = draining_domains(configuration, time.time())
        return next((name for name in found if name not in drained), next(iter(found), None))

    def _capacities(self, now_s: float) -> dict[ServiceName, float]:
        found: dict[ServiceName, float] = {}
        if self._state is not None:
            found = dict.fromkeys(self._state.configuration.services, 0.0)
        for load in self._components.local_executor.loads(now_s):
            found[load.service] = load.slots / load.service_s if load.service_s > 0 else 0.0
        return found

    async def _read_base(self) -> PublishedAssignments | None:
        result = await self._store.read()
        if result.is_ok():
            self._base = result.ok
            self._planners = {}
        return self._base

    def _update_planners(
        self,
        state: ServingState,
        base: PublishedAssignments,
        demands: Mapping[ServiceName, Mapping[Cell, float]],
        now_s: float,
    ) -> None:
        configuration = state.configuration
        drains = started_drains(configuration, time.time())
        capacities = self.exchange.domain_capacities()
        for service in configuration.services:
            planner = self._planners.get(service)
            if planner is None:
                known = base.assignments.get(service, Assignment(service, 0))
                planner = ShiftPlanner(self._settings, service, configuration, known, now_s)
                self._planners[service] = planner
            planner.on_drains(drains)
            # Cells without look-ups have few callers; with no demand they would fit anywhere.
            minimum_demands = dict.fromkeys(planner.assignment.routes, MIN_CELL_DEMAND_PER_S)
            planner.on_demand({**minimum_demands, **demands.get(service, {})}, now_s)
            for domain, capacity in capacities.items():
                amount_per_s = capacity.capacities_per_s.get(service, 0.0)
                planner.on_capacity(domain, amount_per_s, capacity.received_s)

    def _plan_steps(
        self, base: PublishedAssignments, now_s: float
    ) -> tuple[Assignments, list[Move]]:
        metrics = self._components.metrics
        moves: list[Move] = []
        assignments = dict(base.assignments)
        for service, planner in self._planners.items():
            result = planner.step(now_s)
            if isinstance(result, ShiftsFrozen):
                metrics.shift_freezes.labels(result.reason.value).inc()
            elif result.assignment.routes:
                assignments[service] = result.assignment
                moves.extend(result.moves)
        return assignments, moves

    async def _publish(
        self, base: PublishedAssignments, assignments: Assignments, now_s: float
    ) -> None:
        metrics = self._components.metrics
        written = await self._store.write(base, assignments, str(self._components.own.incarnation))
        took_s = read_clock_s() - now_s
        if written.is_error() or took_s > WRITE_LIMIT_S:
            metrics.shift_conflicts.inc()
            self._discard_planners()
            return
        metrics.shift_steps.inc()
        self._base = written.ok
        self._written_at_s = now_s

    def _discard_planners(self) -> None:
        self._base = None
        self._planners = {}
