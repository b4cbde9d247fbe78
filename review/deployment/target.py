"""Stand-in for a backend, as PROTOCOL.md describes it."""

from __future__ import annotations

import asyncio
import json
import time
from dataclasses import dataclass
from dataclasses import field

from deployment.http import Request
from deployment.http import read_request
from deployment.http import render
from deployment.record import Record
from deployment.store import Store


@dataclass
class Target:
    """Runs each request for ``work_s``; ``arrivals`` has the VM, id and time of each request."""

    name: str
    service: str
    host: str
    port: int
    zone: str
    record: Record
    slots: int = 3
    work_s: float = 0.05
    answer_bytes: int = 0
    is_leaving: bool = False
    retry_after_s: float | None = None
    arrivals: list[tuple[str, str, float]] = field(default_factory=list)
    runs: list[tuple[str, str, str, bytes]] = field(default_factory=list)
    cut_hosts: set[str] = field(default_factory=set)
    refused: list[tuple[str, float]] = field(default_factory=list)
    running: int = 0
    _seq: int = 0
    _server: asyncio.AbstractServer | None = None
    _writers: set[asyncio.StreamWriter] = field(default_factory=set)
    _born_ms: int = field(default_factory=lambda: int(time.time() * 1000))

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, self.host, self.port)

    async def report_periodically(self, store: Store) -> None:
        """Write the entry about every ``heartbeat`` (1500ms)."""
        while True:
            # A store that is silent takes no entry either.
            if not store.silent_hosts:
                self.report(store, "ready")
            await asyncio.sleep(1.5)

    def report(self, store: Store, state: str) -> None:
        self._seq += 1
        entry = {
            "address": f"{self.host}:{self.port}",
            "born": self._born_ms,
            "info": {
                "service": self.service,
                "version": "v1",
                "zone": self.zone,
                "slots": self.slots,
            },
            "status": {"state": state, "seq": self._seq, "warmup_left": "0ms"},
        }
        store.put("servers", self.name, json.dumps(entry).encode())

    def stop(self) -> None:
        """Exit: refuse connections from now on and reset the open ones."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    def cut(self, host: str) -> None:
        """Reset the connections of a VM, those that it opens too."""
        self.cut_hosts.add(host)
        for writer in list(self._writers):
            if writer.get_extra_info("peername")[0] == host:
                writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        host = writer.get_extra_info("peername")[0]
        if host in self.cut_hosts:
            writer.transport.abort()
            return
        self._writers.add(writer)
        try:
            while True:
                request = await read_request(reader)
                if request is None:
                    return
                status, headers, body = await self._answer(request, host)
                writer.write(render(status, headers, body))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            return
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, request: Request, host: str) -> tuple[int, dict[str, str], bytes]:
        headers = self._common_headers()
        if request.target == "/health":
            headers["x-instance-id"] = self.name
            return (503 if self.is_leaving else 200), headers, b""
        attempt = request.headers.get("x-attempt-id", "")
        headers["x-attempt-id"] = attempt
        expected = request.headers.get("x-expect-instance", self.name)
        if expected != self.name:
            headers["x-instance-id"] = self.name
            return 421, headers, b""
        now_s = self.record.now_s()
        self.arrivals.append((host, attempt, now_s))
        if self.retry_after_s is not None:
            self.refused.append((host, now_s))
            self.record.write(f"{self.name} rejects {attempt} of {host}: 503, Retry-After")
            headers["x-not-executed"] = "1"
            headers["retry-after"] = f"{self.retry_after_s:g}"
            return 503, headers, b""
        if self.running >= 4 * self.slots:
            headers["x-not-executed"] = "1"
            return 503, headers, b""
        self.runs.append((attempt, request.method, request.target, request.body))
        leaving = " (leaving)" if self.is_leaving else ""
        self.record.write(f"{self.name}{leaving} runs {attempt}, sent by {host}")
        self.running += 1
        try:
            await asyncio.sleep(self.work_s)
        finally:
            self.running -= 1
        headers |= self._common_headers()
        headers["x-response-signature"] = f"{self.name}.{attempt}"
        return 200, headers, f"{self.name} ran {attempt}".encode().ljust(self.answer_bytes)

    def _common_headers(self) -> dict[str, str]:
        running = min(self.running, self.slots)
        headers = {"x-backend-load": f"{running},{self.running - running},{self.slots}"}
        if self.is_leaving:
            headers["server-leaving"] = "1"
        return headers
