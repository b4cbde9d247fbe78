"""Runs an entry VM's process, from start-up to graceful shutdown."""

from __future__ import annotations

import logging
import signal
from collections.abc import Awaitable
from collections.abc import Callable
from typing import TYPE_CHECKING
from typing import Any

import curio
from attrs import define
from attrs import evolve

from siskinward.coordination.steering.fleet import VmState
from siskinward.coordination.steering.rows import FOLLOWED_TABLES
from siskinward.coordination.steering.rows import StoreTable
from siskinward.daemon.entry.answer_reader import AnswerReader
from siskinward.daemon.entry.dispatcher import Dispatcher
from siskinward.daemon.entry.heartbeats import HeartbeatExchange
from siskinward.daemon.entry.limit_enforcer import LimitEnforcer
from siskinward.daemon.entry.lookup_handler import LookupHandler
from siskinward.daemon.entry.metrics import EntryMetrics
from siskinward.daemon.entry.metrics_page import MetricsPage
from siskinward.daemon.entry.metrics_page import following_task
from siskinward.daemon.entry.path_checker import PathChecker
from siskinward.daemon.entry.peer_asks import AskSettings
from siskinward.daemon.entry.quota_enforcer import QuotaEnforcer
from siskinward.daemon.entry.quota_enforcer import QuotaSettings
from siskinward.daemon.entry.refusals import RETRY_AFTER_S
from siskinward.daemon.entry.refusals import SHUTDOWN_RETRY_AFTER_S
from siskinward.daemon.entry.refusals import Reason
from siskinward.daemon.entry.refusals import refuse
from siskinward.daemon.entry.relay_handler import RelayHandler
from siskinward.daemon.entry.replication import Replication
from siskinward.daemon.entry.replication import ReplicationSettings
from siskinward.daemon.entry.request_handler import RequestHandler
from siskinward.daemon.entry.request_log import RequestLog
from siskinward.daemon.entry.sender import Sender
from siskinward.daemon.entry.steering import SteeringSettings
from siskinward.daemon.entry.steering import create_steering
from siskinward.daemon.entry.store_updates import StoreUpdates
from siskinward.daemon.entry.target_links import TargetLinks
from siskinward.daemon.entry.target_prober import TargetProber
from siskinward.daemon.task_supervisor import RestartSettings
from siskinward.daemon.task_supervisor import TaskFailure
from siskinward.daemon.task_supervisor import TaskSupervisor
from siskinward.protocol.vm_identity import encode_vm
from siskinward.state.errors import SiskinwardError
from siskinward.state.serving import ListenAddress
from siskinward.transport.answer_memory import AnswerMemory
from siskinward.transport.body_memory import BodyMemory
from siskinward.transport.clock import read_clock_s
from siskinward.transport.decision_log import DecisionLog
from siskinward.transport.decision_log import LogSettings
from siskinward.transport.decision_log import RuntimeLogHandler
from siskinward.transport.decision_log import open_nonblocking_output
from siskinward.transport.front_server import FrontServer
from siskinward.transport.peer_datagram_socket import PeerDatagramSocket
from siskinward.transport.peer_rows import RowServer
from siskinward.transport.relay_pool import RelayLimits
from siskinward.transport.relay_pool import RelayPool
from siskinward.transport.relay_server import RelayServer
from siskinward.transport.sockets import listen
from siskinward.transport.stop_signal import SIGNALS
from siskinward.transport.stop_signal import watch_signals
from siskinward.transport.target_pool import PoolLimits
from siskinward.transport.target_pool import TargetPool
from siskinward.transport.target_pool import close_idle_periodically

if TYPE_CHECKING:
    from random import Random

    from siskinward.coordination.steering.rows import Position
    from siskinward.daemon.entry.ports import Platform
    from siskinward.daemon.entry.ports import SettingsSource
    from siskinward.daemon.entry.steering import Steering
    from siskinward.state.serving import CallerLimits
    from siskinward.state.serving import EntrySettings

