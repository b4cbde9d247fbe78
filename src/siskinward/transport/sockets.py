"""Sockets for IP addresses, without name resolution (which curio would run in a thread).

``use_network`` replaces the system's network, so that tests run without it.
"""

from __future__ import annotations

import errno
import logging
import socket
import struct
from contextlib import contextmanager
from contextlib import suppress
from typing import TYPE_CHECKING
from typing import Any
from typing import Protocol

import curio
import curio.socket

if TYPE_CHECKING:
    from collections.abc import Iterator

RECEIVE_SIZE_BYTES = 64 * 1024
LISTEN_BACKLOG = 512
# A connection whose state was lost on the way, such as in a NAT, fails after about 3 s. Where the
# time-out of unacknowledged data is set, it decides when keepalive gives up, not the count of
# probes; it has to lie after the first probe and not after the last.
KEEP_ALIVE_IDLE_S = 1
KEEP_ALIVE_INTERVAL_S = 1
KEEP_ALIVE_PROBES = 2
UNACKNOWLEDGED_TIMEOUT_MS = 2500
# Errors of one waiting connection, or of a lack that passes.
PASSING_ACCEPT_ERRORS = frozenset(
    (
        errno.ECONNABORTED,
        errno.EMFILE,
        errno.ENFILE,
        errno.ENOBUFS,
        errno.ENOMEM,
        errno.EPERM,
        errno.EPROTO,
    )
)
ACCEPT_RETRY_S = 0.05
_LOGGER = logging.getLogger(__name__)
# The option is on, and the time to linger 0 s.
LINGER_NONE = struct.pack("ii", 1, 0)


class Network(Protocol):
    """Opens sockets that behave like curio's."""

    def listen(self, host: str, port: int) -> Any:
        """Open a listening socket."""
        ...

    async def connect(self, host: str, port: int, source_host: str = "") -> Any:
        """Open a connected socket, from ``source_host`` unless that is empty."""
        ...

    def open_datagrams(self, host: str, port: int) -> Any:
        """Open a socket for datagrams."""
        ...

    def is_stale(self, sock: Any) -> bool:
        """Return whether an idle connection has ended, failed or holds unread bytes."""
        ...

    def has_ended(self, sock: Any) -> bool:
        """Return whether a connection has failed, or ended with nothing left to read."""
        ...

    def accept_waiting(self, listener: Any) -> list[Any]:
        """Accept the connections that wait at a listening socket, without waiting for others."""
        ...

    def port_of(self, listener: Any) -> int:
        """Return the port that a listening socket was given."""
        ...

    async def reset(self, sock: Any) -> None:
        """Reset a connection, so that the peer sees an error."""
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

    async def connect(self, host: str, port: int, source_host: str = "") -> Any:
        """Open a connected curio socket with Nagle's algorithm off."""
        sock = curio.socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            if source_host:
                sock.bind((source_host, 0))
            await sock.connect((host, port))
            enable_keepalive(sock)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_TIMEOUT_MS)
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
        """Peek for the end of the stream, an error or unread bytes."""
        try:
            sock._socket.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except (BlockingIOError, InterruptedError):
            return False
        except OSError:
            return True
        return True

    def has_ended(self, sock: Any) -> bool:
        """Peek for the end of the stream or an error."""
        if sock._socket is None:
            return True
        try:
            data: bytes = sock._socket.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except (BlockingIOError, InterruptedError):
            return False
        except OSError:
            return True
        return not data

    def accept_waiting(self, listener: Any) -> list[Any]:
        """Accept until the system has no more connections waiting."""
        accepted = []
        with suppress(OSError):
            while True:
                accepted.append(curio.io.Socket(listener._socket.accept()[0]))
        return accepted

    def port_of(self, listener: Any) -> int:
        """Return the port that the system has bound."""
        port: int = listener._socket.getsockname()[1]
        return port

    async def reset(self, sock: Any) -> None:
        """Wake the task that waits for the socket, and let its close discard unsent data.

        A socket must not be closed by one task while another waits for it. The peer may see the
        end of the stream before the reset.
        """
        reset_on_close(sock)
        try:
            await sock.shutdown(socket.SHUT_RDWR)
        except OSError:
            # The peer has closed the connection already.
            return


_network: Network = SystemNetwork()


@contextmanager
def use_network(network: Network) -> Iterator[None]:
    """Open all sockets in another network within the block."""
    global _network
    previous, _network = _network, network
    try:
        yield
    finally:
        _network = previous


def enable_keepalive(sock: Any) -> None:
    """Enable TCP keepalive, so that a connection whose peer no longer responds fails."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEP_ALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEP_ALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEP_ALIVE_PROBES)


def reset_on_close(sock: Any) -> None:
    """Let the close of a socket discard what was not sent, and reset the connection."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_NONE)


def listen(host: str, port: int) -> Any:
    """Open a listening socket; port 0 takes a free port."""
    return _network.listen(host, port)


async def accept(listener: Any) -> tuple[Any, Any]:
    """Accept a connection, and wait while the system lacks what it takes; raises ``OSError``."""
    while True:
        try:
            accepted: tuple[Any, Any] = await listener.accept()
            return accepted
        except OSError as error:
            if error.errno not in PASSING_ACCEPT_ERRORS:
                raise
            _LOGGER.warning("no connection accepted: %s", error)
        await curio.sleep(ACCEPT_RETRY_S)


async def connect(host: str, port: int, source_host: str = "") -> Any:
    """Open a connected socket, from ``source_host`` unless that is empty."""
    return await _network.connect(host, port, source_host)


def open_datagrams(host: str, port: int) -> Any:
    """Open a socket for datagrams."""
    return _network.open_datagrams(host, port)


def is_stale(sock: Any) -> bool:
    """Return whether an idle connection has ended, failed or holds unrequested bytes."""
    return _network.is_stale(sock)


def has_ended(sock: Any) -> bool:
    """Return whether a connection has failed, or ended with nothing left to read."""
    return _network.has_ended(sock)


def accept_waiting(listener: Any) -> list[Any]:
    """Accept the connections that wait at a listening socket, without waiting for others."""
    return _network.accept_waiting(listener)


def port_of(listener: Any) -> int:
    """Return the port that a listening socket was given."""
    return _network.port_of(listener)


async def reset(sock: Any) -> None:
    """Reset a connection, so that the peer sees an error."""
    await _network.reset(sock)
