"""A pool's connection is not used again where an earlier answer may be read for the next one."""

from __future__ import annotations

from typing import Any

import pytest
from fakes.raw_server import HOST
from fakes.raw_server import start_raw_server

from siskinward.transport.connection_pool import ConnectionPool
from siskinward.transport.connection_pool import PoolSettings
from siskinward.transport.http_messages import HttpRequest

SUCCESS = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone"
REFUSAL = b"HTTP/1.1 503 Busy\r\nX-Not-Run: shed\r\nContent-Length: 0\r\n\r\n"


# The server writes the first on each new connection, and the second later on the same one.
@pytest.mark.parametrize(
    ("first", "later"),
    [(REFUSAL, REFUSAL + SUCCESS), (SUCCESS + REFUSAL, SUCCESS)],
    ids=["before-the-next-answer", "behind-its-own"],
)
def test_copy_of_a_refusal_is_not_the_next_answer_of_a_pool(
    paused_kernel: Any, first: bytes, later: bytes
) -> None:
    connections: list[Any] = []

    async def answer(sock: Any) -> None:
        connections.append(sock)
        await sock.recv(65536)
        await sock.sendall(first)
        while await sock.recv(65536):
            await sock.sendall(later)

    async def main() -> None:
        port, task = await start_raw_server(answer)
        pool = ConnectionPool(PoolSettings(HOST, port, 4))
        for number in range(2):
            request = HttpRequest("POST", f"/{number}")
            result = await pool.exchange(request, 1.0, only_recently_used=True)
            assert result.is_ok()
        assert len(connections) == 2
        await pool.close()
        await task.cancel()

    paused_kernel.run(main)
