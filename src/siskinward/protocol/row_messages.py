"""msgpack encoding of the rows that entry VMs pass on to one another, on request."""

from __future__ import annotations

import zlib
from typing import Any

import msgpack
from attrs import frozen

from siskinward.coordination.steering.held_rows import HeldRow
from siskinward.coordination.steering.row import Row
from siskinward.coordination.steering.rows import MAX_VERSION
from siskinward.coordination.steering.rows import Changes
from siskinward.coordination.steering.rows import Position
from siskinward.coordination.steering.rows import Snapshot
from siskinward.coordination.steering.rows import StoreTable
from siskinward.protocol.peer_fields import MALFORMED
from siskinward.protocol.peer_fields import PeerMessageError
from siskinward.protocol.peer_fields import decode_bytes
from siskinward.protocol.peer_fields import decode_number
from siskinward.protocol.peer_fields import decode_position
from siskinward.protocol.peer_fields import decode_text
from siskinward.protocol.peer_fields import encode_position
from siskinward.protocol.peer_fields import unpack
from siskinward.state.addresses import is_ip_address

ROWS_TYPE = 1
REFERRAL_TYPE = 2
REQUEST_LIMIT_BYTES = 4 * 1024
# A reply is compressed; the rows of 10,000 targets take some 4 MB before that.
REPLY_LIMIT_BYTES = 8 * 1024 * 1024
ROWS_LIMIT_BYTES = 16 * 1024 * 1024


@frozen
class RowsRequest:
    """Requests the rows that a copy of ``table`` at ``position`` lacks; sent by ``host``."""

    table: StoreTable
    position: Position
    host: str


@frozen
class Referral:
    """Names hosts that recently received the rows, when the VM asked is busy sending them."""

    hosts: tuple[str, ...]


RowsReply = Snapshot | Changes | Referral


def encode_rows_request(request: RowsRequest) -> bytes:
    """Encode a request for rows."""
    return bytes(
        msgpack.packb((request.table.value, encode_position(request.position), request.host))
    )


def decode_rows_request(data: bytes) -> RowsRequest:
    """Decode a request for rows; raises ``PeerMessageError``."""
    try:
        table, position, host = unpack(data)
        return RowsRequest(StoreTable(table), decode_position(position), decode_text(host))
    except MALFORMED as error:
        raise PeerMessageError(f"malformed request for rows: {error}") from error


def encode_rows_reply(reply: RowsReply, now_s: float) -> bytes:
    """Encode the reply to a request for rows; held rows are sent with the time that is left."""
    match reply:
        case Referral(hosts=hosts):
            fields: tuple[Any, ...] = (REFERRAL_TYPE, hosts)
        case Snapshot() | Changes():
            after = encode_position(reply.after) if isinstance(reply, Changes) else None
            rows = [(row.key, row.value, row.version) for row in reply.rows]
            fields = (ROWS_TYPE, after, encode_position(reply.position), rows)
            if isinstance(reply, Snapshot) and reply.held:
                fields = (*fields, [_encode_held(held, now_s) for held in reply.held])
    return zlib.compress(msgpack.packb(fields))


def decode_rows_reply(data: bytes, now_s: float) -> RowsReply:
    """Decode the reply to a request for rows; raises ``PeerMessageError``."""
    try:
        message_type, *rest = unpack(_decompress(data))
        if message_type == REFERRAL_TYPE:
            (hosts,) = rest
            return Referral(tuple(_decode_host(host) for host in hosts))
        after, position, fields, *more = rest
        rows = tuple(_decode_row(item) for item in fields)
        held = tuple(_decode_held(item, now_s) for item in (more[0] if more else ()))
        if after is None:
            return Snapshot(rows, decode_position(position), held)
        return Changes(rows, decode_position(after), decode_position(position))
    except (*MALFORMED, zlib.error) as error:
        raise PeerMessageError(f"malformed reply with rows: {error}") from error


def _decompress(data: bytes) -> bytes:
    """Decompress a reply; raises ``PeerMessageError`` if that takes too much memory."""
    decompressor = zlib.decompressobj()
    rows = decompressor.decompress(data, ROWS_LIMIT_BYTES)
    if not decompressor.eof:
        raise PeerMessageError(f"a reply cut short, or of rows over {ROWS_LIMIT_BYTES} bytes")
    return rows


def _encode_held(held: HeldRow, now_s: float) -> tuple[Any, ...]:
    row = held.row
    return (row.key, row.value, row.version, max(0.0, held.until_s - now_s))


def _decode_held(fields: Any, now_s: float) -> HeldRow:
    *row, left_s = fields
    return HeldRow(_decode_row(row), now_s + decode_number(left_s))


def _decode_row(fields: Any) -> Row:
    key, value, version = fields
    if not 0 <= int(version) <= MAX_VERSION:
        raise ValueError(f"expected a version up to {MAX_VERSION}, found {version!r}")
    return Row(decode_text(key), None if value is None else decode_bytes(value), int(version))


def _decode_host(value: Any) -> str:
    if not is_ip_address(value):
        raise ValueError(f"expected an IP address, found {value!r}")
    return decode_text(value)
