"""An answer that ends early is never passed on as complete (real sockets)."""

from __future__ import annotations

from enum import Enum
from typing import Any

import curio
import pytest
from fakes.raw_server import HOST
from fakes.raw_server import start_raw_server
from loopback_site import LoopbackSite
from loopback_site import ScriptedTarget
from loopback_site import TargetConnection
from loopback_site import run_loopback_site

from siskinward.transport.answer_memory import AnswerLimits
from siskinward.transport.answer_memory import AnswerMemory
from siskinward.transport.http_messages import HttpRequest
from siskinward.transport.outbound_connection import ExchangeFailedError
from siskinward.transport.outbound_connection import OutboundConnection

BODY = b"0123456789"
READ = HttpRequest("GET", "/", ((b"host", b"h"),))


class Framing(Enum):
    """How an answer's body ends."""

    LENGTH = "length"
    CHUNKED = "chunked"
    CLOSED = "closed"


def encode_answer(target: ScriptedTarget, request: HttpRequest, framing: Framing) -> bytes:
    """Return a success; its framing comes first in the head, or its id and signature do."""
    lines = target.success_headers(request)
    match framing:
        case Framing.LENGTH:
            frame, body = b"Content-Length: 10\r\n", BODY
        case Framing.CHUNKED:
            frame, body = b"Transfer-Encoding: chunked\r\n", b"a\r\n" + BODY + b"\r\n0\r\n\r\n"
        case Framing.CLOSED:
            frame, body = b"", BODY
    head = frame + lines if request.target.endswith("first") else lines + frame
    return b"HTTP/1.1 200 OK\r\n" + head + b"\r\n" + body


def ending_script(framing: Framing, *, resets: bool) -> Any:
    """Return a script that ends its answer after as many bytes as the path says."""

    async def script(
        target: ScriptedTarget, connection: TargetConnection, request: HttpRequest
    ) -> None:
        target.begin_run(request)
        size = int(request.target.split("/")[2])
        data = encode_answer(target, request, framing)[:size]
        if data:
            await connection.write(data)
        if resets:
            # Bytes that were not read yet may be lost with the connection.
            await curio.sleep(0.002)
        await connection.end(resets=resets)

    return script


@pytest.mark.parametrize("relays", [False, True], ids=["own", "relayed"])
@pytest.mark.parametrize("resets", [False, True], ids=["closed", "reset"])
@pytest.mark.parametrize("framing", Framing, ids=lambda framing: framing.value)
def test_answer_that_stops_at_any_byte_is_never_a_success(
    framing: Framing, resets: bool, relays: bool
) -> None:
    async def scenario(site: LoopbackSite) -> None:
        for order in ("first", "last"):
            request = site.request(f"/bookings/0/{order}")
            answer = encode_answer(site.targets[1], request, framing)
            # A body without a length may end anywhere, unless the connection is reset.
            is_open = framing is Framing.CLOSED and not resets
            sizes = len(answer) - len(BODY) if is_open else len(answer)
            for size in range(sizes):
                response = await site.send(site.request(f"/bookings/{size}/{order}"))
                assert response.status == 502, (size, answer[:size])
        assert all(len(target.runs) in (0, 2 * sizes) for target in site.targets)

    run_loopback_site(scenario, ending_script(framing, resets=resets), relays=relays)


def run_with_server(handler: Any, scenario: Any) -> None:
    """Run a scenario with the port of a server on a real socket, in real time."""

    async def main() -> None:
        port, task = await start_raw_server(handler)
        await scenario(port)
        await task.cancel()

    curio.run(main)


async def begin_answer_without_length(sock: Any) -> None:
    """Answer half of a body that has no length, and wait."""
    await sock.recv(65536)
    await sock.sendall(b"HTTP/1.1 200 OK\r\n\r\n" + BODY[:5])
    await curio.sleep(1.0)


def test_answer_without_a_length_that_the_vm_gives_up_fails() -> None:
    async def scenario(port: int) -> None:
        connection = OutboundConnection(HOST, port)
        await connection.connect(1.0)
        exchange = await curio.spawn(connection.exchange, READ, 2.0)
        await curio.sleep(0.1)
        await connection.fail()
        with pytest.raises(curio.TaskError) as caught:
            await exchange.join()
        assert isinstance(caught.value.__cause__, ExchangeFailedError)

    run_with_server(begin_answer_without_length, scenario)


def test_answer_without_a_length_that_makes_room_in_memory_fails() -> None:
    memory = AnswerMemory(AnswerLimits(total_bytes=8, min_piece_bytes=1))

    async def receive(connection: OutboundConnection) -> None:
        async with memory.open_share(connection.fail) as share:
            await connection.exchange(READ, 2.0, share)

    async def scenario(port: int) -> None:
        connection = OutboundConnection(HOST, port)
        await connection.connect(1.0)
        exchange = await curio.spawn(receive, connection)
        await curio.sleep(0.1)
        async with memory.open_share(curio.sleep) as other:
            growing = await curio.spawn(other.add_piece, 4)
            with pytest.raises(curio.TaskError) as caught:
                await exchange.join()
            await growing.join()
        assert isinstance(caught.value.__cause__, ExchangeFailedError)

    run_with_server(begin_answer_without_length, scenario)
