"""A deployment on real loopback sockets: a store, targets that follow a script, and entry VMs."""

from __future__ import annotations

import os
import tomllib
from collections.abc import Awaitable
from collections.abc import Callable
from random import Random
from typing import Any

import curio
from attrs import define
from attrs import field
from cut_vms import relay_all

from siskinward.coordination.steering.fleet import VmState
from siskinward.daemon.entry.process import EntryProcess
from siskinward.platform._headers import HEADERS
from siskinward.platform._settings import decode_settings
from siskinward.platform.adapter import PlatformAdapter
from siskinward.platform.standins import FRONT_PORT
from siskinward.platform.standins import HOST_NAME
from siskinward.platform.standins import OperatorConfiguration
from siskinward.platform.standins import RunRecord
from siskinward.platform.standins import StoreStandIn
from siskinward.platform.standins import TargetStandIn
from siskinward.platform.standins import create_configuration
from siskinward.platform.standins import render_settings
from siskinward.platform.standins._settings_text import STORE_PORT
from siskinward.transport.clock import read_clock_s
from siskinward.transport.decision_log import DecisionLog
from siskinward.transport.decision_log import LogSettings
from siskinward.transport.http_messages import HttpRequest
from siskinward.transport.http_messages import HttpResponse
from siskinward.transport.outbound_connection import OutboundConnection
from siskinward.transport.sockets import reset_on_close

# Runs of other workers and of the soak use other addresses.
HOST_PREFIX = f"127.240.{os.getpid() % 250}"
TARGET_PORT = 8080
ZONES = {"bud-a": "budapest"}
START_LIMIT_S = 10.0
CALL_TIMEOUT_S = 10.0
# More than the requests of any scenario at once.
SLOTS = 64


@define(eq=False)
class TargetConnection:
    """A caller's connection to a scripted target; ``refusal`` is the last one written on it."""

    sock: Any
    refusal: bytes = b""
    _buffer: bytes = b""

    async def read(self) -> HttpRequest | None:
        """Read a request; None at the end of the connection."""
        while b"\r\n\r\n" not in self._buffer:
            data = await self.sock.recv(65536)
            if not data:
                return None
            self._buffer += data
        head, _, rest = self._buffer.partition(b"\r\n\r\n")
        start, *lines = head.split(b"\r\n")
        pairs = [line.split(b":", 1) for line in lines]
        headers = tuple((name.strip().lower(), value.strip()) for name, value in pairs)
        length = int(dict(headers).get(b"content-length", b"0"))
        while len(rest) < length:
            rest += await self.sock.recv(65536)
        self._buffer = rest[length:]
        method, path, _ = start.decode().split(" ")
        return HttpRequest(method, path, headers, rest[:length])

    async def write(self, data: bytes) -> None:
        """Write bytes as they are."""
        await self.sock.sendall(data)

    async def refuse(self, data: bytes) -> None:
        """Write a refusal, and keep it to be written once more."""
        self.refusal = data
        await self.write(data)

    async def end(self, *, resets: bool = False) -> None:
        """Close or reset the connection."""
        if resets:
            reset_on_close(self.sock)
        await self.sock.close()


Script = Callable[["ScriptedTarget", TargetConnection, HttpRequest], Awaitable[None]]


@define(eq=False)
class ScriptedTarget(TargetStandIn):
    """A target whose ``script`` answers each request, probes aside."""

    script: Script | None = None

    def begin_run(self, request: HttpRequest) -> None:
        """Record that a request runs."""
        attempt_id = (request.header(HEADERS.attempt_id) or b"").decode()
        self.runs.append(RunRecord(attempt_id, request.target, "", "", 0, read_clock_s()))

    def success_headers(self, request: HttpRequest) -> bytes:
        """Return the header lines of a success, without its framing."""
        attempt_id = request.header(HEADERS.attempt_id)
        echo = b"" if attempt_id is None else b"X-Attempt-Id: %b\r\n" % attempt_id
        return echo + b"X-Response-Signature: %b\r\n" % self.name.encode()

    def success(self, request: HttpRequest, body: bytes = b"done") -> bytes:
        """Return a success with a length."""
        headers = self.success_headers(request)
        return b"HTTP/1.1 200 OK\r\n%bContent-Length: %d\r\n\r\n%b" % (headers, len(body), body)

    async def _serve_connection(self, sock: Any) -> None:
        connection = TargetConnection(sock)
        try:
            async with sock:
                while (request := await connection.read()) is not None:
                    await self._answer(connection, request)
        except OSError:
            # The VM has closed the connection, or the script has.
            return
        finally:
            self._sockets.discard(sock)

    async def _answer(self, connection: TargetConnection, request: HttpRequest) -> None:
        if request.target == "/health":
            await connection.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
            return
        assert self.script is not None
        await self.script(self, connection, request)


async def run_together(*calls: tuple[Any, ...]) -> None:
    """Run calls at once and wait for all; raises ``curio.TaskError`` if one fails."""
    tasks = [await curio.spawn(*call) for call in calls]
    for task in tasks:
        await task.join()


