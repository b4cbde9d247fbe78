"""Runs a deployment in one kernel: real nodes, with stand-ins for the platform and the targets.

Messages between VMs are delayed by the configured one-way latencies. Failure domains can be cut
off; VMs can be killed, restarted and paused.
"""

from __future__ import annotations

import json
import random
import socket
from typing import TYPE_CHECKING
from typing import Any

import attrs
import curio
from attrs import define
from attrs import field
from attrs import frozen
from expression import Error

from siskinward.coordination.publisher import Publisher
from siskinward.coordination.publisher import PublisherSettings
from siskinward.coordination.publisher import PublishStamp
from siskinward.coordination.publishing import Accepted
from siskinward.daemon.node import Node
from siskinward.standins.platform import PlatformStandin
from siskinward.standins.target import TargetStandin
from siskinward.standins.target import TargetStandinSettings
from siskinward.state.configuration import diff_configurations
from siskinward.state.identifiers import VmName
from siskinward.state.objects import Configuration
from siskinward.state.settings import LimitSettings
from siskinward.state.settings import NodeSettings
from siskinward.state.settings import PeerSettings
from siskinward.state.settings import PlatformSettings
from siskinward.state.settings import VmSettings
from siskinward.transport.clock import read_clock_s
from siskinward.transport.http_client import ExchangeError
from siskinward.transport.http_client import ExchangePhase
from siskinward.transport.http_client import HttpClientConnection
from siskinward.transport.http_messages import HttpRequest
from siskinward.transport.platform_client import PlatformClient

if TYPE_CHECKING:
    from collections.abc import Callable

    from siskinward.state.objects import Vm
    from siskinward.transport.http_messages import Headers
    from siskinward.transport.http_messages import HttpResponse

HOST = "127.0.0.1"
SHARED_SECRET = "a secret of the stand-in deployment"
SETTLED_LIMIT_S = 60.0
ISSUER_SETTLING_S = 5.0
POLL_S = 0.05
CALL_TIMEOUT_S = 60.0
MS_PER_S = 1000.0
UNLINKED_LATENCY_MS = 20.0


@frozen
class DeploymentSettings:
    """Settings of a deployment.

    ``seed`` seeds all random numbers; ``has_latency`` delays messages between failure domains.
    """

    seed: int = 1
    service_time_s: float = 0.02
    cold_requests: int = 0
    has_latency: bool = True
    look_up_ttl_s: float = 2.0


@define
class _RunningVm:
    node: Node
    task: Any
    stop: Any
    resumed: Any


