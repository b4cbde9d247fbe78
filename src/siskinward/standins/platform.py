"""Stand-in for the platform: table, object store and delayed VM list, with injected faults."""

from __future__ import annotations

import json
from collections import deque
from typing import TYPE_CHECKING

import curio
import msgpack
from attrs import Factory
from attrs import define

from siskinward.state.versions import content_hash_of
from siskinward.transport.clock import read_clock_s
from siskinward.transport.http_messages import HttpResponse
from siskinward.transport.http_server import HttpServer
from siskinward.transport.http_server import HttpServerSettings
from siskinward.transport.sockets import listen

if TYPE_CHECKING:
    from siskinward.transport.http_messages import HttpRequest

FAULT_FIELDS = ("delay_s", "is_out", "lost_answers", "list_lag_s")


@define
class PlatformFaults:
    """Active faults.

    ``lost_answers`` counts transactions still to be answered with 504 after they took effect;
    ``list_lag_s`` is the minimum age of the VM list that is returned.
    """

    delay_s: float = 0.0
    is_out: bool = False
    lost_answers: int = 0
    list_lag_s: float = 0.0


@define
class PlatformStandin:
    """Holds rows, objects and the VM list in memory.

    ``POST /faults`` sets the fields of ``PlatformFaults`` from a JSON object.
    """

    faults: PlatformFaults = Factory(PlatformFaults)
    rows: dict[str, tuple[int, bytes]] = Factory(dict)
    objects: dict[str, bytes] = Factory(dict)
    listings: deque[tuple[float, bytes]] = Factory(deque)
    read_count: int = 0
    write_count: int = 0

    async def serve(self, host: str, port: int) -> None:
        """Serve until cancelled."""
        self.listings.append((read_clock_s(), msgpack.packb([])))
        await HttpServer(HttpServerSettings(), self.handle).serve(listen(host, port))

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Answer one request, subject to the active faults."""
        if request.target == "/faults":
            return self._set_faults(request.body)
        if request.target == "/counts":
            counts = {"reads": self.read_count, "writes": self.write_count}
            return HttpResponse(200, (), json.dumps(counts).encode())
        if self.faults.delay_s > 0:
            await curio.sleep(self.faults.delay_s)
        if self.faults.is_out:
            return HttpResponse(503)
        response = await self._answer(request)
        if request.target == "/table/transact" and self.faults.lost_answers > 0:
            self.faults.lost_answers -= 1
            return HttpResponse(504)
        return response

    async def _answer(self, request: HttpRequest) -> HttpResponse:
        match request.method, request.target.split("/")[1:]:
            case "POST", ["table", "read"]:
                return self._read(msgpack.unpackb(request.body))
            case "POST", ["table", "transact"]:
                return self._transact(msgpack.unpackb(request.body))
            case "PUT", ["objects", name]:
                return self._put(name, request.body)
            case "GET", ["objects", name] if name in self.objects:
                self.read_count += 1
                return HttpResponse(200, (), self.objects[name])
            case "GET", ["vms"]:
                self.read_count += 1
                return HttpResponse(200, (), await self._listing())
            case "PUT", ["vms"]:
                self.listings.append((read_clock_s(), request.body))
                return HttpResponse(200)
            case _:
                return HttpResponse(404)

    def _read(self, keys: list[str]) -> HttpResponse:
        self.read_count += 1
        rows = [[key, *self.rows.get(key, (0, b""))] for key in keys]
        return HttpResponse(200, (), msgpack.packb(rows))

    def _transact(self, writes: list[tuple[str, int, bytes]]) -> HttpResponse:
        self.write_count += 1
        is_current = all(self._version(key) == expected for key, expected, _ in writes)
        if is_current:
            for key, expected, value in writes:
                self.rows[key] = (expected + 1, value)
        outcome = "applied" if is_current else "conflict"
        versions = [[key, self._version(key)] for key, _, _ in writes]
        return HttpResponse(200, (), msgpack.packb([outcome, versions]))

    def _version(self, key: str) -> int:
        return self.rows.get(key, (0, b""))[0]

    def _put(self, name: str, content: bytes) -> HttpResponse:
        if content_hash_of(content) != name:
            return HttpResponse(400)
        self.write_count += 1
        self.objects[name] = content
        return HttpResponse(200)

    async def _listing(self) -> bytes:
        """Return the newest listing that is at least ``list_lag_s`` old."""
        cutoff_s = read_clock_s() - self.faults.list_lag_s
        while len(self.listings) > 1 and self.listings[1][0] <= cutoff_s:
            self.listings.popleft()
        return self.listings[0][1]

    def _set_faults(self, body: bytes) -> HttpResponse:
        try:
            changes = json.loads(body)
        except ValueError:
            return HttpResponse(400)
        if not isinstance(changes, dict) or not changes.keys() <= set(FAULT_FIELDS):
            return HttpResponse(400)
        for name, value in changes.items():
            setattr(self.faults, name, value)
        return HttpResponse(200)
