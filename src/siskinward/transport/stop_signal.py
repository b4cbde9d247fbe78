"""Waits for signals within curio's event loop."""

from __future__ import annotations

import signal
import socket
from contextlib import contextmanager
from typing import TYPE_CHECKING
from typing import Any

import curio.io

if TYPE_CHECKING:
    from collections.abc import Iterator

SIGNALS = (signal.SIGTERM, signal.SIGINT)


class SignalWatch:
    """Receives the numbers of the signals that it was opened for."""

    def __init__(self, reader: Any) -> None:
        self._reader = reader

    async def wait(self) -> int:
        """Return the number of the next signal."""
        numbers: bytes = await self._reader.recv(1)
        return numbers[0]


@contextmanager
def watch_signals(*numbers: int) -> Iterator[SignalWatch]:
    """Deliver signals to the event loop within the block; restore the handlers afterwards."""
    reader, writer = socket.socketpair()
    writer.setblocking(False)
    handlers = {number: signal.signal(number, _ignore) for number in numbers}
    # The interpreter writes the signal's number to this descriptor, which wakes the loop.
    previous_descriptor = signal.set_wakeup_fd(writer.fileno())
    try:
        yield SignalWatch(curio.io.Socket(reader))
    finally:
        signal.set_wakeup_fd(previous_descriptor)
        for number, handler in handlers.items():
            signal.signal(number, handler)
        reader.close()
        writer.close()


async def wait_for_stop_signal() -> None:
    """Wait until the process receives one of ``SIGNALS``; restore the handlers afterwards."""
    with watch_signals(*SIGNALS) as watch:
        await watch.wait()


def _ignore(number: int, frame: object) -> None:
    return None
