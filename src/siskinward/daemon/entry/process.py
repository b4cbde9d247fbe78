"""Runs an entry VM: listens, follows the store, serves callers, and leaves when told."""

from __future__ import annotations

import signal
from typing import TYPE_CHECKING

import curio

from siskinward.coordination.steering.fleet import VmState
from siskinward.coordination.steering.rows import StoreTable
from siskinward.daemon.entry.directory import Directory
from siskinward.daemon.entry.dispatcher import Dispatcher
from siskinward.daemon.entry.heartbeats import HeartbeatExchange
from siskinward.daemon.entry.news import StoreNews
from siskinward.daemon.entry.replication import Replication
from siskinward.daemon.entry.replication import ReplicationSettings
from siskinward.daemon.entry.request_handler import RequestHandler
from siskinward.daemon.entry.sender import Sender
from siskinward.daemon.entry.steering import SteeringSettings
from siskinward.daemon.entry.steering import create_steering
from siskinward.protocol.heartbeats import encode_vm
from siskinward.state.errors import SiskinwardError
from siskinward.transport.clock import read_clock_s
from siskinward.transport.decision_log import DecisionLog
from siskinward.transport.decision_log import LogSettings
from siskinward.transport.front_server import FrontServer
from siskinward.transport.peer_datagrams import PeerDatagrams
from siskinward.transport.peer_rows import serve_rows
from siskinward.transport.sockets import listen
from siskinward.transport.stop_signal import wait_for_stop_signal
from siskinward.transport.target_pool import PoolLimits
from siskinward.transport.target_pool import TargetPool
from siskinward.transport.target_pool import close_idle_periodically

if TYPE_CHECKING:
    from siskinward.daemon.entry.ports import Platform
    from siskinward.state.serving import CallerLimits
    from siskinward.state.serving import EntrySettings

REGISTRATION_RETRY_S = 1.0
STARTUP_POLL_S = 0.05
# Callers go on using a look-up answer for its lifetime.
LEAVE_LINGER_S = 2.4
# Before the platform ends the process for good, requests under way get this much of the grace.
GRACE_MARGIN_S = 0.4
FAREWELL_HEARTBEATS = 3
FAREWELL_GAP_S = 0.05


class EntryProcess:
    """One entry VM's process."""

    def __init__(self, settings: EntrySettings, platform: Platform) -> None:
        self._settings = settings
        self._log = DecisionLog(LogSettings(), settings.vm)
        self._steering = create_steering(settings, SteeringSettings(), read_clock_s())
        self._store = platform.create_store(settings)
        self._pool = TargetPool(PoolLimits(), platform.headers.attempt_id)
        self._dispatcher = Dispatcher(self._steering)
        sender = Sender(self._steering, platform.headers, self._pool)
        handler = RequestHandler(
            self._steering, platform.headers, self._dispatcher, sender, self._log
        )
        directory = Directory(self._steering, platform)
        self._front = FrontServer(handler.handle)
        self._lookups = FrontServer(directory.handle_lookup)
        self._readiness = FrontServer(directory.handle_readiness)
        news = StoreNews(self._steering, platform, self._log, self._set_limits)
        self._replication = Replication(
            ReplicationSettings(), self._steering, self._store, news, self._log, self._on_change
        )
        self._datagrams = PeerDatagrams(settings.host, settings.peer_port)
        self._heartbeats = HeartbeatExchange(
            self._steering, self._datagrams, self._log, self._replication.on_heartbeat
        )

    async def run(self) -> None:
        """Serve until SIGTERM, then finish what is under way."""
        settings = self._settings
        self._log.write("start", {"incarnation": self._steering.fleet.own.incarnation})
        await self._spawn_servers()
        await curio.spawn(self._register, daemon=True)
        for table in (StoreTable.OPERATOR, StoreTable.TARGETS):
            await curio.spawn(self._replication.follow, table, daemon=True)
        await curio.spawn(self._heartbeats.send_periodically, self._after_heartbeat, daemon=True)
        await curio.spawn(close_idle_periodically, self._pool, daemon=True)
        await curio.spawn(self._log.flush_periodically, daemon=True)
        await wait_for_stop_signal()
        await self._leave(read_clock_s() + settings.bounds.grace_s - GRACE_MARGIN_S)

    async def _spawn_servers(self) -> None:
        settings = self._settings
        for server, address in (
            (self._front, settings.front),
            (self._lookups, settings.directory),
            (self._readiness, settings.readiness),
        ):
            await curio.spawn(server.serve, listen(address.host, address.port), daemon=True)
        peers = listen(settings.host, settings.peer_port)
        await curio.spawn(serve_rows, peers, self._replication.find, daemon=True)
        await curio.spawn(self._datagrams.receive, self._heartbeats.receive, daemon=True)

    async def _register(self) -> None:
        """Tell the store of this VM and learn of the others, however long that takes."""
        own = self._steering.fleet.own
        while True:
            try:
                await self._store.write_row(StoreTable.VMS, own.vm, encode_vm(own))
            except SiskinwardError as error:
                self._log.write("not-registered", {"error": str(error)})
                await curio.sleep(REGISTRATION_RETRY_S)
                continue
            if await self._replication.read_once(StoreTable.VMS, 0.0):
                return
            await curio.sleep(REGISTRATION_RETRY_S)

    async def _leave(self, deadline_s: float) -> None:
        self._log.write("stop", {"unanswered": self._front.unanswered_count})
        self._steering.fleet.state = VmState.LEAVING
        self._front.is_leaving = True
        for _ in range(FAREWELL_HEARTBEATS):
            await self._heartbeats.send()
            await curio.sleep(FAREWELL_GAP_S)
        await curio.sleep(LEAVE_LINGER_S)
        await self._front.begin_shutdown()
        is_done = await self._front.wait_answered(deadline_s - read_clock_s())
        self._log.write("stopped", {"answered_all": is_done})
        self._log.flush()

    async def _on_change(self) -> None:
        self._note_ready()
        await self._heartbeats.send()
        await self._dispatcher.let_all_go()

    async def _after_heartbeat(self) -> None:
        self._note_ready()
        await self._dispatcher.let_all_go()

    def _note_ready(self) -> None:
        steering = self._steering
        is_loaded = steering.tables[StoreTable.TARGETS].is_loaded
        if steering.fleet.state is VmState.STARTING and steering.index and is_loaded:
            steering.fleet.state = VmState.READY
            self._log.write("ready", {"configuration": steering.index.configuration.version})

    def _set_limits(self, limits: CallerLimits) -> None:
        self._front.limits = limits


def run_entry(settings: EntrySettings, platform: Platform) -> None:
    """Run an entry VM's process until it is told to stop."""
    signal.signal(signal.SIGPIPE, signal.SIG_IGN)
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    process = EntryProcess(settings, platform)
    curio.run(process.run)
