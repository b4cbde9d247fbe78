"""What a connection to a target has carried decides what may follow on it."""

from __future__ import annotations

from typing import Any

import pytest
from fakes.raw_server import HOST
from fakes.raw_server import start_raw_server

from siskinward.transport import outbound_connection
from siskinward.transport.http_messages import HttpRequest
from siskinward.transport.outbound_connection import ExchangeFailedError
from siskinward.transport.outbound_connection import OutboundConnection

ID_HEADER = b"x-id"


def request(request_id: bytes | None) -> HttpRequest:
    ids = () if request_id is None else ((ID_HEADER, request_id),)
    return HttpRequest("GET", "/", ((b"host", b"h"), *ids))


def answer(*ids: bytes) -> bytes:
    lines = b"".join(b"X-Id: %b\r\n" % value for value in ids)
    return b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n" + lines + b"\r\n"


def run_exchanges(kernel: Any, exchanges: list[tuple[bytes | None, bytes]]) -> OutboundConnection:
    """Exchange each request for its answer over one connection, and return it."""

    async def answer_all(sock: Any) -> None:
        for _, data in exchanges:
            await sock.recv(65536)
            await sock.sendall(data)
        await sock.recv(65536)

    async def main() -> OutboundConnection:
        port, _ = await start_raw_server(answer_all)
        connection = OutboundConnection(HOST, port, ID_HEADER)
        await connection.connect(1.0)
        for request_id, _ in exchanges:
            assert connection.may_carry(request(request_id))
            await connection.exchange(request(request_id), 1.0)
        return connection

    connection: OutboundConnection = kernel.run(main)
    return connection


def test_connection_carries_an_id_once_and_a_request_without_one_first(paused_kernel: Any) -> None:
    connection = run_exchanges(paused_kernel, [(None, answer()), (b"a", answer(b"a"))])
    assert connection.is_open
    assert connection.may_carry(request(b"b"))
    assert not connection.may_carry(request(b"a"))
    assert not connection.may_carry(request(None))
    assert not connection.may_carry(request(b""))


def test_connection_closes_after_a_repeated_answer(paused_kernel: Any) -> None:
    exchanges = [(b"a", answer(b"a")), (b"b", answer(b"a") + answer(b"b"))]
    assert not run_exchanges(paused_kernel, exchanges).is_open


def test_connection_closes_once_it_has_carried_many_requests(
    paused_kernel: Any, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(outbound_connection, "MAX_CARRIED", 3)
    exchanges = [(value, answer(value)) for value in (b"a", b"b", b"c")]
    assert run_exchanges(paused_kernel, exchanges[:2]).is_open
    assert not run_exchanges(paused_kernel, exchanges).is_open


@pytest.mark.parametrize("ids", [(), (b"a", b"b"), (b"b", b"b")])
def test_answer_without_exactly_the_requests_id_fails(
    paused_kernel: Any, ids: tuple[bytes, ...]
) -> None:
    with pytest.raises(ExchangeFailedError, match="ids instead of b'b'"):
        run_exchanges(paused_kernel, [(b"a", answer(b"a")), (b"b", answer(*ids))])
