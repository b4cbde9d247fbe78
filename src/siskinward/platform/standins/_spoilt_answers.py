"""Writes answers as a faulty target does: copied, in pieces, cut short or without a length."""

from __future__ import annotations

import socket
import struct
from typing import Any

import curio

HEAD_END = b"\r\n\r\n"
PIECES = 4
PIECE_GAP_S = 0.02
# Steps through the bytes of a head, so that many of its places are tried.
CUT_STEP_BYTES = 7


async def close_or_reset(sock: Any, *, resets: bool) -> None:
    """End a connection so that its caller sees the end of the stream or a reset."""
    if resets:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
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
