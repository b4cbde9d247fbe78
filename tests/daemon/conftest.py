"""A small deployment on loopback: platform, targets and nodes in one kernel, on free ports."""

from __future__ import annotations

import hashlib
import json
import random
import socket
from typing import TYPE_CHECKING
from typing import Any

import curio
import msgpack
import pytest
from attrs import define
from attrs import field

from siskinward.daemon.node import Node
from siskinward.standins.platform import PlatformStandin
from siskinward.standins.target import TargetStandin
from siskinward.standins.target import TargetStandinSettings
from siskinward.state.configuration import parse_configuration
from siskinward.state.settings import parse_settings
from siskinward.transport.http_client import HttpClientConnection
from siskinward.transport.http_messages import HttpRequest
from siskinward.transport.http_messages import HttpResponse
from siskinward.transport.platform_client import object_hash

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

HOST = "127.0.0.1"
SECRET = "a secret of the test deployment"
WAIT_LIMIT_S = 60.0
MINT_SETTLING_S = 5.0


def free_ports(count: int) -> list[int]:
    """Reserve ports for a moment, so that they differ from one another."""
    sockets = [socket.socket() for _ in range(count)]
    for sock in sockets:
        sock.bind((HOST, 0))
    ports = [sock.getsockname()[1] for sock in sockets]
    for sock in sockets:
        sock.close()
    return ports


def key_hash(text: str) -> str:
    return hashlib.blake2b(text.encode(), digest_size=32).hexdigest()


def _is_settled(health: dict[str, Any]) -> bool:
    """The VM knows the other one, and both owned targets of its domain are leased to it."""
    return bool(health["ready"]) and len(health["live_vms"]) == 2 and health["owned_targets"] == 2