REGISTRATION_RETRY_S = 1.0
SETTINGS_CHECK_S = 2.0
# Serve on for this long: callers use a look-up answer until its lifetime ends.
SHUTDOWN_LINGER_S = 2.4
# Shutdown ends this long before the grace period, after which the platform kills the process.
GRACE_MARGIN_S = 0.4
STANDARD_OUTPUT = 1
# The first port between VMs serves rows, the next one requests to relay.
RELAY_PORT_OFFSET = 1
SHUTDOWN_HEARTBEATS = 3
SHUTDOWN_HEARTBEAT_GAP_S = 0.05


@define(eq=False)
class _Server:
    """Serves an address; ``listener`` is the socket to use first, later ones are opened anew."""

    serve: Callable[[Any], Awaitable[None]]
    address: ListenAddress
    listener: Any

    async def run(self) -> None:
        listener, self.listener = self.listener, None
        await self.serve(listener or listen(self.address.host, self.address.port))


class EntryProcess:
    """One entry VM's process."""

    def __init__(
        self,
        settings: EntrySettings,
        platform: Platform,
        source: SettingsSource,
        log: DecisionLog,
        random: Random | None = None,
    ) -> None:
        self._settings = settings
        self._source = source
        self._registration: Position | None = None
        self._log = log
        self._tasks: list[Any] = []
        self._supervisor = TaskSupervisor(RestartSettings(), self._record_failure)
        self._steering = create_steering(
            settings, SteeringSettings(), platform.revision_of, read_clock_s(), random
        )
        self._store = platform.create_store(settings)
        memory = AnswerMemory()
        self._pool = TargetPool(PoolLimits(), platform.headers.attempt_id, settings.host, memory)
        reader = AnswerReader(self._steering, platform.headers, self._log)
        relay_port = settings.peer_port + RELAY_PORT_OFFSET
        self._relay_pool = RelayPool(RelayLimits(), relay_port, memory)
        checker = self._path_checker = PathChecker(self._steering, self._pool, self._log)
        links = TargetLinks(self._steering, self._pool, self._relay_pool, checker, reader)
        relay_handler = RelayHandler(self._steering, platform.headers, self._pool, links, checker)
        self._bodies = BodyMemory()
        self._relay_server = RelayServer(relay_handler.relay, self._bodies)
        sender = Sender(self._steering, platform.headers, links)
        metrics = EntryMetrics()
        self._datagrams = PeerDatagramSocket(settings.host, settings.peer_port)
        quota = QuotaEnforcer(QuotaSettings(), self._steering, self._datagrams)
        limits = LimitEnforcer(AskSettings(), self._steering, self._datagrams)
        self._dispatcher = Dispatcher(self._steering, limits)
        request_log = RequestLog(self._steering, platform.headers, metrics, self._log)
        handler = RequestHandler(
            self._steering, platform.headers, self._dispatcher, sender, quota, request_log
        )
        metrics_page = MetricsPage(
            metrics,
            self._steering,
            self._dispatcher,
            self._store,
            links,
            self._supervisor,
            self._log,
        )
        self._probes = TargetProber(self._steering, links, limits, self._log)
        lookup_handler = LookupHandler(self._steering, platform)
        self._front = FrontServer(
            handler.handle,
            bodies=self._bodies,
            on_no_room=request_log.record_no_room,
            no_room_response=refuse(Reason.NO_ROOM_FOR_BODY, RETRY_AFTER_S),
            unfinished_response=refuse(Reason.SHUTTING_DOWN, SHUTDOWN_RETRY_AFTER_S),
            cut_response=refuse(Reason.OUTCOME_UNKNOWN),
        )
        self._lookups = FrontServer(lookup_handler.handle_lookup)
        self._readiness = FrontServer(lookup_handler.handle_readiness)
        self._metrics = FrontServer(metrics_page.handle)
        self._updates = StoreUpdates(self._steering, platform, self._log, self._set_limits)
        self._replication = Replication(
            ReplicationSettings(),
            self._steering,
            self._store,
            self._updates,
            self._log,
            self._on_change,
        )
        self._heartbeats = HeartbeatExchange(
            self._steering,
            self._datagrams,
            quota,
            limits,
            self._log,
            self._replication.on_heartbeat,
        )

    @property
    def steering(self) -> Steering:
        """The state and decision components of this VM."""
        return self._steering

    @property
    def relayed_count(self) -> int:
        """Number of requests that this VM was asked to relay."""
        return self._relay_server.served_count

    async def run(self) -> None:
        """Serve until a stop signal, then shut down gracefully; reload settings on SIGHUP."""
        await self.start()
        with watch_signals(*SIGNALS, signal.SIGHUP) as watch:
            while await watch.wait() == signal.SIGHUP:
                self.reload()
            await self.shut_down()

    async def start(self) -> None:
        """Listen, and start following the store and exchanging heartbeats."""
        own = self._steering.fleet.own
        self._log.write(
            "start",
            {
                "incarnation": own.incarnation,
                "failure_domain": own.failure_domain,
                "region": own.region,
            },
        )
        await self._spawn_servers()
        await self._supervise("registration", self._stay_registered)
        for table in FOLLOWED_TABLES:
            await self._supervise(following_task(table), self._replication.follow, table)
        await self._supervise(
            "heartbeats", self._heartbeats.send_periodically, self._after_heartbeat
        )
        await self._supervise("idle connections", close_idle_periodically, self._pool)
        await self._supervise("idle relay streams", close_idle_periodically, self._relay_pool)
        await self._supervise("path checks", self._path_checker.run)
        await self._supervise("log", self._log.flush_periodically)
        await self._supervise("probes", self._probes.run)
        await self._supervise("settings", self._watch_settings)

    async def kill(self) -> None:
        """Stop at once without a graceful shutdown, as SIGKILL does."""
        for server in (self._front, self._lookups, self._readiness, self._metrics):
            await server.abort()
        await self._relay_server.abort()
        for task in self._tasks:
            await task.cancel()
        await self._datagrams.close()

    async def _supervise(self, name: str, call: Callable[..., Any], *args: Any) -> None:
        run = self._supervisor.run
        self._tasks.append(await curio.spawn(run, name, call, *args, daemon=True))

    def _record_failure(self, failure: TaskFailure) -> None:
        self._log.write(
            "task-failed",
            {
                "task": failure.task,
                "failures": failure.count,
                "restart_after_s": failure.restart_after_s,
                "error": failure.origin,
            },
        )

    async def _spawn_servers(self) -> None:
        settings = self._settings
        peers = ListenAddress(settings.host, settings.peer_port)
        relays = ListenAddress(settings.host, settings.peer_port + RELAY_PORT_OFFSET)
        row_server = RowServer(self._replication.find_missing_rows)
        for name, serve, address in (
            ("front", self._front.serve, settings.front),
            ("look-ups", self._lookups.serve, settings.directory),
            ("readiness", self._readiness.serve, settings.readiness),
            ("metrics", self._metrics.serve, settings.metrics),
            ("rows", row_server.serve, peers),
            ("relay", self._relay_server.serve, relays),
        ):
            server = _Server(serve, address, listen(address.host, address.port))
            await self._supervise(name, server.run)
        await self._supervise("datagrams", self._datagrams.receive, self._heartbeats.receive)

    async def _stay_registered(self) -> None:
        """Register this VM, and again whenever the store comes back from an older copy."""
        while True:
            await self._register()
            while not self._is_registration_lost():
                await curio.sleep(REGISTRATION_RETRY_S)

    def _is_registration_lost(self) -> bool:
        era = max(copy.position.era for copy in self._steering.tables.values())
        return self._registration is None or self._registration.era < era

    async def _register(self) -> None:
        """Register this VM in the store and read the other VMs, retrying until both succeed."""
        own = self._steering.fleet.own
        while True:
            try:
                self._registration = await self._store.write_row(
                    StoreTable.VMS, own.vm, encode_vm(own)
                )
            except SiskinwardError as error:
                self._log.write("not-registered", {"error": str(error)})
                await curio.sleep(REGISTRATION_RETRY_S)
                continue
            if await self._replication.read_once(StoreTable.VMS, 0.0):
                return
            await curio.sleep(REGISTRATION_RETRY_S)

    async def _deregister(self) -> None:
        if self._registration is None:
            return
        vm = self._steering.fleet.own.vm
        try:
            await self._store.remove_row(StoreTable.VMS, vm, self._registration.version)
        except SiskinwardError as error:
            self._log.write("not-deregistered", {"error": str(error)})

    def reload(self) -> None:
        """Apply the settings that may change while the process runs."""
        try:
            settings = self._source.read()
        except SiskinwardError as error:
            self._log.write("reload-failed", {"error": str(error)})
            return
        entry = self._steering.entry
        self._steering.entry = evolve(entry, bounds=settings.bounds, peer_seeds=settings.peer_seeds)
        self._steering.retries.bounds = settings.bounds
        self._steering.issuer.bounds = settings.bounds
        self._log.write("reload", {"changed": settings != entry})

    async def _watch_settings(self) -> None:
        """Reload settings that changed without a SIGHUP."""
        while True:
            await curio.sleep(SETTINGS_CHECK_S)
            if self._source.has_changed():
                self.reload()

    async def shut_down(self) -> None:
        """Announce the shutdown, serve until callers use other VMs, and finish running requests."""
        grace_s = self._steering.entry.bounds.grace_s
        deadline_s = read_clock_s() + grace_s - GRACE_MARGIN_S
        self._log.write("stop", {"unanswered": self._front.unanswered_count})
        self._steering.fleet.state = VmState.LEAVING
        self._steering.shutdown.begin(deadline_s)
        self._front.is_shutting_down = True
        for _ in range(SHUTDOWN_HEARTBEATS):
            await self._heartbeats.send()
            await curio.sleep(SHUTDOWN_HEARTBEAT_GAP_S)
        await curio.spawn(self._deregister, daemon=True)
        await curio.sleep(SHUTDOWN_LINGER_S)
        await self._front.begin_shutdown()
        all_answered = await self._front.wait_answered(deadline_s - read_clock_s())
        if not all_answered:
            await self._front.answer_unfinished()
        self._steering.shutdown.end()
        all_answered &= await self._relay_server.wait_answered(deadline_s - read_clock_s())
        self._log.write("stopped", {"answered_all": all_answered})
        self._log.flush()

    async def _on_change(self, is_from_store: bool) -> None:
        self._update_ready_state()
        if is_from_store:
            await self._heartbeats.send()
        await self._dispatcher.dispatch_all_waiting()

    async def _after_heartbeat(self) -> None:
        self._updates.release_held(read_clock_s())
        self._update_ready_state()
        await self._dispatcher.dispatch_all_waiting()

    def _update_ready_state(self) -> None:
        steering = self._steering
        is_loaded = steering.tables[StoreTable.TARGETS].is_loaded
        if steering.fleet.state is VmState.STARTING and steering.index and is_loaded:
            steering.fleet.state = VmState.READY
            self._log.write("ready", {"configuration": steering.index.configuration.version})

    def _set_limits(self, limits: CallerLimits) -> None:
        self._front.limits = limits
        self._bodies.largest_body_bytes = limits.body_limit_bytes


def run_entry(platform: Platform) -> None:
    """Run an entry VM's process until a stop signal; raise ``SiskinwardError`` on bad settings."""
    signal.signal(signal.SIGPIPE, signal.SIG_IGN)
    source = platform.open_settings(None)
    settings = source.read()
    log = DecisionLog(LogSettings(), settings.vm, open_nonblocking_output(STANDARD_OUTPUT))
    logging.getLogger().addHandler(RuntimeLogHandler(log))
    process = EntryProcess(settings, platform, source, log)
    curio.run(process.run)
