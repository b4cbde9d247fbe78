"""Transfer of store rows between entry VMs: one request and one reply per connection."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING
from typing import Any

import curio
from attrs import frozen

from siskinward.coordination.steering.rows import Position
from siskinward.coordination.steering.rows import Snapshot
from siskinward.coordination.steering.rows import StoreTable
from siskinward.protocol.peer_fields import PeerMessageError
from siskinward.protocol.row_messages import REPLY_LIMIT_BYTES
from siskinward.protocol.row_messages import REQUEST_LIMIT_BYTES
from siskinward.protocol.row_messages import Referral
from siskinward.protocol.row_messages import RowsRequest
from siskinward.protocol.row_messages import decode_rows_reply
from siskinward.protocol.row_messages import decode_rows_request
from siskinward.protocol.row_messages import encode_rows_reply
from siskinward.protocol.row_messages import encode_rows_request
from siskinward.transport.clock import read_clock_s
from siskinward.transport.frames import receive_frame
from siskinward.transport.frames import send_frame
from siskinward.transport.sockets import accept
from siskinward.transport.sockets import connect

if TYPE_CHECKING:
    from collections.abc import Callable

    from siskinward.coordination.steering.rows import Changes
    from siskinward.protocol.row_messages import RowsReply

EXCHANGE_TIMEOUT_S = 2.0
# A VM fetches a table from one host at a time, so a dead host must not hold up the others for long.
CONNECT_TIMEOUT_S = 0.8
# More transfers at once would share the link so thinly that no receiver could soon pass rows on.
MAX_CONCURRENT_TRANSFERS = 8
MAX_REFERRED_HOSTS = 16


async def fetch_rows(host: str, port: int, request: RowsRequest) -> RowsReply:
    """Request rows from another VM. Raises ``OSError`` or ``PeerMessageError``."""
    try:
        async with curio.timeout_after(CONNECT_TIMEOUT_S):
            sock = await connect(host, port)
        async with curio.timeout_after(EXCHANGE_TIMEOUT_S), sock:
            await send_frame(sock, encode_rows_request(request))
            return decode_rows_reply(await receive_frame(sock, REPLY_LIMIT_BYTES), read_clock_s())
    except curio.TaskTimeout:
        raise OSError("timed out waiting for rows") from None


@frozen
class _EncodedRows:
    """Encoded rows of ``table`` from position ``after`` to ``position``."""

    table: StoreTable
    after: Position
    position: Position
    data: bytes


class RowServer:
    """Serves rows to a few VMs at a time; refers the others to VMs that have received them."""

    def __init__(self, find: Callable[[RowsRequest], Snapshot | Changes | None]) -> None:
        self._find = find
        self._active_transfers = 0
        self._served_hosts: dict[StoreTable, deque[str]] = {}
        self._served_positions: dict[StoreTable, Position] = {}
        self._last_encoded: _EncodedRows | None = None

    async def serve(self, listener: Any) -> None:
        """Serve requests until cancelled."""
        async with listener:
            while True:
                sock, _ = await accept(listener)
                await curio.spawn(self._serve_one, sock, daemon=True)

    async def _serve_one(self, sock: Any) -> None:
        try:
            async with curio.timeout_after(EXCHANGE_TIMEOUT_S), sock:
                request = decode_rows_request(await receive_frame(sock, REQUEST_LIMIT_BYTES))
                update = self._find(request)
                if update is None:
                    return
                if self._active_transfers >= MAX_CONCURRENT_TRANSFERS:
                    hosts = tuple(self._served_hosts.get(request.table, ()))
                    await send_frame(sock, encode_rows_reply(Referral(hosts), read_clock_s()))
                else:
                    await self._send_rows(sock, request, update)
        except (curio.TaskTimeout, OSError, PeerMessageError):
            # The requesting VM notices that no rows arrived, and retries.
            return

    async def _send_rows(self, sock: Any, request: RowsRequest, update: Snapshot | Changes) -> None:
        self._active_transfers += 1
        try:
            await send_frame(sock, self._encode(request, update))
        finally:
            self._active_transfers -= 1
        served = self._served_positions.get(request.table)
        if served is None or update.position > served:
            self._served_hosts[request.table] = deque(maxlen=MAX_REFERRED_HOSTS)
            self._served_positions[request.table] = update.position
        self._served_hosts[request.table].append(request.host)

    def _encode(self, request: RowsRequest, update: Snapshot | Changes) -> bytes:
        if isinstance(update, Snapshot) and update.held:
            return encode_rows_reply(update, read_clock_s())
        key = (request.table, request.position, update.position)
        last = self._last_encoded
        if last is None or (last.table, last.after, last.position) != key:
            data = encode_rows_reply(update, read_clock_s())
            last = self._last_encoded = _EncodedRows(*key, data)
        return last.data
