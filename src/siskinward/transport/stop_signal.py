"""Waits for signals inside curio's loop."""

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
    """Turn signals into events of the loop; the previous handlers are restored."""
    reader, writer = socket.socketpair()
    writer.setblocking(False)
    handlers = {number: signal.signal(number, _ignore) for number in numbers}
    # The interpreter writes the signal's number there, which wakes the loop up.
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
    """Return when the process is asked to stop; the previous handlers are restored."""
    with watch_signals(*SIGNALS) as watch:
        await watch.wait()


def _ignore(number: int, frame: object) -> None:
    return None