@define
class Deployment:
    """Nodes and stand-ins of one configuration, which is changed to free ports on loopback."""

    settings: DeploymentSettings
    configuration: Configuration
    platform: PlatformStandin = field(factory=PlatformStandin)
    targets: dict[str, TargetStandin] = field(factory=dict)
    vms: dict[str, _RunningVm] = field(factory=dict)
    cut_domains: set[str] = field(factory=set)
    """Failure domains that exchange no messages with other domains."""
    platform_cut_domains: set[str] = field(factory=set)
    """Failure domains whose VMs cannot reach the platform."""
    platform_port: int = 0
    _tasks: list[Any] = field(factory=list)
    _publish_count: int = 0
    _start_count: int = 0

    async def start(self) -> None:
        """Start everything and wait until all targets are owned and share issuers have settled."""
        await self.start_targets()
        await self.publish(self.configuration)
        for name in self.configuration.vms:
            await self.start_vm(name)
        await self.wait_until(self._is_settled)
        await curio.sleep(ISSUER_SETTLING_S)

    async def start_targets(self) -> None:
        """Start only the platform and the targets, on free ports."""
        ports = iter(_free_ports(1 + 2 * len(self.configuration.vms) + len(self._target_names())))
        self.platform_port = next(ports)
        self.configuration = _with_ports(self.configuration, ports)
        await self._spawn(self.platform.serve, HOST, self.platform_port)
        for number, name in enumerate(self._target_names()):
            await self._start_target(name, number)
        await curio.sleep(POLL_S)

    async def stop(self) -> None:
        """Kill all VMs and stop the stand-ins."""
        for name in list(self.vms):
            await self.kill_vm(name)
        for task in self._tasks:
            await task.cancel()

    async def start_vm(self, name: str) -> None:
        """Start a new process of a VM."""
        vm = self.configuration.vms[VmName(name)]
        self._start_count += 1
        source = random.Random(self.settings.seed * 1000 + self._start_count)
        node = Node(self._node_settings(vm), read_clock_s(), source.randbytes)
        stop = curio.Event()
        running = _RunningVm(node, None, stop, curio.Event())
        await running.resumed.set()
        self._intercept(vm, running)
        running.task = await curio.spawn(node.serve, stop.wait, daemon=True)
        self.vms[name] = running

    async def stop_vm(self, name: str) -> None:
        """Ask a VM to shut down gracefully, without waiting for it."""
        await self.vms[name].stop.set()

    async def kill_vm(self, name: str) -> None:
        """End a VM at once, with all of its connections."""
        running = self.vms.pop(name)
        await running.task.cancel()

    async def pause_vm(self, name: str, duration_s: float) -> None:
        """Hold back a VM's timers and incoming messages for a while, as if it were suspended."""
        running = self.vms[name]
        running.resumed.clear()
        await curio.sleep(duration_s)
        await running.resumed.set()

    async def publish(self, configuration: Configuration) -> None:
        """Publish a configuration as an operator does: as changes to the active one."""
        client = PlatformClient(PlatformSettings(HOST, self.platform_port))
        publisher = Publisher(client, client, curio.sleep, PublisherSettings())
        base = Configuration() if self._publish_count == 0 else self.configuration
        self._publish_count += 1
        stamp = PublishStamp(f"p{self._publish_count}", float(self._publish_count))
        changes = diff_configurations(base, configuration)
        publication = await publisher.publish_changes(changes, stamp)
        if not isinstance(publication, Accepted):
            raise RuntimeError(f"the configuration was not published: {publication}")
        self.configuration = configuration

    async def withdraw_keys(self, account: str) -> None:
        """Withdraw all keys of a client account."""
        keys = self.configuration.keys
        kept = {name: key for name, key in keys.items() if key.client_account != account}
        await self.publish(attrs.evolve(self.configuration, keys=kept))

    async def call(
        self, vm: str, method: str, path: str, headers: Headers = (), body: bytes = b""
    ) -> HttpResponse | None:
        """Send one request on a new connection; return None when there was no answer."""
        declared = self.configuration.vms[VmName(vm)]
        connection = HttpClientConnection(declared.host, declared.front_port)
        result = await connection.exchange(HttpRequest(method, path, headers, body), CALL_TIMEOUT_S)
        await connection.close()
        return result.ok if result.is_ok() else None

    async def health(self, vm: str) -> dict[str, Any]:
        """Return a VM's health report, or an empty one when it does not answer."""
        response = await self.call(vm, "GET", "/health")
        return {} if response is None else dict(json.loads(response.body))

    async def wait_until(self, condition: Callable[[list[dict[str, Any]]], bool]) -> None:
        """Wait until the health reports of all running VMs meet a condition."""
        async with curio.timeout_after(SETTLED_LIMIT_S):
            while not condition([await self.health(name) for name in self.vms]):
                await curio.sleep(POLL_S)

    def _is_settled(self, healths: list[dict[str, Any]]) -> bool:
        owned_count = sum(health.get("owned_targets", 0) for health in healths)
        has_full_membership = all(len(h.get("live_vms", ())) == len(healths) for h in healths)
        return has_full_membership and owned_count == len(self.configuration.targets)

    def _target_names(self) -> list[str]:
        return list(self.configuration.targets)

    async def _start_target(self, name: str, number: int) -> None:
        declared = self.configuration.targets[name]  # type: ignore[index]
        settings = TargetStandinSettings(
            name,
            declared.slots,
            service_time_s=self.settings.service_time_s,
            cold_requests=self.settings.cold_requests,
        )
        target = TargetStandin(settings, random.Random(self.settings.seed * 1000 + number))
        self.targets[name] = target
        await self._spawn(target.serve, declared.host, declared.port)

    async def _spawn(self, call: Any, *args: Any) -> None:
        self._tasks.append(await curio.spawn(call, *args, daemon=True))

    def _node_settings(self, vm: Vm) -> NodeSettings:
        return NodeSettings(
            node=VmSettings(vm.name, vm.failure_domain, vm.host, vm.front_port, vm.peer_port),
            platform=PlatformSettings(HOST, self.platform_port),
            peers=PeerSettings(SHARED_SECRET, self._seeds(vm)),
            limits=LimitSettings(look_up_ttl_s=self.settings.look_up_ttl_s),
        )

    def _seeds(self, vm: Vm) -> tuple[str, ...]:
        others = (other for other in self.configuration.vms.values() if other.name != vm.name)
        return tuple(f"{other.host}:{other.peer_port}" for other in others)

    def _intercept(self, vm: Vm, running: _RunningVm) -> None:
        """Wrap a node's messages, timers and platform calls to inject latency, cuts and pauses."""
        components = running.node.components
        send, deliver, tick = components.hub.send, components.router.deliver, components.router.tick

        async def send_later(to: VmName, message: Any) -> bool:
            latency_s = self._latency_s(vm, to)
            if to != vm.name and self._is_cut(vm, to):
                return True
            if latency_s <= 0:
                return await send(to, message)
            await curio.spawn(self._send_after, latency_s, vm, send, to, message, daemon=True)
            return True

        async def deliver_unless_paused(message: Any, sender: Any) -> bool:
            await running.resumed.wait()
            return await deliver(message, sender)

        async def tick_unless_paused(now_s: float) -> None:
            await running.resumed.wait()
            await tick(read_clock_s())

        exchange = components.platform.pool.exchange

        async def exchange_unless_cut(*args: Any, **keywords: Any) -> Any:
            if vm.failure_domain in self.platform_cut_domains:
                detail = "cut off from the platform"
                return Error(ExchangeError("exchange", "platform", detail, ExchangePhase.CONNECT))
            return await exchange(*args, **keywords)

        components.platform.pool.exchange = exchange_unless_cut  # type: ignore[method-assign]
        components.hub.send = send_later  # type: ignore[method-assign]
        components.router.deliver = deliver_unless_paused  # type: ignore[method-assign]
        components.router.tick = tick_unless_paused  # type: ignore[method-assign]

    async def _send_after(
        self, latency_s: float, vm: Vm, send: Any, to: VmName, message: Any
    ) -> None:
        await curio.sleep(latency_s)
        if not self._is_cut(vm, to):
            await send(to, message)

    def _is_cut(self, vm: Vm, to: VmName) -> bool:
        other = self.configuration.vms[to].failure_domain
        return other != vm.failure_domain and bool(self.cut_domains & {vm.failure_domain, other})

    def _latency_s(self, vm: Vm, to: VmName) -> float:
        if not self.settings.has_latency or to == vm.name:
            return 0.0
        domains = self.configuration.failure_domains
        own = domains[vm.failure_domain]
        other = domains[self.configuration.vms[to].failure_domain]
        if own.name == other.name:
            return 0.0
        if own.region == other.region:
            return self.configuration.regions[own.region].domain_latency_ms / MS_PER_S
        for link in self.configuration.links.values():
            if {link.from_region, link.to_region} == {own.region, other.region}:
                return link.one_way_latency_ms / MS_PER_S
        return UNLINKED_LATENCY_MS / MS_PER_S


def _free_ports(count: int) -> list[int]:
    """Return distinct free ports: all are bound at once before they are released."""
    sockets = [socket.socket() for _ in range(count)]
    for sock in sockets:
        sock.bind((HOST, 0))
    ports = [sock.getsockname()[1] for sock in sockets]
    for sock in sockets:
        sock.close()
    return ports


def _with_ports(configuration: Configuration, ports: Any) -> Configuration:
    vms = {
        name: attrs.evolve(vm, host=HOST, front_port=next(ports), peer_port=next(ports))
        for name, vm in configuration.vms.items()
    }
    targets = {
        name: attrs.evolve(target, host=HOST, port=next(ports))
        for name, target in configuration.targets.items()
    }
    return attrs.evolve(configuration, vms=vms, targets=targets)
