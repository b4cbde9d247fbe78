"""Writes answers as a faulty target does: cut short, without a length or without an end."""

from __future__ import annotations

from contextlib import suppress
from typing import TYPE_CHECKING
from typing import Any

import curio

from siskinward.transport.sockets import reset_on_close

if TYPE_CHECKING:
    from collections.abc import Callable

    from siskinward.platform.standins._target_faults import EndlessAnswer

HEAD_END = b"\r\n\r\n"
PIECES = 4
PIECE_GAP_S = 0.02
# Distance between the places of two cuts.
CUT_STEP_BYTES = 7


async def close_or_reset(sock: Any, *, resets: bool) -> None:
    """End a connection so that its caller sees the end of the stream or a reset."""
    if resets:
        reset_on_close(sock)
    await sock.close()


def cut_within_head(data: bytes, number: int) -> bytes:
    """Return the beginning of an answer, up to a byte of its head that ``number`` selects."""
    head_bytes = data.index(HEAD_END) + len(HEAD_END)
    return data[: 1 + number * CUT_STEP_BYTES % (head_bytes - 1)]


async def send_without_length(sock: Any, data: bytes) -> None:
    """Send an answer whose body ends with its connection, in pieces with pauses."""
    head, _, body = data.partition(HEAD_END)
    lines = [line for line in head.split(b"\r\n") if not line.startswith(b"content-length")]
    await sock.sendall(b"\r\n".join((*lines, b"connection: close")) + HEAD_END)
    size = len(body) // PIECES + 1
    for start in range(0, len(body), size):
        await curio.sleep(PIECE_GAP_S)
        await sock.sendall(body[start : start + size])


async def send_endlessly(sock: Any, answer: EndlessAnswer, gap_s: Callable[[], float]) -> None:
    """Send until the caller closes the connection, with a gap between two pieces."""
    with suppress(OSError):
        await sock.sendall(answer.start)
        while True:
            await sock.sendall(answer.piece)
            await curio.sleep(gap_s())
