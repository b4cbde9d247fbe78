"""Requests that come late in a planned stop get a whole answer or a refusal (real sockets)."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

import curio
from attrs import define
from loopback_site import LoopbackSite
from loopback_site import ScriptedTarget
from loopback_site import TargetConnection
from loopback_site import run_loopback_site
from loopback_site import run_together

from siskinward.platform.standins import FRONT_PORT
from siskinward.transport.client_protocol import encode_request
from siskinward.transport.clock import read_clock_s
from siskinward.transport.outbound_connection import OutboundConnection
from siskinward.transport.sockets import connect

if TYPE_CHECKING:
    from siskinward.transport.http_messages import HttpRequest

import h11

GRACE_S = 4.0
BOUNDS = (f"grace={GRACE_S:.0f}s",)
WORK_S = 1.8
# The platform's slack for a request that a stopping VM does not answer.
AT_ONCE_S = 0.2
REFUSED = 503
ANSWERS = {200, REFUSED}


@define
class Result:
    """What a caller got: all bytes until the connection ended, and after how long the first."""

    data: bytes
    first_s: float

    @property
    def statuses(self) -> list[int]:
        """Statuses of the answers, which are whole if their bodies are."""
        return [int(part[:3]) for part in self.data.split(b"HTTP/1.1 ")[1:]]


async def work(target: ScriptedTarget, connection: TargetConnection, request: HttpRequest) -> None:
    """Run a request; the work takes as long as its path says, or ``WORK_S``."""
    target.begin_run(request)
    part = request.target.split("/")[2]
    await curio.sleep(float(part) if part[0].isdigit() else WORK_S)
    await connection.write(target.success(request))


def raw(request: HttpRequest) -> bytes:
    """Encode a request."""
    return encode_request(h11.Connection(h11.CLIENT), request, request.headers)


async def begin_upload(site: LoopbackSite, request: HttpRequest) -> Any:
    """Send a booking but for the last four of its eight bytes; return the socket."""
    sock = await connect(site.front_host(0), FRONT_PORT)
    head = raw(request).replace(b"content-length: 0", b"Content-Length: 8")
    await sock.sendall(head + b"1234")
    return sock


async def read_to_end(sock: Any) -> Result:
    """Read until the connection ends; a reset ends it too."""
    started_s, first_s, data = read_clock_s(), -1.0, b""
    try:
        while piece := await sock.recv(65536):
            data += piece
            first_s = read_clock_s() - started_s if first_s < 0 else first_s
    except OSError:
        # What had arrived counts.
        pass
    return Result(data, first_s)


async def stop(site: LoopbackSite, after_s: float, vm: int = 0) -> None:
    """Stop a VM as its process does on SIGTERM, which ends with the process."""
    await curio.sleep(after_s)
    await site.vms[vm].shut_down()
    await site.vms[vm].kill()


def test_request_on_a_kept_connection_late_in_a_stop_is_answered_whole_or_refused_at_once() -> None:
    async def open_used(site: LoopbackSite) -> OutboundConnection:
        connection = OutboundConnection(site.front_host(0), FRONT_PORT)
        await connection.connect(1.0)
        await connection.exchange(site.request("/listings/0.01"), 2.0)
        return connection

    async def call(
        site: LoopbackSite, connection: OutboundConnection, at_s: float, outcomes: list[int]
    ) -> None:
        await curio.sleep(at_s)
        if not connection.is_reusable(read_clock_s()):
            return
        request, sent_s = site.request(f"/bookings/late/{at_s}"), read_clock_s()
        response = await connection.exchange(request, 5.0)
        outcomes.append(response.status)
        assert response.status in ANSWERS
        if response.status == REFUSED:
            assert read_clock_s() - sent_s <= AT_ONCE_S
            assert response.header(b"retry-after") is not None
            assert site.runs(request.target) == 0

    async def scenario(site: LoopbackSite) -> None:
        outcomes: list[int] = []
        connections = [await open_used(site) for _ in range(12)]
        calls = [
            (call, site, connection, 0.2 + 0.2 * number, outcomes)
            for number, connection in enumerate(connections)
        ]
        await run_together((stop, site, 0.1), *calls)
        assert set(outcomes) == ANSWERS

    run_loopback_site(scenario, work, bounds=BOUNDS)


def test_upload_that_ends_late_in_a_stop_is_answered_whole_or_refused_at_once() -> None:
    async def upload(site: LoopbackSite, for_s: float, results: list[Result]) -> None:
        request = site.request(f"/bookings/late/{for_s}")
        sock = await begin_upload(site, request)
        await curio.sleep(for_s)
        await sock.sendall(b"5678")
        result = await read_to_end(sock)
        results.append(result)
        assert len(result.statuses) == 1, for_s
        assert result.statuses[0] in ANSWERS
        if result.statuses[0] == REFUSED:
            assert result.first_s <= AT_ONCE_S
            assert site.runs(request.target) == 0

    async def scenario(site: LoopbackSite) -> None:
        results: list[Result] = []
        durations_s = (0.5, 1.5, 2.3, 2.5, 2.7, 3.0, 3.3)
        calls = [(upload, site, for_s, results) for for_s in durations_s]
        await run_together((stop, site, 0.1), *calls)
        assert len(results) == 7

    run_loopback_site(scenario, work, bounds=BOUNDS)


def test_upload_that_does_not_end_within_a_stop_is_refused() -> None:
    async def scenario(site: LoopbackSite) -> None:
        request = site.request("/bookings/never")
        sock = await begin_upload(site, request)
        stopping = await curio.spawn(stop, site, 0.1)
        result = await read_to_end(sock)
        await stopping.join()
        assert result.statuses == [REFUSED]
        assert site.runs(request.target) == 0

    run_loopback_site(scenario, work, bounds=BOUNDS)


def test_pipelined_requests_late_in_a_stop_are_answered_whole_or_follow_a_closing_answer() -> None:
    async def call(site: LoopbackSite, after_s: float, at_s: float, results: list[Result]) -> None:
        await curio.sleep(after_s)
        sock = await connect(site.front_host(0), FRONT_PORT)
        await sock.sendall(raw(site.request("/listings/1.5")))
        await curio.sleep(at_s)
        requests = [site.request(f"/listings/0.4/{after_s}/{at_s}/{number}") for number in range(3)]
        await sock.sendall(b"".join(raw(request) for request in requests))
        result = await read_to_end(sock)
        results.append(result)
        assert set(result.statuses) <= ANSWERS
        *others, last = result.data.split(b"HTTP/1.1 ")[1:]
        assert b"connection: close" in last
        assert not any(b"connection: close" in other for other in others)
        # What a target ran is answered; the rest follows the closing answer.
        answered = len(others)
        assert sum(site.runs(request.target) for request in requests) <= answered

    async def scenario(site: LoopbackSite) -> None:
        results: list[Result] = []
        calls = [(call, site, 0.0, at_s, results) for at_s in (0.5, 1.0, 1.5, 1.8)]
        calls += [(call, site, 1.6, at_s, results) for at_s in (0.2, 0.5, 1.0, 1.7)]
        await run_together((stop, site, 0.9), *calls)
        assert len(results) == 8

    run_loopback_site(scenario, work, bounds=BOUNDS)


def test_request_that_waits_unread_when_a_stop_closes_idle_connections_is_answered() -> None:
    async def scenario(site: LoopbackSite) -> None:
        sock = await connect(site.front_host(0), FRONT_PORT)
        await sock.sendall(raw(site.request("/listings/0.01")))
        await sock.recv(65536)
        front = site.vms[0]._front
        front.is_shutting_down = True
        # Within one step of the loop, so that the VM's task has no chance to read.
        sock._socket.send(raw(site.request("/listings/0.02")))
        [connection] = front._connections
        await connection.close_if_idle()
        result = await read_to_end(sock)
        assert len(result.statuses) == 1
        assert set(result.statuses) <= ANSWERS

    run_loopback_site(scenario, work, bounds=BOUNDS)


def test_request_at_work_when_a_stop_ends_gets_an_answer() -> None:
    async def scenario(site: LoopbackSite) -> None:
        for name in ("r-bookings", "r-listings"):
            site.configuration.spec("routes", name)["timeout"] = "20000ms"
        await site.store.publish(site.configuration)
        await curio.sleep(1.0)
        sock = await connect(site.front_host(0), FRONT_PORT)
        await sock.sendall(raw(site.request("/bookings/9.0", time_left_s=10.0)))
        stopping = await curio.spawn(stop, site, 0.1)
        result = await read_to_end(sock)
        await stopping.join()
        assert result.statuses == [502]

    run_loopback_site(scenario, work, bounds=BOUNDS)


def test_request_relayed_late_in_a_stop_is_sent_through_another_vm() -> None:
    async def call(site: LoopbackSite, at_s: float) -> None:
        await curio.sleep(at_s)
        request = site.request(f"/bookings/late/{at_s}")
        assert (await site.send(request)).status == 200
        assert site.runs(request.target) == 1

    async def scenario(site: LoopbackSite) -> None:
        # The asking VM has not heard that the other one leaves, and asks it first.
        stopping, asking = site.vms[1].steering.fleet.own.vm, site.vms[0].steering.paths
        relays = asking.relays
        known = list(site.vms[0].steering.fleet.ready(read_clock_s()))

        def stopping_first(*args: Any) -> Any:
            first = [vm for vm in known if vm.vm == stopping]
            return first + [vm for vm in relays(*args) if vm.vm != stopping]

        asking.relays = stopping_first  # type: ignore[method-assign]
        calls = [(call, site, 0.3 * number) for number in range(12)]
        await run_together((stop, site, 0.0, 1), *calls)
        assert site.vms[1].relayed_count > 0

    run_loopback_site(scenario, work, vms=2, bounds=BOUNDS, relays=True)
