"""Frames on streams between entry VMs: a length and so many bytes."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from siskinward.protocol.peer_fields import PeerMessageError
from siskinward.transport.sockets import RECEIVE_SIZE_BYTES

if TYPE_CHECKING:
    from siskinward.transport.answer_memory import AnswerShare

LENGTH_SIZE_BYTES = 4


async def send_frame(sock: Any, data: bytes) -> None:
    """Send one frame."""
    await sock.sendall(len(data).to_bytes(LENGTH_SIZE_BYTES, "big") + data)


async def receive_frame(sock: Any, limit_bytes: int, share: AnswerShare | None = None) -> bytes:
    """Receive one frame; ``share`` counts what it takes.

    Raises ``PeerMessageError`` if it is larger than ``limit_bytes``, ``OSError`` if the connection
    ends before its end.
    """
    buffer = b""
    while len(buffer) < LENGTH_SIZE_BYTES:
        buffer += await _receive(sock)
    size_bytes = int.from_bytes(buffer[:LENGTH_SIZE_BYTES], "big")
    if size_bytes > limit_bytes:
        raise PeerMessageError(f"a frame of {size_bytes} bytes exceeds {limit_bytes} bytes")
    chunks = [buffer[LENGTH_SIZE_BYTES:]]
    missing_bytes = size_bytes - len(chunks[0])
    while missing_bytes > 0:
        chunks.append(await _receive(sock))
        missing_bytes -= len(chunks[-1])
        if share is not None:
            await share.add_piece(len(chunks[-1]))
    return b"".join(chunks)


async def _receive(sock: Any) -> bytes:
    data: bytes = await sock.recv(RECEIVE_SIZE_BYTES)
    if not data:
        raise ConnectionResetError("the connection closed within a frame")
    return data
