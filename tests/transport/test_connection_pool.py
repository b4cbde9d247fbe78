"""The pool's limit: idle connections are closed for new ones, connections in use are not."""

from __future__ import annotations

from typing import Any

import curio

from siskinward.transport.connection_pool import ConnectionPool
from siskinward.transport.connection_pool import PoolSettings
from siskinward.transport.http_messages import HttpRequest
from siskinward.transport.http_messages import HttpResponse
from siskinward.transport.http_server import HttpServer
from siskinward.transport.http_server import HttpServerSettings
from siskinward.transport.sockets import listen
from siskinward.transport.sockets import port_of

HOST = "127.0.0.1"
LIMIT = 2
REQUEST = HttpRequest("GET", "/")


async def start_server(service_s: float) -> tuple[ConnectionPool, Any]:
    async def handle(request: HttpRequest) -> HttpResponse:
        await curio.sleep(service_s)
        return HttpResponse(200)

    listener = listen(HOST, 0)
    port = port_of(listener)
    server = HttpServer(HttpServerSettings(), handle)
    task = await curio.spawn(server.serve, listener, daemon=True)
    return ConnectionPool(PoolSettings(HOST, port, LIMIT)), task


def test_pool_closes_the_oldest_idle_connection_at_its_limit(paused_kernel: Any) -> None:
    async def main() -> None:
        pool, task = await start_server(0.0)
        for _ in range(5 * LIMIT):
            result = await pool.exchange(REQUEST, 1.0, only_recently_used=True)
            assert result.is_ok()
            assert pool.open_count <= LIMIT
            await curio.sleep(2.0)
        await pool.close()
        await task.cancel()

    paused_kernel.run(main)


def test_pool_refuses_above_its_limit_while_all_are_in_use(paused_kernel: Any) -> None:
    async def main() -> None:
        pool, task = await start_server(0.5)
        tasks = [
            await curio.spawn(lambda: pool.exchange(REQUEST, 5.0, only_recently_used=True))
            for _ in range(LIMIT + 1)
        ]
        results = [await task.join() for task in tasks]
        assert [result.is_ok() for result in results].count(True) == LIMIT
        await pool.close()
        await task.cancel()

    paused_kernel.run(main)