@define
class Deployment:
    """Two regions with a failure domain each; one VM and one target a service in each."""

    kernel: Any
    ports: list[int] = field(factory=lambda: free_ports(12))
    platform: PlatformStandin = field(factory=PlatformStandin)
    targets: dict[str, TargetStandin] = field(factory=dict)
    nodes: dict[str, Node] = field(factory=dict)
    tasks: list[Any] = field(factory=list)
    stops: dict[str, curio.Event] = field(factory=dict)
    node_tasks: dict[str, Any] = field(factory=dict)
    cut_vms: set[str] = field(factory=set)
    version: int = 0

    @property
    def vm_ports(self) -> dict[str, int]:
        return {"vm-a": self.ports[1], "vm-b": self.ports[3]}

    def configuration_text(self, *, keys: tuple[str, ...] = ("alpha", "beta")) -> str:
        p = self.ports
        lines = ["[region north]", "[region south]"]
        lines += ["[failure-domain a]", "region = north", "[failure-domain b]", "region = south"]
        for vm, domain, front, peer in (("vm-a", "a", p[1], p[2]), ("vm-b", "b", p[3], p[4])):
            lines += [f"[vm {vm}]", f"failure_domain = {domain}", f"host = {HOST}"]
            lines += [f"front_port = {front}", f"peer_port = {peer}"]
        for service, kind in (("listings", "read"), ("bookings", "order")):
            lines += [f"[service {service}]", f"service_class = {kind}", "timeout_s = 3"]
        lines += ["[route listings]", "service = listings", "path_prefix = /listings"]
        lines += ["methods = GET"]
        lines += ["[route open]", "service = listings", "path_prefix = /open", "methods = GET"]
        lines += ["access = open"]
        lines += ["[route bookings]", "service = bookings", "path_prefix = /bookings"]
        lines += ["methods = POST", "idempotent = no"]
        for index, (service, domain) in enumerate(self.groups()):
            lines += [f"[target-group {service}-{domain}]", f"service = {service}"]
            lines += [f"failure_domain = {domain}"]
            lines += [f"[target {service}-{domain}-1]", f"group = {service}-{domain}"]
            lines += [f"host = {HOST}", f"port = {p[5 + index]}", "slots = 3"]
            lines += ["connection_limit = 50"]
        for account in ("alpha", "beta"):
            lines += [f"[client-account {account}]", "rate_per_s = 50", "burst_tokens = 100"]
        for account in keys:
            lines += [f"[key {account}-1]", f"client_account = {account}"]
            lines += [f"key_hash_hex = {key_hash('demo-' + account)}"]
        return "\n".join(lines) + "\n"

    def groups(self) -> list[tuple[str, str]]:
        return [(s, d) for s in ("listings", "bookings") for d in ("a", "b")]

    async def start(self) -> None:
        await self.spawn(self.platform.serve, HOST, self.ports[0])
        for index, (service, domain) in enumerate(self.groups()):
            name = f"{service}-{domain}-1"
            settings = TargetStandinSettings(name, 3, service_time_s=0.002, cold_requests=0)
            self.targets[name] = TargetStandin(settings, random.Random(index))
            await self.spawn(self.targets[name].serve, HOST, self.ports[5 + index])
        self.publish(self.configuration_text())
        await self.start_node("vm-a", "a", self.ports[1], self.ports[2])
        await self.start_node("vm-b", "b", self.ports[3], self.ports[4])
        for vm in self.vm_ports:
            await self.wait_for(vm, _is_settled)
        await curio.sleep(MINT_SETTLING_S)

    async def start_node(self, vm: str, domain: str, front_port: int, peer_port: int) -> None:
        text = (
            f"[node]\nvm = {vm}\nfailure_domain = {domain}\nhost = {HOST}\n"
            f"front_port = {front_port}\npeer_port = {peer_port}\n"
            f"[platform]\nhost = {HOST}\nport = {self.ports[0]}\n"
            f"[peers]\nshared_secret = {SECRET}\n[limits]\nlook_up_ttl_s = 0.2\n"
        )
        node = Node(parse_settings(text, "test").ok, await curio.clock())
        self._make_cuttable(vm, node)
        self.nodes[vm] = node
        self.stops[vm] = curio.Event()
        self.node_tasks[vm] = await curio.spawn(node.serve, self.stops[vm].wait, daemon=True)

    def _make_cuttable(self, vm: str, node: Node) -> None:
        """Lose messages to and from the VMs in ``cut_vms``."""
        send = node._parts.hub.send

        async def send_unless_cut(to: Any, message: Any) -> bool:
            if to != vm and self.cut_vms & {vm, to}:
                return True
            return await send(to, message)

        node._parts.hub.send = send_unless_cut  # type: ignore[method-assign]

    async def kill(self, vm: str) -> None:
        """End a VM's process at once, with all of its connections."""
        await self.node_tasks.pop(vm).cancel()

    async def restart(self, vm: str) -> None:
        """Start a new process of a VM that was killed."""
        front_port = self.vm_ports[vm]
        peer_port = self.ports[self.ports.index(front_port) + 1]
        await self.start_node(vm, vm.removeprefix("vm-"), front_port, peer_port)

    async def tickets(self, vm: str, count: int) -> list[str]:
        response = await self.call(vm, "GET", f"/lookup?service=bookings&tickets={count}")
        assert response is not None
        return list(json.loads(response.body)["tickets"])

    async def book(self, vm: str, ticket: str, body: bytes = b"{}") -> HttpResponse | None:
        headers = ((b"idempotency-key", ticket.encode()),)
        return await self.call(
            vm, "POST", "/bookings/x", account="alpha", body=body, headers=headers
        )

    def booking_runs(self) -> list[int]:
        """How often each booking that reached a target ran."""
        targets = [t for name, t in self.targets.items() if name.startswith("bookings")]
        return [count for target in targets for count in target.runs_by_id.values()]

    async def spawn(self, call: Any, *args: Any) -> None:
        self.tasks.append(await curio.spawn(call, *args, daemon=True))

    def publish(self, text: str) -> None:
        """Write a configuration as the publisher does."""
        assert parse_configuration(text, "test").is_ok(), parse_configuration(text, "test")
        self.version += 1
        content = text.encode()
        self.platform.objects[object_hash(content)] = content
        pointer = {
            "version": self.version,
            "content_hash": object_hash(content),
            "publish_id": f"p{self.version}",
            "previous_hash": "",
            "published_at_s": 0.0,
        }
        self.platform.rows["configuration"] = (self.version, msgpack.packb(pointer))

    async def wait_for(self, vm: str, condition: Any) -> None:
        async with curio.timeout_after(WAIT_LIMIT_S):
            while True:
                response = await self.call(vm, "GET", "/health")
                if response is not None and condition(json.loads(response.body)):
                    return
                await curio.sleep(0.02)

    async def call(
        self,
        vm: str,
        method: str,
        path: str,
        *,
        account: str | None = None,
        body: bytes = b"",
        headers: tuple[tuple[bytes, bytes], ...] = (),
    ) -> HttpResponse | None:
        """Send one request on a connection of its own; None when there was no answer."""
        connection = HttpClientConnection(HOST, self.vm_ports[vm])
        if account is not None:
            headers = (*headers, (b"authorization", f"Bearer demo-{account}".encode()))
        request = HttpRequest(method, path, headers, body)
        result = await connection.exchange(request, WAIT_LIMIT_S)
        await connection.close()
        return result.ok if result.is_ok() else None

    async def stop(self) -> None:
        for task in [*self.node_tasks.values(), *self.tasks]:
            await task.cancel()

    def run(self, body: Callable[[], Awaitable[Any]]) -> None:
        """Start everything on the paused clock, run ``body``, stop everything."""

        async def main() -> None:
            await self.start()
            try:
                await body()
            finally:
                await self.stop()

        self.kernel.run(main)


@pytest.fixture
def deployment(paused_kernel: Any) -> Deployment:
    """A deployment that a test runs on the paused clock, over real sockets."""
    return Deployment(paused_kernel)
