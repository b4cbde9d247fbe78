"""A TCP proxy on loopback that delays, resets, cuts one way or silences what passes."""

from __future__ import annotations

from enum import Enum
from typing import Any

import curio
from attrs import define
from attrs import field

from siskinward.transport.sockets import RECEIVE_SIZE_BYTES
from siskinward.transport.sockets import connect
from siskinward.transport.sockets import listen
from siskinward.transport.sockets import reset

DELAY_S = 0.3
HELD_POLL_S = 0.05


class ProxyFault(Enum):
    """What happens to bytes while a fault lasts.

    Connections that are open when a silence begins stay silent; later ones work.
    """

    NONE = "none"
    DELAY = "delay"
    CUT_TO_SERVER = "cut-to-server"
    CUT_TO_CLIENT = "cut-to-client"
    REFUSE = "refuse"


@define(eq=False)
class _Link:
    client: Any
    server: Any
    is_silent: bool = False


@define(eq=False)
class LoopbackProxy:
    """Passes connections on to one server."""

    host: str
    port: int
    server_host: str
    fault: ProxyFault = ProxyFault.NONE
    _links: set[_Link] = field(factory=set)

    async def run(self) -> None:
        """Serve until cancelled."""
        async with listen(self.host, self.port) as listener:
            while True:
                client, _ = await listener.accept()
                await curio.spawn(self._serve, client, daemon=True)

    async def reset_all(self) -> None:
        """Reset every open connection."""
        for link in list(self._links):
            await reset(link.client)
            await reset(link.server)

    def silence_all(self) -> None:
        """Let every open connection go silent for good."""
        for link in self._links:
            link.is_silent = True

    async def _serve(self, client: Any) -> None:
        if self.fault is ProxyFault.REFUSE:
            await reset(client)
            return
        try:
            server = await connect(self.server_host, self.port)
        except OSError:
            # No server: the client sees what it would see without the proxy.
            await reset(client)
            return
        link = _Link(client, server)
        self._links.add(link)
        async with curio.TaskGroup(wait=any) as pumps:
            await pumps.spawn(self._pump, link, client, server, ProxyFault.CUT_TO_SERVER)
            await pumps.spawn(self._pump, link, server, client, ProxyFault.CUT_TO_CLIENT)
        self._links.discard(link)
        await client.close()
        await server.close()

    async def _pump(self, link: _Link, source: Any, sink: Any, cut: ProxyFault) -> None:
        try:
            while data := await source.recv(RECEIVE_SIZE_BYTES):
                while link.is_silent or self.fault is cut:
                    await curio.sleep(HELD_POLL_S)
                if self.fault is ProxyFault.DELAY:
                    await curio.sleep(DELAY_S)
                await sink.sendall(data)
        except OSError:
            # Either side has broken off; the other is closed with it.
            return
