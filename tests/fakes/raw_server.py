"""A server that lets a test read and write the bytes of each connection."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

import curio

from siskinward.transport.sockets import listen
from siskinward.transport.sockets import port_of

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

HOST = "127.0.0.1"


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
