"""Stand-in for the platform's store: linearizable rows, read by ``rows-get`` and ``rows-feed``.

Each entry VM reaches it at an address of its own, so that it can be silent towards some of them
("It may reject some machines (with 503, 429, a connection reset or no response)").
"""

from __future__ import annotations

import asyncio
import base64
import json
import time
from urllib.parse import parse_qs
from urllib.parse import urlsplit

from deployment.http import Request
from deployment.http import read_request
from deployment.http import render


class Store:
    def __init__(self) -> None:
        self.rows: dict[tuple[str, str], tuple[int, bytes]] = {}
        self.history: list[tuple[int, str, str, bytes | None]] = []
        self.version = 0
        self.changed = asyncio.Event()
        self.silent_hosts: set[str] = set()
        self._started_s = time.monotonic()
        self._servers: list[asyncio.AbstractServer] = []

    async def listen(self, host: str, port: int) -> None:
        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await self._serve(reader, writer, host)

        self._servers.append(await asyncio.start_server(serve, host, port))

    def put(self, table: str, key: str, value: bytes | None) -> int:
        self.version += 1
        if value is None:
            self.rows.pop((table, key), None)
        else:
            self.rows[(table, key)] = (self.version, value)
        self.history.append((self.version, table, key, value))
        self.changed.set()
        self.changed = asyncio.Event()
        return self.version

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, host: str
    ) -> None:
        try:
            while True:
                request = await read_request(reader)
                if request is None:
                    return
                if host in self.silent_hosts:
                    # No answer comes on this connection any more.
                    await asyncio.sleep(3600)
                await asyncio.sleep(0.004)
                status, body = await self._answer(request)
                if host in self.silent_hosts:
                    await asyncio.sleep(3600)
                headers = {"content-type": "application/json", "store-era": "0"}
                writer.write(render(status, headers, json.dumps(body).encode()))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            return
        finally:
            writer.close()

    async def _answer(self, request: Request) -> tuple[int, dict[str, object]]:
        parts = urlsplit(request.target)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        match parts.path:
            case "/v1/rows-get":
                return 200, self._get(query)
            case "/v1/rows-feed":
                return 200, await self._feed(query)
            case "/v1/rows-tx":
                return self._transact(json.loads(request.body))
        return 404, {}

    def _reply(self, rows: list[dict[str, object]], more: bool = False) -> dict[str, object]:
        now_ms = int((time.monotonic() - self._started_s) * 1000)
        return {"rows": rows, "more_pages": more, "ver": self.version, "now": f"{now_ms}ms"}

    def _get(self, query: dict[str, str]) -> dict[str, object]:
        limit = int(query.get("limit", 500))
        keys = sorted(
            key
            for table, key in self.rows
            if table == query["table"] and key >= query.get("from", "")
        )
        rows = [_row(query["table"], key, *self.rows[(query["table"], key)]) for key in keys]
        return self._reply(rows[:limit], len(rows) > limit)

    async def _feed(self, query: dict[str, str]) -> dict[str, object]:
        after = int(query["after"])
        end_s = time.monotonic() + int(query.get("wait_ms", 0)) / 1000
        while True:
            rows = [
                _row(table, key, version, value)
                for version, table, key, value in self.history
                if version > after and table == query["table"]
            ]
            left_s = end_s - time.monotonic()
            if rows or left_s <= 0:
                return self._reply(rows)
            try:
                await asyncio.wait_for(self.changed.wait(), left_s)
            except asyncio.TimeoutError:
                continue

    def _transact(self, body: dict[str, list[dict[str, object]]]) -> tuple[int, dict[str, object]]:
        for item in body["precondition"]:
            row = self.rows.get((str(item["table"]), str(item["key"])))
            if (row[0] if row else 0) != item["ver"]:
                return 412, self._reply([])
        for item in body["writes"]:
            value = base64.b64decode(str(item["value"]))
            self.put(str(item["table"]), str(item["key"]), value)
        for item in body["remove"]:
            self.put(str(item["table"]), str(item["key"]), None)
        return 200, self._reply([])


def _row(table: str, key: str, version: int, value: bytes | None) -> dict[str, object]:
    row: dict[str, object] = {"table": table, "part": "", "key": key, "ver": version}
    if value is None:
        row["removed"] = True
    else:
        row["value"] = base64.b64encode(value).decode()
    return row
