"""A server that lets a test read and write the bytes of each connection."""

from __future__ import annotations

import tracemalloc
from contextlib import suppress
from typing import TYPE_CHECKING
from typing import Any

import curio

from siskinward.transport.sockets import listen
from siskinward.transport.sockets import port_of

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

HOST = "127.0.0.1"


def measure_peak_mb(main: Callable[[], Any]) -> tuple[Any, float]:
    """Run a coroutine function; return its result and the most memory that was allocated."""
    tracemalloc.start()
    try:
        result = curio.run(main)
        return result, tracemalloc.get_traced_memory()[1] / 1e6
    finally:
        tracemalloc.stop()


async def start_endless_server(start: bytes, piece: bytes) -> int:
    """Answer each connection with ``start`` and ``piece`` again and again; return the port."""

    async def answer(sock: Any) -> None:
        await sock.recv(65536)
        with suppress(OSError):
            await sock.sendall(start)
            while True:
                await sock.sendall(piece)

    port, _ = await start_raw_server(answer)
    return port


async def start_raw_server(handle: Callable[[Any], Awaitable[None]]) -> tuple[int, Any]:
    """Serve each connection with ``handle``; return the port and the task to cancel."""
    listener = listen(HOST, 0)

    async def serve_one(sock: Any) -> None:
        async with sock:
            await handle(sock)

    async def serve() -> None:
        async with listener:
            while True:
                sock, _ = await listener.accept()
                await curio.spawn(serve_one, sock, daemon=True)

    return port_of(listener), await curio.spawn(serve, daemon=True)
