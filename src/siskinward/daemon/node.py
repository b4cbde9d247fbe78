"""The process on an entry VM: assembles the parts and runs their loops."""

from __future__ import annotations

import os
from typing import TYPE_CHECKING
from typing import Any

import curio
from eliot import log_message

from siskinward.coordination.admission import AdmissionSettings
from siskinward.coordination.events import VmIdentity
from siskinward.daemon.cluster import Cluster
from siskinward.daemon.configuration_sync import ConfigurationSync
from siskinward.daemon.dispatcher import Dispatcher
from siskinward.daemon.effect_runner import EffectRunner
from siskinward.daemon.forwarder import Forwarder
from siskinward.daemon.front import Front
from siskinward.daemon.local_service import LocalService
from siskinward.daemon.lookup import LookupService
from siskinward.daemon.metrics import NodeMetrics
from siskinward.daemon.part_router import PartRouter
from siskinward.daemon.request_handler import RequestHandler
from siskinward.protocol.forwarding import ForwardReply
from siskinward.protocol.forwarding import ForwardRequest
from siskinward.protocol.registry import create_codec
from siskinward.state.identifiers import IncarnationId
from siskinward.transport.http_server import HttpServer
from siskinward.transport.http_server import HttpServerSettings
from siskinward.transport.peer_hub import PeerHub
from siskinward.transport.peer_link import PeerSettings
from siskinward.transport.platform_client import PlatformClient
from siskinward.transport.stop_signal import wait_for_stop_signal

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from siskinward.daemon.serving_state import ServingState
    from siskinward.state.errors import StepError
    from siskinward.state.identifiers import ServiceName
    from siskinward.state.identifiers import VmName
    from siskinward.state.settings import NodeSettings

INCARNATION_SIZE_BYTES = 8
POLL_INTERVAL_S = 0.5
VM_LIST_INTERVAL_S = 5.0
TIMER_INTERVAL_S = 0.05


class Node:
    """One entry VM."""

    def __init__(self, settings: NodeSettings, now_s: float) -> None:
        own = settings.node
        incarnation = IncarnationId(os.urandom(INCARNATION_SIZE_BYTES).hex())
        self._settings = settings
        self._own = VmIdentity(own.vm, own.failure_domain, incarnation)
        self._state: ServingState | None = None
        self._is_leaving = False
        self.metrics = NodeMetrics()
        platform = PlatformClient(settings.platform)
        self._platform = platform
        secret = settings.peers.shared_secret.encode()
        self._hub = PeerHub(
            PeerSettings(self._own, secret), create_codec(), self._on_message, self._on_error
        )
        self._parts = PartRouter(EffectRunner(self._hub, platform))
        self._cluster = Cluster(self._own, own, self._hub, self._parts, now_s)
        self._local = LocalService(AdmissionSettings())
        self._forwarder = Forwarder(self._own, self._hub, self._local.run)
        dispatcher = Dispatcher(self._local, self._forwarder, self._owners_of, self.metrics)
        handler = RequestHandler(lambda: self._state, dispatcher, self.metrics)
        lookups = LookupService(
            lambda: self._state,
            self._cluster.live_vms,
            lambda count: [],
            settings.limits.look_up_ttl_s,
            self.metrics,
        )
        self._sync = ConfigurationSync(platform, platform, self._on_adopted, self._on_error)
        front = Front(handler, lookups, self.metrics, self._health)
        limits = HttpServerSettings(
            settings.limits.header_bytes,
            settings.limits.body_bytes,
            settings.limits.idle_timeout_s,
        )
        self._server = HttpServer(limits, front.handle, self.metrics.count_refusal)

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT, then shut down without cutting off a request."""
        await self.serve(wait_for_stop_signal)

    async def serve(self, wait_for_stop: Callable[[], Awaitable[Any]]) -> None:
        """Serve until ``wait_for_stop`` returns, then shut down."""
        log_message("node:started", vm=self._own.vm, incarnation=self._own.incarnation)
        own = self._settings.node
        tasks = [
            await curio.spawn(self._server.serve, own.host, own.front_port),
            await curio.spawn(self._hub.serve, own.host, own.peer_port),
            await curio.spawn(self._run_sync),
            await curio.spawn(self._run_vm_list),
            await curio.spawn(self._run_timer),
        ]
        await wait_for_stop()
        await self._shut_down()
        for task in tasks:
            await task.cancel()
        log_message("node:stopped", vm=self._own.vm)

    async def _shut_down(self) -> None:
        log_message("node:leaving", vm=self._own.vm)
        self._is_leaving = True
        await self._cluster.leave(await curio.clock())
        await curio.sleep(self._settings.limits.look_up_ttl_s)
        self._server.begin_shutdown()
        await self._server.wait_drained(self._settings.limits.shutdown_timeout_s)

    async def _run_sync(self) -> None:
        while True:
            await self._sync.poll()
            await curio.sleep(POLL_INTERVAL_S)

    async def _run_vm_list(self) -> None:
        while True:
            result = await self._platform.list_vms()
            if result.is_ok():
                await self._cluster.on_vm_list(result.ok, await curio.clock())
            await curio.sleep(VM_LIST_INTERVAL_S)

    async def _run_timer(self) -> None:
        while True:
            await curio.sleep(TIMER_INTERVAL_S)
            now_s = await curio.clock()
            await self._local.on_timer(now_s)
            await self._parts.tick(now_s)
            if self._cluster.refresh_addresses(now_s):
                self._apply_ownership(now_s)

    async def _on_adopted(self, state: ServingState) -> None:
        log_message("configuration:adopted", version=state.version)
        self._state = state
        self.metrics.configuration_version.set(state.version)
        now_s = await curio.clock()
        await self._cluster.on_configuration(state, now_s)
        self._apply_ownership(now_s)

    def _apply_ownership(self, now_s: float) -> None:
        if self._state is None:
            return
        services = self._state.domain_targets.get(self._own.failure_domain, {})
        peers = sorted(member.identity.vm for member in self._cluster.domain_members(now_s))
        names = sorted(target.name for targets in services.values() for target in targets)
        owned = [n for i, n in enumerate(names) if peers[i % len(peers)] == self._own.vm]
        self._local.apply(self._state, owned)

    async def _on_message(self, message: Any, sender: VmIdentity) -> None:
        match message:
            case ForwardRequest():
                await self._forwarder.on_request(message, sender)
            case ForwardReply():
                await self._forwarder.on_reply(message, sender)
            case _:
                await self._parts.deliver(message, sender)

    def _on_error(self, error: StepError) -> None:
        self.metrics.errors.labels(error.step).inc()

    def _owners_of(self, service: ServiceName, now_s: float) -> list[VmName]:
        return [vm.name for vm in self._cluster.live_vms(now_s) if vm.name != self._own.vm]

    def _health(self, now_s: float) -> dict[str, object]:
        return {
            "vm": self._own.vm,
            "incarnation": self._own.incarnation,
            "ready": self._state is not None and not self._is_leaving,
            "leaving": self._is_leaving,
            "live_vms": sorted(vm.name for vm in self._cluster.live_vms(now_s)),
            "version": 0 if self._state is None else self._state.version,
        }
