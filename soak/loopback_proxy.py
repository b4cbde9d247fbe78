"""A TCP proxy on loopback that delays, resets, blocks (in one direction) or silences traffic."""

from __future__ import annotations

import socket
from contextlib import suppress
from enum import Enum
from typing import Any

import curio
from attrs import define
from attrs import field

from siskinward.transport.sockets import RECEIVE_SIZE_BYTES
from siskinward.transport.sockets import connect
from siskinward.transport.sockets import listen
from siskinward.transport.sockets import reset_on_close

DELAY_S = 0.3
HELD_POLL_S = 0.05


class ProxyFault(Enum):
    """Fault of a proxy. A cut holds bytes of one direction back until it ends."""

    NONE = "none"
    DELAY = "delay"
    CUT_TO_SERVER = "cut-to-server"
    CUT_TO_CLIENT = "cut-to-client"
    REFUSE = "refuse"


class SourceCut(Enum):
    """What a cut of one client host does to its open connections; it gets no new ones."""

    RESETS = "resets"
    SILENCES = "silences"
    LIVES_ON = "lives-on"


@define(eq=False)
class _ProxiedConnection:
    client: Any
    server: Any
    source: str
    is_silent: bool = False


@define(eq=False)
class LoopbackProxy:
    """Forwards connections to one server on the same port.

    Connections that are open at ``silence_all`` forward nothing any more; later ones work. New
    connections from ``cut_sources`` are reset.
    """

    host: str
    port: int
    server_host: str
    fault: ProxyFault = ProxyFault.NONE
    cut_sources: set[str] = field(factory=set)
    _connections: set[_ProxiedConnection] = field(factory=set)

    async def run(self) -> None:
        """Serve until cancelled."""
        async with listen(self.host, self.port) as listener:
            while True:
                client, address = await listener.accept()
                await curio.spawn(self._serve, client, address[0], daemon=True)

    async def reset_all(self) -> None:
        """Reset every open connection."""
        for connection in list(self._connections):
            await _reset(connection)

    def silence_all(self) -> None:
        """Stop forwarding on every open connection, without closing it."""
        for connection in self._connections:
            connection.is_silent = True

    async def cut(self, source: str, kind: SourceCut) -> None:
        """Cut a client host off until ``heal``."""
        self.cut_sources.add(source)
        for connection in [item for item in self._connections if item.source == source]:
            match kind:
                case SourceCut.RESETS:
                    await _reset(connection)
                case SourceCut.SILENCES:
                    connection.is_silent = True
                case SourceCut.LIVES_ON:
                    return

    def heal(self, source: str) -> None:
        """Let a client host connect again."""
        self.cut_sources.discard(source)

    async def _serve(self, client: Any, source: str) -> None:
        if self.fault is ProxyFault.REFUSE or source in self.cut_sources:
            reset_on_close(client)
            await client.close()
            return
        try:
            server = await connect(self.server_host, self.port)
        except OSError:
            # Without a server, the client sees a reset, much as without the proxy.
            reset_on_close(client)
            await client.close()
            return
        connection = _ProxiedConnection(client, server, source)
        self._connections.add(connection)
        async with curio.TaskGroup(wait=any) as forwarders:
            await forwarders.spawn(
                self._forward, connection, client, server, ProxyFault.CUT_TO_SERVER
            )
            await forwarders.spawn(
                self._forward, connection, server, client, ProxyFault.CUT_TO_CLIENT
            )
        self._connections.discard(connection)
        await client.close()
        await server.close()

    async def _forward(
        self, connection: _ProxiedConnection, source: Any, sink: Any, cut: ProxyFault
    ) -> None:
        try:
            while data := await source.recv(RECEIVE_SIZE_BYTES):
                while connection.is_silent or self.fault is cut:
                    await curio.sleep(HELD_POLL_S)
                if self.fault is ProxyFault.DELAY:
                    await curio.sleep(DELAY_S)
                await sink.sendall(data)
        except OSError:
            # One side was reset; so is the other, once ``_serve`` closes both.
            for sock in (connection.client, connection.server):
                with suppress(OSError):
                    reset_on_close(sock)


async def _reset(connection: _ProxiedConnection) -> None:
    """Reset both sides: end the tasks that read, so that ``_serve`` closes them."""
    for sock in (connection.client, connection.server):
        with suppress(OSError):
            reset_on_close(sock)
            await sock.shutdown(socket.SHUT_RD)