def refusal(request: HttpRequest, *, echoes: bool = True) -> bytes:
    """Return a refusal that states that the request did not run; its id comes last."""
    attempt_id = request.header(HEADERS.attempt_id)
    echo = b"X-Attempt-Id: %b\r\n" % attempt_id if attempt_id is not None and echoes else b""
    return (
        b"HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n"
        b"X-Note: full\r\n" + echo + b"\r\n"
    )


@define
class LoopbackSite:
    """The deployment; ``targets`` of each service follow one script."""

    store: StoreStandIn = field(factory=lambda: StoreStandIn(f"{HOST_PREFIX}.200", STORE_PORT))
    configuration: OperatorConfiguration = field(
        factory=lambda: create_configuration(("listings", "bookings"), 0.0, 0.0)
    )
    targets: list[ScriptedTarget] = field(factory=list)
    vms: list[EntryProcess] = field(factory=list)
    logs: list[bytearray] = field(factory=list)
    bounds: tuple[str, ...] = ()
    _attempts: int = 0

    async def start(self, script: Script, *, vms: int = 1, targets: int = 1) -> None:
        """Start everything and wait until the VMs are ready and know one another."""
        await curio.spawn(self.store.run, daemon=True)
        await self.store.publish(self.configuration)
        for number in range(2 * targets):
            service = ("listings", "bookings")[number % 2]
            host = f"{HOST_PREFIX}.{100 + number}"
            target = ScriptedTarget(f"t-{number}", service, host, TARGET_PORT, "bud-a", SLOTS)
            target.script = script
            self.targets.append(target)
            await target.start()
            await self.store.report(target)
        for number in range(vms):
            await self._start_vm(number)
        async with curio.timeout_after(START_LIMIT_S):
            while not all(self._is_started(vm, vms) for vm in self.vms):
                await curio.sleep(0.05)

    async def stop(self) -> None:
        """Stop everything."""
        for vm in self.vms:
            await vm.kill()
        for target in self.targets:
            await target.crash()

    def request(
        self, path: str, *, attempt_id: str | None = "", time_left_s: float = 3.0
    ) -> HttpRequest:
        """Return a caller's request; an empty ``attempt_id`` gives it a new one, None has none."""
        self._attempts += 1
        headers = [(b"host", HOST_NAME.encode()), (b"authorization", b"Bearer key-1")]
        headers.append((HEADERS.time_left_ms, str(int(time_left_s * 1000)).encode()))
        if attempt_id is not None:
            value = attempt_id or f"attempt-{self._attempts:05}"
            headers.append((HEADERS.attempt_id, value.encode()))
        method = "POST" if path.startswith("/bookings/") else "GET"
        return HttpRequest(method, path, tuple(headers))

    async def send(self, request: HttpRequest, vm: int = 0) -> HttpResponse:
        """Send a request to a VM on a new connection; raises ``ExchangeFailedError``."""
        connection = OutboundConnection(self.front_host(vm), FRONT_PORT)
        await connection.connect(1.0)
        try:
            return await connection.exchange(request, CALL_TIMEOUT_S)
        finally:
            await connection.close()

    def front_host(self, vm: int) -> str:
        """Return the host of a VM."""
        return self.vms[vm].steering.entry.host

    def runs(self, path: str) -> int:
        """Return how often requests for a path ran, at all targets."""
        return sum(run.path == path for target in self.targets for run in target.runs)

    async def _start_vm(self, number: int) -> None:
        name, host = f"vm-{number}", f"{HOST_PREFIX}.{number + 1}"
        text = render_settings(name, host, "bud-a", ZONES, f"{HOST_PREFIX}.200", self.bounds)
        settings = decode_settings(tomllib.loads(text))
        lines = bytearray()
        self.logs.append(lines)

        def write(data: bytes) -> int:
            lines.extend(data)
            return len(data)

        log = DecisionLog(LogSettings(), name, write)
        vm = EntryProcess(settings, PlatformAdapter(), _NoSource(), log, Random(number))
        self.vms.append(vm)
        await vm.start()

    def _is_started(self, vm: EntryProcess, vms: int) -> bool:
        fleet = vm.steering.fleet
        is_known = len(vm.steering.targets.all()) == len(self.targets)
        return is_known and fleet.state is VmState.READY and len(fleet.ready(read_clock_s())) == vms


class _NoSource:
    """Settings that never change."""

    def read(self) -> Any:
        raise NotImplementedError

    def has_changed(self) -> bool:
        return False


def run_loopback_site(
    scenario: Callable[[LoopbackSite], Awaitable[None]],
    script: Script,
    *,
    vms: int = 1,
    targets: int = 1,
    bounds: tuple[str, ...] = (),
    relays: bool = False,
) -> None:
    """Run a scenario against a deployment on real sockets, in real time.

    If ``relays``, there is a VM more, through which the first sends all its requests.
    """

    async def main() -> None:
        site = LoopbackSite(bounds=bounds)
        try:
            await site.start(script, vms=vms + relays, targets=targets)
            if relays:
                relay_all(site.vms[0])
            await scenario(site)
        finally:
            await site.stop()

    curio.run(main)
