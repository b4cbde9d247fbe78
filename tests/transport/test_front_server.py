"""The front server with callers that send invalid requests, stay idle or disconnect."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

import curio
import pytest

from siskinward.standins.memory_network import MemorySocket
from siskinward.state.serving import CallerLimits
from siskinward.transport.front_server import FrontServer
from siskinward.transport.http_messages import HttpResponse
from siskinward.transport.sockets import connect
from siskinward.transport.sockets import listen

if TYPE_CHECKING:
    from siskinward.transport.front_server import Arrival

HOST, PORT = "10.0.0.1", 80
PIPELINED = b"GET /one HTTP/1.1\r\nHost: h\r\n\r\nGET /two HTTP/1.1\r\nHost: h\r\n\r\n"
LIMITS = CallerLimits(
    header_limit_bytes=400, body_limit_bytes=100, header_timeout_s=3.0, idle_timeout_s=15.0
)


async def start(handler: Any = None) -> FrontServer:
    async def echo(arrival: Arrival) -> HttpResponse:
        return HttpResponse(200, (), arrival.request.target.encode() + arrival.request.body)

    server = FrontServer(handler or echo)
    server.limits = LIMITS
    await curio.spawn(server.serve, listen(HOST, PORT), daemon=True)
    await curio.sleep(0.01)
    return server


async def read_all(sock: Any) -> bytes:
    data = b""
    while piece := await sock.recv(65536):
        data += piece
    return data


@pytest.mark.parametrize(
    ("sent", "status"),
    [
        (b"GET / HTTP/1.1\r\nHost: h\r\nX: " + b"y" * 500 + b"\r\n\r\n", b"431"),
        (b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 200\r\n\r\n" + b"z" * 200, b"413"),
        (b"nonsense\r\n\r\n", b"400"),
        (
            b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            b"400",
        ),
        (b"GET / HTTP/1.1\r\nHost:", b"408"),
    ],
)
def test_front_refuses_invalid_oversized_and_slow_requests(
    paused_kernel: Any, sent: bytes, status: bytes
) -> None:
    async def main() -> bytes:
        server = await start()
        sock = await connect(HOST, PORT)
        await sock.sendall(sent)
        data = await read_all(sock)
        await server.abort()
        return data

    data = paused_kernel.run(main)
    assert data.startswith(b"HTTP/1.1 " + status)
    assert b"connection: close" in data.lower()


def test_front_closes_idle_connections_and_keeps_used_ones(paused_kernel: Any) -> None:
    async def main() -> list[float]:
        server = await start()
        sock = await connect(HOST, PORT)
        begun_s = await curio.clock()
        for _ in range(3):
            await curio.sleep(12.0)
            await sock.sendall(b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n")
            assert b"/a" in await sock.recv(65536)
        assert await sock.recv(65536) == b""
        ended_s = await curio.clock()
        await server.abort()
        return [begun_s, ended_s]

    begun_s, ended_s = paused_kernel.run(main)
    assert ended_s - begun_s == pytest.approx(36.0 + 15.0, abs=0.1)


def test_front_answers_requests_in_progress_before_it_shuts_down(paused_kernel: Any) -> None:
    async def slow(arrival: Arrival) -> HttpResponse:
        await curio.sleep(1.0)
        return HttpResponse(200, (), arrival.request.target.encode())

    async def main() -> bytes:
        server = await start(slow)
        sock = await connect(HOST, PORT)
        await sock.sendall(PIPELINED)
        idle = await connect(HOST, PORT)
        await curio.sleep(0.1)
        await server.begin_shutdown()
        assert await idle.recv(65536) == b""
        assert await server.wait_answered(5.0)
        data = await read_all(sock)
        with pytest.raises(ConnectionRefusedError):
            await connect(HOST, PORT)
        await server.abort()
        return data

    data = paused_kernel.run(main)
    assert data.count(b"HTTP/1.1 200") == 2
    assert data.lower().count(b"connection: close") == 1
    assert data.index(b"/one") < data.index(b"/two")


def test_front_cancels_the_requests_of_a_caller_that_disconnected(paused_kernel: Any) -> None:
    ended: list[str] = []

    async def slow(arrival: Arrival) -> HttpResponse:
        try:
            await curio.sleep(5.0)
        except curio.CancelledError:
            ended.append("cancelled")
            raise
        ended.append("finished")
        return HttpResponse(200)

    async def main() -> None:
        server = await start(slow)
        sock = await connect(HOST, PORT)
        await sock.sendall(b"GET /one HTTP/1.1\r\nHost: h\r\n\r\n")
        await curio.sleep(0.1)
        await sock.close()
        await curio.sleep(0.1)
        assert server.connection_count == 0
        await server.abort()

    paused_kernel.run(main)
    assert ended == ["cancelled"]


def test_front_ends_a_connection_whose_next_answer_is_missing(paused_kernel: Any) -> None:
    async def fail_first(arrival: Arrival) -> HttpResponse:
        if arrival.request.target == "/one":
            raise OSError("no answer")
        return HttpResponse(200, (), arrival.request.target.encode())

    async def main() -> bytes:
        server = await start(fail_first)
        sock = await connect(HOST, PORT)
        await sock.sendall(PIPELINED)
        data = await read_all(sock)
        await server.abort()
        return data

    assert paused_kernel.run(main) == b""


# A request that came while a closing response was written was handled, though callers count it as
# not read and send it again.
def test_front_handles_nothing_that_comes_after_a_closing_response_has_begun(
    paused_kernel: Any, monkeypatch: pytest.MonkeyPatch
) -> None:
    handled: list[str] = []
    callers: list[Any] = []
    send = MemorySocket.sendall

    async def send_slowly(sock: MemorySocket, data: bytes) -> None:
        await send(sock, data)
        if b"connection: close" in data.lower():
            await callers[0].sendall(b"GET /late HTTP/1.1\r\nHost: h\r\n\r\n")
            await curio.sleep(0.1)

    async def record(arrival: Arrival) -> HttpResponse:
        handled.append(arrival.request.target)
        return HttpResponse(200, (), b"done")

    async def main() -> bytes:
        monkeypatch.setattr(MemorySocket, "sendall", send_slowly)
        server = await start(record)
        server.is_shutting_down = True
        callers.append(await connect(HOST, PORT))
        await callers[0].sendall(b"GET /in-time HTTP/1.1\r\nHost: h\r\n\r\n")
        data = await read_all(callers[0])
        await server.abort()
        return data

    data = paused_kernel.run(main)
    assert handled == ["/in-time"]
    assert data.count(b"HTTP/1.1 200") == 1
