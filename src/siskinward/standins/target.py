"""Stand-in for a target with slots, a load report, cold start, shedding, draining and faults."""

from __future__ import annotations

import json
import random
from typing import TYPE_CHECKING
from typing import Any

import curio
from attrs import Factory
from attrs import define
from attrs import frozen

from siskinward.transport.http_messages import HttpResponse
from siskinward.transport.http_server import HttpServer
from siskinward.transport.http_server import HttpServerSettings
from siskinward.transport.sockets import listen

if TYPE_CHECKING:

    from siskinward.transport.http_messages import HttpRequest

KEY_TEXT_PREFIX = b"demo-"
CRASH_MARKER = b"crash-target"
SHED_HEADER = (b"x-not-run", b"shed")
RUN_ID_HEADER = b"idempotency-key"
SILENCE_S = 3600.0


@frozen
class TargetStandinSettings:
    """Settings of a target.

    Service times are uniform between 0.5 and 1.5 times ``service_time_s``, and ``cold_factor``
    times longer for the first ``cold_requests`` requests.
    """

    name: str
    slots: int
    service_time_s: float = 0.02
    cold_requests: int = 5
    cold_factor: float = 3.0
    answer_size_bytes: int = 256


@define
class TargetStandin:
    """One target. It sheds requests beyond its slots and counts what the promise checks need."""

    settings: TargetStandinSettings
    rng: random.Random
    state: str = "up"
    running_count: int = 0
    peak_count: int = 0
    served_count: int = 0
    crash_count: int = 0
    shed_count: int = 0
    key_seen_count: int = 0
    runs_by_id: dict[str, int] = Factory(dict)
    work_while_draining_count: int = 0
    seen_ports: set[int] = Factory(set)
    silent_ports: set[int] = Factory(set)

    async def serve(self, host: str, port: int) -> None:
        """Serve until cancelled."""
        await HttpServer(HttpServerSettings(), self.handle).serve(listen(host, port))

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Answer a request for the load report, a change of state, or a unit of work.

        After ``POST /silence``, requests on connections that were used before get no answer.
        """
        if request.peer_port in self.silent_ports:
            await curio.sleep(SILENCE_S)
        self.seen_ports.add(request.peer_port)
        match request.method, request.target:
            case "GET", "/load":
                return _json(self.report())
            case "POST", "/silence":
                self.silent_ports |= self.seen_ports
                return _json(self.report())
            case "POST", "/state":
                self.state = request.body.decode()
                return _json(self.report())
            case _:
                return await self._work(request)

    def report(self) -> dict[str, Any]:
        """Return the load report, with the counters for the promise checks."""
        return {
            "name": self.settings.name,
            "state": self.state,
            "slots": self.settings.slots,
            "running": self.running_count,
            "peak": self.peak_count,
            "served": self.served_count,
            "shed": self.shed_count,
            "keys_seen": self.key_seen_count,
            "repeated_runs": sum(1 for runs in self.runs_by_id.values() if runs > 1),
            "runs": len(self.runs_by_id),
            "work_while_draining": self.work_while_draining_count,
        }

    async def _work(self, request: HttpRequest) -> HttpResponse:
        self._check_for_key(request)
        if self.state == "silent":
            await curio.sleep(SILENCE_S)
        if self.running_count >= self.settings.slots or self.state == "shedding":
            self.shed_count += 1
            return HttpResponse(503, (SHED_HEADER,))
        if self.state == "draining":
            self.work_while_draining_count += 1
        if CRASH_MARKER in request.body or self.state == "crashed":
            self.crash_count += int(self.state != "crashed")
            self.state = "crashed"
            raise ConnectionResetError("the target crashed")
        run_id = request.header(RUN_ID_HEADER)
        if run_id is not None:
            self.runs_by_id[run_id.decode()] = self.runs_by_id.get(run_id.decode(), 0) + 1
        self.running_count += 1
        self.peak_count = max(self.peak_count, self.running_count)
        try:
            await curio.sleep(self._service_time_s())
        finally:
            self.running_count -= 1
        self.served_count += 1
        return _json({"target": self.settings.name, "run": self.served_count}, self.settings)

    def _check_for_key(self, request: HttpRequest) -> None:
        parts = [request.target.encode(), request.body, *(v for _, v in request.headers)]
        if any(KEY_TEXT_PREFIX in part for part in parts):
            self.key_seen_count += 1

    def _service_time_s(self) -> float:
        factor = self.rng.uniform(0.5, 1.5)
        if self.served_count < self.settings.cold_requests:
            factor *= self.settings.cold_factor
        return self.settings.service_time_s * factor


def _json(value: dict[str, Any], settings: TargetStandinSettings | None = None) -> HttpResponse:
    body = json.dumps(value).encode()
    if settings is not None:
        body = body.ljust(settings.answer_size_bytes)
    return HttpResponse(200, ((b"content-type", b"application/json"),), body)
