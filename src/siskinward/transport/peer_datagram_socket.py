"""UDP socket for heartbeats and token messages between entry VMs, one message per datagram."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING
from typing import Any

from siskinward.transport.sockets import open_datagrams

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

DATAGRAM_LIMIT_BYTES = 60_000
_LOGGER = logging.getLogger(__name__)


class PeerDatagramSocket:
    """Exchanges datagrams with all other VMs; receivers must tolerate losses."""

    def __init__(self, host: str, port: int) -> None:
        self._port = port
        self._host = host
        self._socket = open_datagrams(host, port)
        self.failed_sends = 0

    async def receive(self, on_datagram: Callable[[bytes, str], Any]) -> None:
        """Pass each datagram and its sender's host to ``on_datagram`` until cancelled.

        A datagram that raises an unexpected error is logged, and the next one is received.
        """
        while True:
            data, address = await self._socket.recvfrom(DATAGRAM_LIMIT_BYTES)
            try:
                await on_datagram(data, address[0])
            except Exception:
                _LOGGER.exception("datagram from %s was not processed", address[0])

    async def send(self, data: bytes, hosts: Iterable[str]) -> None:
        """Send one datagram to each host except this VM's own."""
        for host in hosts:
            if host == self._host:
                continue
            try:
                await self._socket.sendto(data, (host, self._port))
            except OSError:
                # The link is full or nothing listens on the host; the next heartbeat follows soon.
                self.failed_sends += 1

    async def close(self) -> None:
        """Close the socket."""
        await self._socket.close()
