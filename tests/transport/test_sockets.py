"""Options of the system's sockets that bound how long a silent connection is held for open."""

from __future__ import annotations

import socket
from typing import Any

import curio

from siskinward.transport import sockets

LOOPBACK = "127.0.0.1"
SILENT_BOUND_S = 3


async def connected() -> Any:
    listener = sockets.listen(LOOPBACK, 0)
    return await sockets.connect(LOOPBACK, sockets.port_of(listener), LOOPBACK)


def option(sock: Any, level: int, name: int) -> int:
    value: int = sock._socket.getsockopt(level, name)
    return value


# As on Linux, TCP_USER_TIMEOUT decides when keepalive gives up, whatever the count of its probes:
# too short a one would end a connection without a probe, too long a one would keep a dead one.
def test_user_timeout_lets_keepalive_give_up_after_a_probe_and_in_time() -> None:
    async def main() -> tuple[int, int, int, int]:
        async with await connected() as sock:
            tcp = socket.IPPROTO_TCP
            return (
                option(sock, tcp, socket.TCP_KEEPIDLE),
                option(sock, tcp, socket.TCP_KEEPINTVL),
                option(sock, tcp, socket.TCP_KEEPCNT),
                option(sock, tcp, socket.TCP_USER_TIMEOUT),
            )

    idle_s, interval_s, probes, user_timeout_ms = curio.run(main)
    assert idle_s * 1000 < user_timeout_ms <= SILENT_BOUND_S * 1000
    # The first probe at which the time-out has passed.
    gives_up_s = next(
        idle_s + interval_s * number
        for number in range(1, 10)
        if (idle_s + interval_s * number) * 1000 >= user_timeout_ms
    )
    assert gives_up_s == idle_s + interval_s * probes == SILENT_BOUND_S


def test_connection_is_opened_from_the_given_host() -> None:
    async def main() -> str:
        listener = sockets.listen(LOOPBACK, 0)
        port = sockets.port_of(listener)
        async with await sockets.connect(LOOPBACK, port, "127.0.0.2") as sock:
            host: str = sock._socket.getsockname()[0]
            return host

    assert curio.run(main) == "127.0.0.2"
