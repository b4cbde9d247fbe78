"""The process on an entry VM: runs the loops of its components and shuts them down in order."""

from __future__ import annotations

import os
from typing import TYPE_CHECKING
from typing import Any

import curio
from eliot import log_message

from siskinward.coordination.lookup import LookupSettings
from siskinward.coordination.version_messages import MESSAGES as VERSION_MESSAGES
from siskinward.daemon.assignment_replica import AssignmentReplica
from siskinward.daemon.configuration_replica import ConfigurationReplica
from siskinward.daemon.front import Front
from siskinward.daemon.lookup import LookupService
from siskinward.daemon.map_replica import MapReplica
from siskinward.daemon.node_components import create_components
from siskinward.daemon.poll_schedule import PollSchedule
from siskinward.daemon.poll_schedule import PollSettings
from siskinward.daemon.request_handler import RequestHandler
from siskinward.daemon.routing_updater import RoutingUpdater
from siskinward.daemon.shift_controller import ShiftController
from siskinward.daemon.target_state_poller import TargetStatePoller
from siskinward.daemon.task_supervisor import RestartSettings
from siskinward.daemon.task_supervisor import TaskFailure
from siskinward.daemon.task_supervisor import TaskSupervisor
from siskinward.protocol.forwarding import ForwardReply
from siskinward.protocol.forwarding import ForwardRequest
from siskinward.state.errors import SiskinwardError
from siskinward.state.errors import StepError
from siskinward.transport.clock import read_clock_s
from siskinward.transport.http_server import HttpServer
from siskinward.transport.http_server import HttpServerSettings
from siskinward.transport.peer_hub import PeerAddress
from siskinward.transport.sockets import listen
from siskinward.transport.stop_signal import wait_for_stop_signal

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from siskinward.coordination.assignment_content import Assignments
    from siskinward.coordination.events import VmIdentity
    from siskinward.daemon.serving_state import ServingState
    from siskinward.state.settings import NodeSettings

VM_LIST_POLL = PollSettings(interval_s=30.0, retry_s=2.0, backoff_limit_s=30.0)
TIMER_INTERVAL_S = 0.05
HAND_OVER_TIMEOUT_S = 5.0
SEED_INTERVAL_S = 2.0
FLUSH_WAIT_S = 0.2


