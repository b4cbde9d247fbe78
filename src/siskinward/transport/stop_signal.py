"""Waits for SIGTERM or SIGINT inside curio's loop."""

from __future__ import annotations

import signal
import socket

import curio.io

SIGNALS = (signal.SIGTERM, signal.SIGINT)


async def wait_for_stop_signal() -> None:
    """Return when the process is asked to stop; the previous handlers are restored."""
    reader, writer = socket.socketpair()
    writer.setblocking(False)
    handlers = {number: signal.signal(number, _ignore) for number in SIGNALS}
    # The interpreter writes the signal's number there, which wakes the loop up.
    previous_descriptor = signal.set_wakeup_fd(writer.fileno())
    try:
        async with curio.io.Socket(reader) as waiting:
            await waiting.recv(1)
    finally:
        signal.set_wakeup_fd(previous_descriptor)
        for number, handler in handlers.items():
            signal.signal(number, handler)
        writer.close()


def _ignore(number: int, frame: object) -> None:
    return None
