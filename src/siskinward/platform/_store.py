"""Client of the platform's store."""

from __future__ import annotations

import base64
import json
from typing import TYPE_CHECKING
from typing import Any
from urllib.parse import urlencode

from siskinward.coordination.steering.rows import Changes
from siskinward.coordination.steering.rows import HistoryDropped
from siskinward.coordination.steering.rows import Position
from siskinward.coordination.steering.rows import Snapshot
from siskinward.coordination.steering.rows import StoreTable
from siskinward.platform._store_answers import StoreAnswer
from siskinward.platform._store_answers import decode_answer
from siskinward.platform._targets import decode_target
from siskinward.platform._units import DecodeError
from siskinward.state.errors import SiskinwardError
from siskinward.state.errors import StepError
from siskinward.transport.answer_memory import AnswerLimits
from siskinward.transport.answer_memory import AnswerMemory
from siskinward.transport.answer_memory import AnswerTooLargeError
from siskinward.transport.http_messages import HttpRequest
from siskinward.transport.http_messages import HttpResponse
from siskinward.transport.outbound_connection import ExchangeFailedError
from siskinward.transport.outbound_connection import OutboundConnection

if TYPE_CHECKING:
    from siskinward.coordination.steering.row import Row
    from siskinward.state.serving import ListenAddress

CALL_TIMEOUT_S = 1.0
PAGE_ROWS = 500
# A page of the store takes 1 MB at most. Changes that take more are read page by page.
ANSWER_LIMITS = AnswerLimits(answer_bytes=8 * 1024 * 1024, total_bytes=16 * 1024 * 1024)
# Every call names a part of its table; only the unnamed part is used.
PART = ""
# ``op`` holds the operator's configuration, ``servers`` the status rows of targets.
TABLE_NAMES = {
    StoreTable.OPERATOR: "op",
    StoreTable.TARGETS: "servers",
    StoreTable.VMS: "siskinward_vms",
}


class StoreError(SiskinwardError):
    """Raised when a call gets no usable answer; a write may have been applied nevertheless."""

    def __init__(self, step: str, detail: str) -> None:
        super().__init__(StepError(step, "store", detail))


class StoreAnswerTooLargeError(StoreError):
    """Raised when an answer takes more memory than it may."""


class StoreClient:
    """Client of the store; keeps connections open, one for each concurrent call."""

    def __init__(self, address: ListenAddress) -> None:
        self._address = address
        self._idle: list[OutboundConnection] = []
        self._memory = AnswerMemory(ANSWER_LIMITS)
        self.calls: dict[tuple[str, str], int] = {}

    async def read_table(self, table: StoreTable) -> Snapshot:
        """Read all rows of a table; raises ``StoreError``."""
        rows: list[Row] = []
        start = ""
        position: Position | None = None
        while True:
            query = {"table": TABLE_NAMES[table], "part": PART, "limit": str(PAGE_ROWS)}
            if start:
                query["from"] = start
            response = await self._get("rows-get", query, CALL_TIMEOUT_S)
            page = _decode("rows-get", response, table)
            rows.extend(page.rows)
            if position is None:
                # Later pages may be newer than the first one. With the first page's position, the
                # next read of changes returns whatever changed between the pages.
                position = page.position
            if page.position.era != position.era:
                raise StoreError("rows-get", "the store came back from a copy between two pages")
            if not page.has_more:
                return Snapshot(tuple(rows), position)
            if page.last_key < start or not page.last_key:
                raise StoreError("rows-get", f"no page follows the one from {start!r}")
            start = page.last_key + "\x00"

    async def read_changes(
        self, table: StoreTable, after: Position, wait_s: float
    ) -> Changes | HistoryDropped:
        """Read the changes after a position, waiting for the first one; raises ``StoreError``.

        An answer of another era says nothing about the versions after ``after``. Changes that are
        too many for one answer count as dropped history.
        """
        query = {
            "table": TABLE_NAMES[table],
            "after": str(after.version),
            "wait_ms": str(int(wait_s * 1000)),
        }
        try:
            response = await self._get("rows-feed", query, CALL_TIMEOUT_S + wait_s)
        except StoreAnswerTooLargeError:
            return HistoryDropped()
        if response.status == 410:
            return HistoryDropped()
        answer = _decode("rows-feed", response, table)
        if answer.position.era != after.era:
            return HistoryDropped()
        return Changes(answer.rows, after, answer.position)

    async def write_row(self, table: StoreTable, key: str, value: bytes) -> Position:
        """Write a row and return the position of the write; raises ``StoreError``."""
        row = {**_row_id(table, key), "value": base64.b64encode(value).decode()}
        return await self._transact({"precondition": [], "writes": [row], "remove": []})

    async def remove_row(self, table: StoreTable, key: str, version: int) -> None:
        """Remove a row if it still has ``version``; raises ``StoreError``."""
        row_id = _row_id(table, key)
        condition = {**row_id, "ver": version}
        await self._transact({"precondition": [condition], "writes": [], "remove": [row_id]})

    async def _transact(self, body: dict[str, Any]) -> Position:
        headers = (*self._headers(), (b"content-type", b"application/json"))
        request = HttpRequest("POST", "/v1/rows-tx", headers, json.dumps(body).encode())
        response = await self._exchange("rows-tx", request, CALL_TIMEOUT_S)
        return _decode("rows-tx", response).position

    async def _get(self, call: str, query: dict[str, str], timeout_s: float) -> HttpResponse:
        request = HttpRequest("GET", f"/v1/{call}?{urlencode(query)}", self._headers())
        return await self._exchange(call, request, timeout_s)

    def _headers(self) -> tuple[tuple[bytes, bytes], ...]:
        return ((b"host", f"{self._address.host}:{self._address.port}".encode()),)

    async def _exchange(self, call: str, request: HttpRequest, timeout_s: float) -> HttpResponse:
        try:
            connection = await self._acquire_connection()
            async with self._memory.open_share(connection.fail) as share:
                response = await connection.exchange(request, timeout_s, share)
        except ExchangeFailedError as error:
            self._count_call(call, error.phase.value)
            if isinstance(error.__cause__, AnswerTooLargeError):
                raise StoreAnswerTooLargeError(call, error.detail) from error
            raise StoreError(call, error.detail) from error
        self._count_call(call, str(response.status))
        if connection.is_open:
            self._idle.append(connection)
        return response

    def _count_call(self, call: str, outcome: str) -> None:
        key = (call, outcome)
        self.calls[key] = self.calls.get(key, 0) + 1

    async def _acquire_connection(self) -> OutboundConnection:
        while self._idle:
            connection = self._idle.pop()
            if connection.is_reusable(connection.idle_since_s):
                return connection
            await connection.close()
        connection = OutboundConnection(self._address.host, self._address.port)
        await connection.connect(CALL_TIMEOUT_S)
        return connection


def _row_id(table: StoreTable, key: str) -> dict[str, str]:
    return {"table": TABLE_NAMES[table], "part": PART, "key": key}


def _decode(call: str, response: HttpResponse, table: StoreTable | None = None) -> StoreAnswer:
    if response.status != 200:
        raise StoreError(call, f"status {response.status}")
    check_row = decode_target if table is StoreTable.TARGETS else None
    try:
        return decode_answer(response, check_row)
    except DecodeError as error:
        raise StoreError(call, str(error)) from error