class Node:
    """One entry VM."""

    def __init__(
        self,
        settings: NodeSettings,
        now_s: float,
        random_bytes: Callable[[int], bytes] = os.urandom,
    ) -> None:
        self._settings = settings
        self._state: ServingState | None = None
        self._is_leaving = False
        components = create_components(
            settings, self._on_message, self._on_error, now_s, random_bytes
        )
        self.components = components
        self.metrics = components.metrics
        self._routing_updater = RoutingUpdater(components)
        self._shift_controller = ShiftController(
            components, self._routing_updater, settings.limits.look_up_ttl_s, now_s
        )
        self._target_poller = TargetStatePoller(
            components.local_executor.usable_targets, self._routing_updater.on_target_states
        )
        self._configuration_replica = ConfigurationReplica(
            components,
            settings.platform.failure_domains,
            self._on_configuration_activated,
            self._on_error,
            now_s,
        )
        components.router.register(self._configuration_replica.driver, VERSION_MESSAGES)
        self._lookups = LookupService(
            components.own,
            LookupSettings(ttl_s=settings.limits.look_up_ttl_s),
            components.ticket_service.issue,
            components.metrics,
            self._shift_controller.exchange.record_lookup,
        )
        self._assignment_replica = AssignmentReplica(
            components, self._on_assignments, self._on_error, now_s
        )
        components.router.register(self._assignment_replica.driver, VERSION_MESSAGES)
        self._map_replica = MapReplica(
            components, self._lookups.on_client_map, self._on_error, now_s
        )
        components.router.register(self._map_replica.driver, VERSION_MESSAGES)
        self._server = self._create_server()
        self._supervisor = TaskSupervisor(RestartSettings(), self._on_task_failure)

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT, then shut down without cutting off a request."""
        await self.serve(wait_for_stop_signal)

    async def serve(self, wait_for_stop: Callable[[], Awaitable[Any]]) -> None:
        """Serve until ``wait_for_stop`` returns, then shut down.

        Raises ``SiskinwardError`` when a port cannot be opened.
        """
        own = self._settings.node
        front = _listen(own.host, own.front_port)
        peers = _listen(own.host, own.peer_port)
        log_message("node:started", vm=own.vm, incarnation=self.components.own.incarnation)
        try:
            async with curio.TaskGroup(wait=any) as group:
                await group.spawn(self._server.serve, front)
                await group.spawn(self.components.hub.serve, peers)
                for name, run in (
                    ("VM list", self._poll_vm_list),
                    ("seeds", self._identify_seeds),
                    ("timer", self._run_timer),
                    ("target states", self._target_poller.run),
                    ("shifts", self._shift_controller.run),
                ):
                    await group.spawn(self._supervisor.run, name, run)
                await group.spawn(self._serve_until, wait_for_stop)
            if group.exception is not None:
                raise group.exception
        finally:
            await self._server.close()
            await self.components.hub.close()
        log_message("node:stopped", vm=own.vm)

    async def _serve_until(self, wait_for_stop: Callable[[], Awaitable[Any]]) -> None:
        await wait_for_stop()
        await self._shut_down()

    def _create_server(self) -> HttpServer:
        components = self.components
        limits = self._settings.limits
        self.handler = RequestHandler(
            lambda: self._state,
            self._configuration_replica.standing,
            components.account_limiter,
            components.ticket_service,
            components.dispatcher,
            components.metrics,
            self._shift_controller.exchange.record_request,
        )
        front = Front(self.handler, self._lookups, components.metrics, self._health)
        settings = HttpServerSettings(limits.header_bytes, limits.body_bytes, limits.idle_timeout_s)
        return HttpServer(settings, front.handle, components.metrics.count_refusal)

    async def _shut_down(self) -> None:
        components = self.components
        log_message("node:leaving", vm=components.own.vm)
        self._is_leaving = True
        now_s = read_clock_s()
        await components.cluster.leave(now_s)
        self._lookups.on_live_vms(components.cluster.live_vms(now_s))
        await curio.sleep(self._settings.limits.look_up_ttl_s)
        self._server.begin_shutdown()
        await self._hand_over()
        await self._server.wait_drained(self._settings.limits.shutdown_timeout_s)
        await components.account_limiter.close(read_clock_s())
        await curio.sleep(FLUSH_WAIT_S)

    async def _hand_over(self) -> None:
        """Hand targets, share issuer, grant and tickets to peers while requests still finish."""
        components = self.components
        now_s = read_clock_s()
        await components.router.run(components.authority, components.authority.leave(now_s))
        successor = components.cluster.successor(now_s)
        if successor is not None:
            await components.ticket_service.hand_over(successor, now_s)
        deadline_s = now_s + HAND_OVER_TIMEOUT_S
        while not self._is_handed_over(successor) and read_clock_s() < deadline_s:
            await curio.sleep(TIMER_INTERVAL_S)

    def _is_handed_over(self, successor: VmIdentity | None) -> bool:
        authority = self.components.authority
        has_pending_tickets = (
            successor is not None and not self.components.ticket_service.is_handed_over
        )
        has_handed_over_roles = (
            authority.grant.is_handed_over and authority.ownership.has_handed_over
        )
        return (
            has_handed_over_roles
            and not has_pending_tickets
            and self.components.forwarder.running_count == 0
        )

    async def _identify_seeds(self) -> None:
        """Identify the VMs at the seed addresses until a configuration is known."""
        while True:
            for seed in self._settings.peers.seeds if self._state is None else ():
                host, _, port = seed.rpartition(":")
                address = PeerAddress(host, int(port))
                identity = await self.components.hub.identify(address)
                if identity is not None:
                    await self.components.cluster.on_seed(identity, address, read_clock_s())
            await curio.sleep(SEED_INTERVAL_S)

    async def _poll_vm_list(self) -> None:
        schedule = PollSchedule(VM_LIST_POLL, self.components.random)
        while True:
            result = await self.components.platform.list_vms()
            if result.is_ok():
                await self.components.cluster.on_vm_list(result.ok, read_clock_s())
            await curio.sleep(schedule.next_delay_s(has_failed=result.is_error()))

    async def run_timer_once(self, now_s: float) -> None:
        """Drive the timers of all components; ``run`` does so every ``TIMER_INTERVAL_S``."""
        components = self.components
        await components.router.tick(now_s)
        await components.router.run(
            components.account_limiter, self._routing_updater.on_timer(now_s)
        )
        await components.local_executor.on_timer(now_s)
        await self._apply_changes(now_s)

    async def _run_timer(self) -> None:
        while True:
            await curio.sleep(TIMER_INTERVAL_S)
            await self.run_timer_once(read_clock_s())

    async def _apply_changes(self, now_s: float) -> None:
        steering = self._routing_updater
        self._lookups.on_drains(steering.draining_domains, steering.closed_domains)
        if self.components.cluster.refresh_addresses(now_s):
            await self._on_members(now_s)
            self._lookups.on_live_vms(self.components.cluster.live_vms(now_s))

    async def _on_members(self, now_s: float) -> None:
        components = self.components
        self._routing_updater.on_members(now_s)
        members = components.cluster.domain_members(now_s)
        await components.router.run(
            components.authority, components.authority.on_members(members, now_s)
        )
        await components.ticket_service.on_members(components.cluster.live_identities(now_s), now_s)
        await components.quarantine.on_members(components.cluster.live_identities(now_s), now_s)
        for replica in (self._configuration_replica, self._assignment_replica, self._map_replica):
            replica.driver.on_membership(
                components.cluster.membership, components.cluster.known_domains, now_s
            )
        for vm in components.cluster.pop_departed_vms(now_s):
            await components.forwarder.on_vm_lost(vm)

    async def _on_configuration_activated(self, state: ServingState) -> None:
        own = self.components.own
        if own.failure_domain not in state.configuration.failure_domains:
            log_message("configuration:foreign", version=state.version, domain=own.failure_domain)
            return
        log_message("configuration:adopted", version=state.version)
        components = self.components
        self._state = state
        components.metrics.configuration_version.set(state.version)
        now_s = read_clock_s()
        await components.cluster.on_configuration(state, now_s)
        components.local_executor.apply(state)
        components.quarantine.on_configuration(state.configuration)
        self._lookups.on_configuration(state)
        self._lookups.on_live_vms(components.cluster.live_vms(now_s))
        self._routing_updater.on_configuration(state, now_s)
        self._shift_controller.on_configuration(state)
        effects = components.authority.on_configuration(state.configuration, now_s)
        await components.router.run(components.authority, effects)
        await components.router.run(
            components.account_limiter,
            components.share_pool.on_configuration(state.configuration, now_s),
        )

    def _on_assignments(self, assignments: Assignments) -> None:
        for assignment in assignments.values():
            self._lookups.on_assignment(assignment)
        routes = (route for found in assignments.values() for route in found.routes.values())
        self._routing_updater.on_assigned_domains(frozenset(route.domain for route in routes))

    async def _on_message(self, message: Any, sender: VmIdentity) -> None:
        match message:
            case ForwardRequest():
                await self.components.forwarder.on_request(message, sender)
            case ForwardReply():
                await self.components.forwarder.on_reply(message, sender)
            case _:
                await self.components.router.deliver(message, sender)

    def _on_task_failure(self, failure: TaskFailure) -> None:
        self.metrics.errors.labels(failure.task).inc()
        log_message(
            "node:task-failed",
            task=failure.task,
            failures=failure.count,
            restart_after_s=failure.restart_after_s,
            error=failure.origin,
        )

    def _on_error(self, error: StepError) -> None:
        self.metrics.errors.labels(error.step).inc()

    def _health(self, now_s: float) -> dict[str, object]:
        components = self.components
        return {
            "vm": components.own.vm,
            "incarnation": components.own.incarnation,
            "ready": self._state is not None and not self._is_leaving,
            "leaving": self._is_leaving,
            "live_vms": sorted(vm.name for vm in components.cluster.live_vms(now_s)),
            "grant_holder": components.authority.holder,
            "grant_epoch": components.authority.epoch,
            "owned_targets": len(components.local_executor.usable_targets(now_s)),
            "standing": type(self._configuration_replica.standing(now_s)).__name__,
            "shifts": self._shift_controller.progress(now_s),
            "version": 0 if self._state is None else self._state.version,
        }


def _listen(host: str, port: int) -> Any:
    try:
        return listen(host, port)
    except OSError as error:
        detail = error.strerror or str(error)
        raise SiskinwardError(StepError("listen", f"{host}:{port}", detail)) from error
