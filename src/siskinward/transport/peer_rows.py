"""Rows of the store passed between entry VMs: one request and one reply a connection."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING
from typing import Any

import curio
from attrs import frozen

from siskinward.protocol.heartbeats import FRAME_LIMIT_BYTES
from siskinward.protocol.heartbeats import PeerMessageError
from siskinward.protocol.heartbeats import Referral
from siskinward.protocol.heartbeats import RowsRequest
from siskinward.protocol.heartbeats import decode_rows_reply
from siskinward.protocol.heartbeats import decode_rows_request
from siskinward.protocol.heartbeats import encode_rows_reply
from siskinward.protocol.heartbeats import encode_rows_request
from siskinward.transport.sockets import RECEIVE_SIZE_BYTES
from siskinward.transport.sockets import connect

if TYPE_CHECKING:
    from collections.abc import Callable

    from siskinward.coordination.steering.rows import Changes
    from siskinward.coordination.steering.rows import Snapshot
    from siskinward.protocol.heartbeats import RowsReply

EXCHANGE_TIMEOUT_S = 2.0
LENGTH_SIZE_BYTES = 4
# More at once would share one link among so many that none of them could soon pass the rows on.
SERVED_AT_ONCE = 8
REFERRED_HOSTS = 16


async def fetch_rows(host: str, port: int, request: RowsRequest) -> RowsReply:
    """Ask another VM for rows; raises ``OSError`` or ``PeerMessageError``."""
    try:
        async with curio.timeout_after(EXCHANGE_TIMEOUT_S):
            sock = await connect(host, port)
            async with sock:
                await _send_frame(sock, encode_rows_request(request))
                return decode_rows_reply(await _receive_frame(sock))
    except curio.TaskTimeout:
        raise OSError("no rows in time") from None


@frozen
class _EncodedRows:
    table: str
    after: int
    position: int
    data: bytes


class RowServer:
    """Answers other VMs' requests; a few get the rows at once, the others the names of these."""

    def __init__(self, find: Callable[[RowsRequest], Snapshot | Changes | None]) -> None:
        self._find = find
        self._active = 0
        self._served: dict[str, deque[str]] = {}
        self._served_positions: dict[str, int] = {}
        self._last_encoded: _EncodedRows | None = None

    async def serve(self, listener: Any) -> None:
        """Answer until cancelled."""
        async with listener:
            while True:
                sock, _ = await listener.accept()
                await curio.spawn(self._serve_one, sock, daemon=True)

    async def _serve_one(self, sock: Any) -> None:
        try:
            async with curio.timeout_after(EXCHANGE_TIMEOUT_S), sock:
                request = decode_rows_request(await _receive_frame(sock))
                update = self._find(request)
                if update is None:
                    return
                if self._active >= SERVED_AT_ONCE:
                    hosts = tuple(self._served.get(request.table, ()))
                    await _send_frame(sock, encode_rows_reply(Referral(hosts)))
                else:
                    await self._send_rows(sock, request, update)
        except (curio.TaskTimeout, OSError, PeerMessageError):
            # The asking VM notices that no rows came, and asks again.
            return

    async def _send_rows(self, sock: Any, request: RowsRequest, update: Snapshot | Changes) -> None:
        self._active += 1
        try:
            await _send_frame(sock, self._encode(request, update))
        finally:
            self._active -= 1
        if update.position > self._served_positions.get(request.table, -1):
            self._served[request.table] = deque(maxlen=REFERRED_HOSTS)
            self._served_positions[request.table] = update.position
        self._served[request.table].append(request.host)

    def _encode(self, request: RowsRequest, update: Snapshot | Changes) -> bytes:
        key = (request.table, request.position, update.position)
        last = self._last_encoded
        if last is None or (last.table, last.after, last.position) != key:
            last = self._last_encoded = _EncodedRows(*key, encode_rows_reply(update))
        return last.data


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
