"""Sockets by IP number, without name resolution (which curio would run in a thread).

``use_network`` puts another network in the system's place, so that tests run without it.
"""

from __future__ import annotations

import socket
import struct
from contextlib import contextmanager
from typing import TYPE_CHECKING
from typing import Any
from typing import Protocol

import curio.socket

if TYPE_CHECKING:
    from collections.abc import Iterator

RECEIVE_SIZE_BYTES = 64 * 1024
LISTEN_BACKLOG = 512
# A connection that something on the way has lost track of shows itself after about 3 s.
KEEP_ALIVE_IDLE_S = 1
KEEP_ALIVE_INTERVAL_S = 1
KEEP_ALIVE_PROBES = 2
UNACKNOWLEDGED_LIMIT_MS = 2500


class Network(Protocol):
    """Opens sockets that behave like curio's."""

    def listen(self, host: str, port: int) -> Any:
        """Open a listening socket."""
        ...

    async def connect(self, host: str, port: int) -> Any:
        """Open a connected socket."""
        ...

    def open_datagrams(self, host: str, port: int) -> Any:
        """Open a socket for datagrams."""
        ...

    def is_stale(self, sock: Any) -> bool:
        """Tell whether an idle connection was closed or holds bytes."""
        ...

    def port_of(self, listener: Any) -> int:
        """Return the port that a listening socket was given."""
        ...

    async def reset(self, sock: Any) -> None:
        """Break a connection off, so that the peer sees an error."""
        ...


class SystemNetwork:
    """The system's sockets."""

    def listen(self, host: str, port: int) -> Any:
        """Open a listening curio socket; port 0 takes a free port."""
        sock = curio.socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind((host, port))
        sock.listen(LISTEN_BACKLOG)
        return sock

    async def connect(self, host: str, port: int) -> Any:
        """Open a connected curio socket without delayed small writes."""
        sock = curio.socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            await sock.connect((host, port))
            detect_silence(sock)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_LIMIT_MS)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        except BaseException:
            await sock.close()
            raise
        return sock

    def open_datagrams(self, host: str, port: int) -> Any:
        """Open a bound curio socket for datagrams."""
        sock = curio.socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.bind((host, port))
        return sock

    def is_stale(self, sock: Any) -> bool:
        """Look for the end of the stream, or for bytes, without taking them."""
        try:
            sock._socket.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except (BlockingIOError, InterruptedError):
            return False
        except OSError:
            return True
        return True

    def port_of(self, listener: Any) -> int:
        """Ask the system for the bound port."""
        port: int = listener._socket.getsockname()[1]
        return port

    async def reset(self, sock: Any) -> None:
        """Wake whoever waits for the socket, and drop what is unsent when its owner closes it.

        A socket that a task waits for must not be closed by another.
        """
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        try:
            await sock.shutdown(socket.SHUT_RDWR)
        except OSError:
            # The peer was first.
            return


_network: Network = SystemNetwork()


@contextmanager
def use_network(network: Network) -> Iterator[None]:
    """Open all sockets in another network for the time of the block."""
    global _network
    previous, _network = _network, network
    try:
        yield
    finally:
        _network = previous


def detect_silence(sock: Any) -> None:
    """Let the system probe an open connection, so that a silent one fails."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEP_ALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEP_ALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEP_ALIVE_PROBES)


def listen(host: str, port: int) -> Any:
    """Open a listening socket; port 0 takes a free port."""
    return _network.listen(host, port)


async def connect(host: str, port: int) -> Any:
    """Open a connected socket."""
    return await _network.connect(host, port)


def open_datagrams(host: str, port: int) -> Any:
    """Open a socket for datagrams."""
    return _network.open_datagrams(host, port)


def is_stale(sock: Any) -> bool:
    """Tell whether an idle connection has been closed, or holds bytes that nobody asked for."""
    return _network.is_stale(sock)


def port_of(listener: Any) -> int:
    """Return the port that a listening socket was given."""
    return _network.port_of(listener)


async def reset(sock: Any) -> None:
    """Break a connection off, so that the peer sees an error."""
    await _network.reset(sock)
