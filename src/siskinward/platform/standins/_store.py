"""In-memory stand-in for the platform's store, with fault injection."""

from __future__ import annotations

import base64
import json
from enum import Enum
from typing import TYPE_CHECKING
from typing import Any
from urllib.parse import parse_qs
from urllib.parse import urlsplit

import curio
from attrs import define
from attrs import frozen

from siskinward.transport.clock import read_clock_s
from siskinward.transport.front_server import Arrival
from siskinward.transport.front_server import FrontServer
from siskinward.transport.http_messages import HttpRequest
from siskinward.transport.http_messages import HttpResponse
from siskinward.transport.sockets import listen

if TYPE_CHECKING:
    from siskinward.platform.standins._operator_configuration import OperatorConfiguration
    from siskinward.platform.standins._target import TargetStandIn

PAGE_ROWS = 500
PAGE_BYTES = 1_000_000
SILENCE_S = 3600.0


class StoreFault(Enum):
    """Faults that can be injected into the store.

    BUSY refuses calls. SILENT leaves them unprocessed for ``SILENCE_S``.
    LOSES_ANSWERS carries them out at once and then sends no answer for ``SILENCE_S``.
    """

    NONE = "none"
    BUSY = "busy"
    SILENT = "silent"
    LOSES_ANSWERS = "loses-answers"


@define
class _Row:
    table: str
    key: str
    value: bytes | None
    version: int


@frozen
class StoreCopy:
    """The store's rows, history and version at one moment."""

    rows: dict[tuple[str, str], _Row]
    history: tuple[_Row, ...]
    version: int


