"""Rows transferred between VMs: a few transfers at once, and referrals for the rest."""

from __future__ import annotations

from typing import Any

import curio
import pytest

from siskinward.coordination.steering.held_rows import HeldRow
from siskinward.coordination.steering.row import Row
from siskinward.coordination.steering.rows import Changes
from siskinward.coordination.steering.rows import Position
from siskinward.coordination.steering.rows import Snapshot
from siskinward.coordination.steering.rows import StoreTable
from siskinward.protocol.peer_fields import PeerMessageError
from siskinward.protocol.row_messages import Referral
from siskinward.protocol.row_messages import RowsReply
from siskinward.protocol.row_messages import RowsRequest
from siskinward.protocol.row_messages import decode_rows_reply
from siskinward.protocol.row_messages import encode_rows_reply
from siskinward.transport import peer_rows
from siskinward.transport.peer_rows import MAX_CONCURRENT_TRANSFERS
from siskinward.transport.peer_rows import RowServer
from siskinward.transport.peer_rows import fetch_rows
from siskinward.transport.sockets import listen

HOST, PORT = "10.0.0.1", 7600
TABLE = StoreTable.OPERATOR
NOW_S = 0.0
TRANSFER_S = 0.2
ROWS = (Row("config", b"x" * 40, 7), Row("evacuate/a", None, 9))


@pytest.fixture
def slow_link(monkeypatch: pytest.MonkeyPatch) -> None:
    """Delay rows by ``TRANSFER_S``; referrals are sent at once."""
    send = peer_rows.send_frame

    async def send_slowly(sock: Any, data: bytes) -> None:
        if isinstance(_decode(data), Snapshot | Changes):
            await curio.sleep(TRANSFER_S)
        await send(sock, data)

    monkeypatch.setattr(peer_rows, "send_frame", send_slowly)


def _decode(data: bytes) -> RowsReply | None:
    try:
        return decode_rows_reply(data, NOW_S)
    except PeerMessageError:
        return None


async def fetch_many(count: int) -> tuple[list[RowsReply], RowsReply]:
    """Send ``count`` requests at once; then take all transfer slots again and send one more."""
    server = RowServer(lambda request: Changes(ROWS, request.position, Position(1, 9)))
    task = await curio.spawn(server.serve, listen(HOST, PORT), daemon=True)
    request = RowsRequest(TABLE, Position(1, 5), "10.0.0.9")
    asked = [await curio.spawn(fetch_rows, HOST, PORT, request) for _ in range(count)]
    replies = [await one.join() for one in asked]
    again = [
        await curio.spawn(fetch_rows, HOST, PORT, request) for _ in range(MAX_CONCURRENT_TRANSFERS)
    ]
    await curio.sleep(TRANSFER_S / 2)
    late = await fetch_rows(HOST, PORT, request)
    for one in again:
        await one.join()
    await task.cancel()
    return replies, late


def test_row_server_serves_a_few_at_once_and_refers_the_rest(
    paused_kernel: Any, slow_link: None
) -> None:
    replies, late = paused_kernel.run(fetch_many, 3 * MAX_CONCURRENT_TRANSFERS)
    assert sum(isinstance(reply, Changes) for reply in replies) == MAX_CONCURRENT_TRANSFERS
    assert isinstance(late, Referral)
    assert late.hosts


@pytest.mark.parametrize(
    "reply",
    [
        Snapshot(ROWS, Position(0, 9)),
        Snapshot(ROWS, Position(3, 9), (HeldRow(Row("config", b"y", 12), 4.5),)),
        Changes(ROWS, Position(2, 3), Position(2, 9)),
        Referral(("10.0.0.2",)),
        Referral(()),
    ],
)
def test_rows_reply_round_trip(reply: RowsReply) -> None:
    assert decode_rows_reply(encode_rows_reply(reply, NOW_S), NOW_S) == reply


@pytest.mark.parametrize(
    "data", [b"", b"not compressed", encode_rows_reply(Referral(()), NOW_S)[:-4]]
)
def test_unreadable_rows_reply_is_refused(data: bytes) -> None:
    with pytest.raises(PeerMessageError):
        decode_rows_reply(data, NOW_S)
