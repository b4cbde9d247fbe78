"""TCP sockets by IP number, without name resolution (which curio would run in a thread)."""

from __future__ import annotations

import socket
from typing import Any

import curio.socket

RECEIVE_SIZE_BYTES = 64 * 1024
LISTEN_BACKLOG = 512
# A connection that something on the way has lost track of shows itself after about 3 s.
KEEP_ALIVE_IDLE_S = 1
KEEP_ALIVE_INTERVAL_S = 1
KEEP_ALIVE_PROBES = 2
UNACKNOWLEDGED_LIMIT_MS = 2500


def listen(host: str, port: int) -> Any:
    """Open a listening curio socket; port 0 takes a free port."""
    sock = curio.socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind((host, port))
    sock.listen(LISTEN_BACKLOG)
    return sock


def detect_silence(sock: Any) -> None:
    """Let the system probe an open connection, so that a silent one fails."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEP_ALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEP_ALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEP_ALIVE_PROBES)


async def connect(host: str, port: int) -> Any:
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


def is_closed_by_peer(sock: Any) -> bool:
    """Tell whether an idle connection has been closed, or holds bytes that nobody asked for."""
    try:
        sock._socket.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except (BlockingIOError, InterruptedError):
        return False
    except OSError:
        return True
    return True