class StoreStandIn:
    """Keeps rows in memory and serves them over HTTP.

    ``fault`` affects every call: the store cannot limit it to some of its callers. ``era`` counts
    the times that the store came back from a copy. ``odd_rows`` are added to each answer with rows,
    as they are, and ``odd_fields`` replace those of its body.
    """

    def __init__(self, host: str, port: int) -> None:
        self._host = host
        self._port = port
        self._rows: dict[tuple[str, str], _Row] = {}
        self._history: list[_Row] = []
        self._compacted_version = 0
        self._version = 0
        self._changed = curio.Event()
        self.era = 0
        self.fault = StoreFault.NONE
        self.odd_rows: list[Any] = []
        self.odd_fields: dict[str, Any] = {}
        self.delay_s = 0.004
        self.calls: dict[str, int] = {}

    async def run(self) -> None:
        """Serve until cancelled."""
        await FrontServer(self._handle).serve(listen(self._host, self._port))

    async def put(self, table: str, key: str, value: bytes | None) -> int:
        """Write a row, or remove it if ``value`` is None; return the new version."""
        self._version += 1
        row = _Row(table, key, value, self._version)
        if value is None:
            self._rows.pop((table, key), None)
        else:
            self._rows[(table, key)] = row
        self._history.append(row)
        await self._changed.set()
        return self._version

    async def publish(self, configuration: OperatorConfiguration) -> None:
        """Write the next version of the operator's configuration."""
        await self.put("op", "config", configuration.encode())

    async def report(self, target: TargetStandIn, state: str = "ready") -> None:
        """Increment a target's heartbeat and write its status row."""
        target.heartbeat += 1
        await self.put("servers", target.name, target.encode_entry(state))

    def drop_history(self) -> None:
        """Drop the change history; reads of earlier changes are then answered with 410."""
        self._history.clear()
        self._compacted_version = self._version

    def take_copy(self) -> StoreCopy:
        """Return a copy of the rows, to come back from."""
        return StoreCopy(dict(self._rows), tuple(self._history), self._version)

    async def come_back_from(self, copy: StoreCopy, *, away_s: float) -> None:
        """Refuse calls for a while, then lose what was written since the copy, versions too."""
        self.fault = StoreFault.BUSY
        await curio.sleep(away_s)
        self._rows = dict(copy.rows)
        self._history = list(copy.history)
        self._compacted_version = min(self._compacted_version, copy.version)
        self._version = copy.version
        self.era += 1
        self.fault = StoreFault.NONE
        await self._changed.set()

    def keys(self, table: str) -> set[str]:
        """Return the keys of a table's rows."""
        return {key for name, key in self._rows if name == table}

    async def _handle(self, arrival: Arrival) -> HttpResponse:
        request = arrival.request
        parts = urlsplit(request.target)
        call = parts.path.removeprefix("/v1/")
        self.calls[call] = self.calls.get(call, 0) + 1
        await curio.sleep(self.delay_s)
        match self.fault:
            case StoreFault.BUSY:
                return self._refuse(503)
            case StoreFault.SILENT:
                await curio.sleep(SILENCE_S)
            case StoreFault.LOSES_ANSWERS:
                await self._answer(call, parts.query, request)
                await curio.sleep(SILENCE_S)
            case StoreFault.NONE:
                pass
        return await self._answer(call, parts.query, request)

    async def _answer(self, call: str, query_text: str, request: HttpRequest) -> HttpResponse:
        query = {name: values[0] for name, values in parse_qs(query_text).items()}
        match call:
            case "rows-get":
                return self._get(query)
            case "rows-feed":
                return await self._feed(query)
            case "rows-tx":
                return await self._transact(json.loads(request.body))
            case _:
                return self._refuse(404)

    def _get(self, query: dict[str, str]) -> HttpResponse:
        start = query.get("from", "")
        rows = sorted(
            (row for (table, key), row in self._rows.items() if table == query["table"]),
            key=lambda row: row.key,
        )
        rows = [row for row in rows if row.key >= start]
        page = _first_page(rows, int(query.get("limit", PAGE_ROWS)))
        return self._reply(page, more_pages=len(page) < len(rows))

    async def _feed(self, query: dict[str, str]) -> HttpResponse:
        after = int(query["after"])
        deadline_s = read_clock_s() + int(query.get("wait_ms", 0)) / 1000.0
        while True:
            if after < self._compacted_version or after > self._version:
                return self._refuse(410)
            rows = [
                row for row in self._history if row.version > after and row.table == query["table"]
            ]
            left_s = deadline_s - read_clock_s()
            if rows or left_s <= 0:
                return self._reply(rows)
            self._changed.clear()
            await curio.ignore_after(left_s, self._changed.wait)

    async def _transact(self, body: dict[str, Any]) -> HttpResponse:
        for condition in body["precondition"]:
            row = self._rows.get((condition["table"], condition["key"]))
            if (row.version if row else 0) != condition["ver"]:
                return self._refuse(412)
        for write in body["writes"]:
            await self.put(write["table"], write["key"], base64.b64decode(write["value"]))
        for row_id in body["remove"]:
            await self.put(row_id["table"], row_id["key"], None)
        return self._reply([])

    def _reply(self, rows: list[_Row], *, more_pages: bool = False) -> HttpResponse:
        body: dict[str, Any] = {
            "rows": [*(_encode(row) for row in rows), *self.odd_rows],
            "more_pages": more_pages,
            "ver": self._version,
            "now": f"{int(read_clock_s() * 1000)}ms",
            **self.odd_fields,
        }
        headers = ((b"content-type", b"application/json"), *self._era_header())
        return HttpResponse(200, headers, json.dumps(body).encode())

    def _refuse(self, status: int) -> HttpResponse:
        return HttpResponse(status, self._era_header(), json.dumps({"rows": []}).encode())

    def _era_header(self) -> tuple[tuple[bytes, bytes], ...]:
        return ((b"store-era", str(self.era).encode()),)


def _first_page(rows: list[_Row], limit: int) -> list[_Row]:
    """Return the first rows, up to a number of them and ``PAGE_BYTES``, but one in any case."""
    size_bytes = 0
    for number, row in enumerate(rows[:limit]):
        size_bytes += len(json.dumps(_encode(row)))
        if number and size_bytes > PAGE_BYTES:
            return rows[:number]
    return rows[:limit]


def _encode(row: _Row) -> dict[str, Any]:
    encoded: dict[str, Any] = {
        "table": row.table,
        "part": "",
        "key": row.key,
        "ver": row.version,
    }
    if row.value is None:
        encoded["removed"] = True
    else:
        encoded["value"] = base64.b64encode(row.value).decode()
    return encoded
