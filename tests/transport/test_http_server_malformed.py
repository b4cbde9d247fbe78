"""Malformed and oversized requests are refused and counted by reason; the server stays up."""

from __future__ import annotations

import curio
import pytest

from siskinward.transport.http_client import HttpClientConnection
from siskinward.transport.http_messages import HttpRequest
from siskinward.transport.http_messages import HttpResponse
from siskinward.transport.http_server import HttpServer
from siskinward.transport.http_server import HttpServerSettings
from siskinward.transport.sockets import connect
from siskinward.transport.sockets import listen
from siskinward.transport.sockets import port_of

HOST = "127.0.0.1"
SETTINGS = HttpServerSettings(header_limit_bytes=1024, body_limit_bytes=1024, read_timeout_s=5.0)
SMUGGLED = b"POST /a HTTP/1.1\r\nhost: x\r\ncontent-length: 4\r\ntransfer-encoding: chunked\r\n\r\n"


async def _exchange(data: bytes) -> tuple[bytes, list[str], list[str]]:
    """Send raw bytes; return the response, the counted reasons and the paths that were handled."""
    reasons: list[str] = []
    handled: list[str] = []

    async def handle(request: HttpRequest) -> HttpResponse:
        handled.append(request.target)
        return HttpResponse(200, (), b"ok")

    listener = listen(HOST, 0)
    port = port_of(listener)
    server = HttpServer(SETTINGS, handle, lambda reason: reasons.append(reason.value))
    task = await curio.spawn(server.serve, listener)
    await curio.sleep(0.02)
    sock = await connect(HOST, port)
    await sock.sendall(data)
    response = await sock.recv(65536)
    await sock.close()
    connection = HttpClientConnection(HOST, port)
    after = await connection.exchange(HttpRequest("GET", "/after"), 5.0)
    assert after.ok.body == b"ok"
    await connection.close()
    await task.cancel()
    return response, reasons, handled


@pytest.mark.parametrize(
    ("data", "status", "reason"),
    [
        (b"nonsense\r\n\r\n", b"400", "malformed"),
        (b"GET / HTTP/1.1\r\n\r\n", b"400", "malformed"),
        (b"GET / HTTP/1.1\r\nhost: x\r\nhost: y\r\n\r\n", b"400", "malformed"),
        (b"GET / HTTP/1.1\r\nhost : x\r\n\r\n", b"400", "malformed"),
        (b"POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 1, 2\r\n\r\n", b"400", "malformed"),
        (b"POST / HTTP/1.1\r\nhost: x\r\ncontent-length: -1\r\n\r\n", b"400", "malformed"),
        (b"GET / HTTP/1.1\r\nhost: x\r\na: " + b"b" * 4096, b"431", "too-large"),
        (
            b"POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 4096\r\n\r\n" + b"b" * 4096,
            b"413",
            "too-large",
        ),
    ],
)
def test_http_server_refuses_and_counts(data: bytes, status: bytes, reason: str) -> None:
    response, reasons, handled = curio.run(_exchange, data)
    assert response.split(b" ")[1] == status
    assert reason.encode() in response
    assert reasons == [reason]
    assert handled == ["/after"]


def test_http_server_never_serves_a_smuggled_request() -> None:
    data = SMUGGLED + b"0\r\n\r\nGET /smuggled HTTP/1.1\r\nhost: x\r\n\r\n"
    response, reasons, handled = curio.run(_exchange, data)
    assert handled == ["/after"]
    assert response.split(b" ")[1] == b"400"
    assert reasons == ["malformed"]
