"""Rows of the store passed between entry VMs: one request and one reply a connection."""

from __future__ import annotations

import zlib
from typing import TYPE_CHECKING
from typing import Any

import curio

from siskinward.protocol.heartbeats import FRAME_LIMIT_BYTES
from siskinward.protocol.heartbeats import PeerMessageError
from siskinward.protocol.heartbeats import decode_request
from siskinward.protocol.heartbeats import decode_update
from siskinward.protocol.heartbeats import encode_request
from siskinward.protocol.heartbeats import encode_update
from siskinward.transport.sockets import RECEIVE_SIZE_BYTES
from siskinward.transport.sockets import connect

if TYPE_CHECKING:
    from collections.abc import Callable

    from siskinward.coordination.steering.rows import Changes
    from siskinward.coordination.steering.rows import Snapshot
    from siskinward.protocol.heartbeats import RowsRequest

EXCHANGE_TIMEOUT_S = 2.0
LENGTH_SIZE_BYTES = 4


async def fetch_rows(host: str, port: int, request: RowsRequest) -> Snapshot | Changes:
    """Ask another VM for rows; raises ``OSError`` or ``PeerMessageError``."""
    try:
        async with curio.timeout_after(EXCHANGE_TIMEOUT_S):
            sock = await connect(host, port)
            async with sock:
                await _send_frame(sock, encode_request(request))
                return decode_update(zlib.decompress(await _receive_frame(sock)))
    except curio.TaskTimeout:
        raise OSError("no rows in time") from None
    except zlib.error as error:
        raise PeerMessageError(f"rows cannot be unpacked: {error}") from error


async def serve_rows(
    listener: Any, find: Callable[[RowsRequest], Snapshot | Changes | None]
) -> None:
    """Answer other VMs' requests until cancelled."""
    async with listener:
        while True:
            sock, _ = await listener.accept()
            await curio.spawn(_serve_one, sock, find, daemon=True)


async def _serve_one(sock: Any, find: Callable[[RowsRequest], Snapshot | Changes | None]) -> None:
    try:
        async with curio.timeout_after(EXCHANGE_TIMEOUT_S), sock:
            update = find(decode_request(await _receive_frame(sock)))
            if update is not None:
                await _send_frame(sock, zlib.compress(encode_update(update)))
    except (curio.TaskTimeout, OSError, PeerMessageError):
        # The asking VM notices that no rows came, and asks again.
        return


async def _send_frame(sock: Any, data: bytes) -> None:
    await sock.sendall(len(data).to_bytes(LENGTH_SIZE_BYTES, "big") + data)


async def _receive_frame(sock: Any) -> bytes:
    buffer = b""
    while len(buffer) < LENGTH_SIZE_BYTES:
        buffer += await _receive(sock)
    size_bytes = int.from_bytes(buffer[:LENGTH_SIZE_BYTES], "big")
    if size_bytes > FRAME_LIMIT_BYTES:
        raise PeerMessageError(f"a frame of {size_bytes} bytes is too large")
    chunks = [buffer[LENGTH_SIZE_BYTES:]]
    missing_bytes = size_bytes - len(chunks[0])
    while missing_bytes > 0:
        chunks.append(await _receive(sock))
        missing_bytes -= len(chunks[-1])
    return b"".join(chunks)


async def _receive(sock: Any) -> bytes:
    data: bytes = await sock.recv(RECEIVE_SIZE_BYTES)
    if not data:
        raise ConnectionResetError("closed inside a frame")
    return data
