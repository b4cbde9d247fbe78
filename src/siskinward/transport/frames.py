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
    return await receive_frame_data(sock, await receive_frame_size(sock, limit_bytes), share)


async def receive_frame_size(sock: Any, limit_bytes: int) -> int:
    """Receive the size of the next frame; raises as ``receive_frame``."""
    data = b""
    while len(data) < LENGTH_SIZE_BYTES:
        data += await _receive(sock, LENGTH_SIZE_BYTES - len(data))
    size_bytes = int.from_bytes(data, "big")
    if size_bytes > limit_bytes:
        raise PeerMessageError(f"a frame of {size_bytes} bytes exceeds {limit_bytes} bytes")
    return size_bytes


async def receive_frame_data(sock: Any, size_bytes: int, share: AnswerShare | None = None) -> bytes:
    """Receive a frame whose size has been received; raises as ``receive_frame``."""
    chunks = []
    missing_bytes = size_bytes
    while missing_bytes > 0:
        chunks.append(await _receive(sock, missing_bytes))
        missing_bytes -= len(chunks[-1])
        if share is not None:
            await share.add_piece(len(chunks[-1]))
    return b"".join(chunks)


async def discard_frame(sock: Any, size_bytes: int) -> None:
    """Receive a frame whose size has been received, without keeping it; raises ``OSError``."""
    missing_bytes = size_bytes
    while missing_bytes > 0:
        missing_bytes -= len(await _receive(sock, missing_bytes))


async def _receive(sock: Any, limit_bytes: int) -> bytes:
    data: bytes = await sock.recv(min(RECEIVE_SIZE_BYTES, limit_bytes))
    if not data:
        raise ConnectionResetError("the connection closed within a frame")
    return data
