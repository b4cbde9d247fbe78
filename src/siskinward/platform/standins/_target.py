"""Stand-in for a target of the platform, with fault injection."""

from __future__ import annotations

import json
from typing import Any

import curio
import h11
from attrs import define
from attrs import field
from attrs import frozen

from siskinward.platform._headers import HEADERS
from siskinward.platform.standins._spoilt_answers import close_or_reset
from siskinward.platform.standins._spoilt_answers import cut_within_head
from siskinward.platform.standins._spoilt_answers import send_endlessly
from siskinward.platform.standins._spoilt_answers import send_without_length
from siskinward.platform.standins._target_faults import ENDLESS_ANSWERS
from siskinward.platform.standins._target_faults import RefusalCopy
from siskinward.platform.standins._target_faults import TargetFault
from siskinward.transport.clock import read_clock_s
from siskinward.transport.http_messages import Headers
from siskinward.transport.http_messages import HttpRequest
from siskinward.transport.http_messages import HttpResponse
from siskinward.transport.server_protocol import encode_response
from siskinward.transport.sockets import listen
from siskinward.transport.sockets import reset

HEALTH_PATH = "/health"


@define
class RunRecord:
    """A request that a target started to run; ``ended_s`` stays None if it did not finish."""

    attempt_id: str
    path: str
    account: str
    authorization: str
    time_left_ms: int
    started_s: float
    ended_s: float | None = None


@frozen
class ArrivalRecord:
    """A request, probes aside, that reached a target, whether or not it ran."""

    attempt_id: str
    at_s: float


@frozen
class RestRecord:
    """A request that a target turned away and asked to come back after ``rest``, as stated."""

    attempt_id: str
    at_s: float
    rest: str


@define(eq=False)
class TargetStandIn:
    """Runs each request for ``work_s`` and records it in ``runs``.

    Reports at most ``slots`` requests as running and the others as waiting, and sheds requests
    while ``4 * slots`` are being handled. ``fault`` affects the next ``remaining_faults``
    requests, in the form that ``fault_variant`` selects; between two pieces of an endless answer
    ``endless_gap_s`` pass. ``rate_limit`` is
    stated in every answer, as given, as is ``leaving``, by which it says that it leaves; a request
    that it runs ends with ``run_status``. With ``rest``, it asks callers that it turns away to come
    back after that time, health checks too if ``sheds_probes``; ``rests`` has the requests that it
    answered so. ``extra_headers`` precede the others. ``arrivals`` has each request that reached
    the target, ``arrivals_s`` the time of each, probes included, misdirected ones not, and
    ``stated_s`` that of each whole answer that stated a limit; ``crashes_s`` that of each crash.
    ``advertised_host`` is where callers reach the target, if that is not ``host``.
    """

    name: str
    service: str
    host: str
    port: int
    zone: str
    slots: int = 3
    work_s: float = 0.05
    started_ms: int = 1
    fault: TargetFault = TargetFault.NONE
    remaining_faults: int = 1_000_000
    fault_variant: int = 0
    endless_gap_s: float = 0.0
    warmup_left_ms: int = 0
    advertised_host: str = ""
    rate_limit: str | None = None
    leaving: str | None = None
    run_status: int = 200
    rest: str | None = None
    sheds_probes: bool = False
    extra_headers: tuple[tuple[bytes, bytes], ...] = ()
    runs: list[RunRecord] = field(factory=list)
    arrivals: list[ArrivalRecord] = field(factory=list)
    arrivals_s: list[float] = field(factory=list)
    stated_s: list[float] = field(factory=list)
    rests: list[RestRecord] = field(factory=list)
    crashes_s: list[float] = field(factory=list)
    probes: int = 0
    heartbeat: int = 1
    _running: int = 0
    _sockets: set[Any] = field(factory=set)
    _duplicate_answers: dict[Any, bytes] = field(factory=dict)
    _refusals: dict[Any, bytes] = field(factory=dict)
    _task: Any = None

    def encode_entry(self, state: str = "ready") -> bytes:
        """Return the target's status row for the store."""
        entry = {
            "address": f"{self.advertised_host or self.host}:{self.port}",
            "born": self.started_ms,
            "info": {
                "service": self.service,
                "version": "v1",
                "zone": self.zone,
                "slots": self.slots,
            },
            "status": {
                "state": state,
                "seq": self.heartbeat,
                "warmup_left": f"{self.warmup_left_ms}ms",
            },
        }
        return json.dumps(entry).encode()

    async def start(self) -> None:
        """Listen in the background, unless already listening."""
        if self._task is None:
            self._task = await curio.spawn(self._serve, daemon=True)

    async def crash(self) -> None:
        """Stop at once: reset open connections and refuse new ones."""
        self.crashes_s.append(read_clock_s())
        task, self._task = self._task, None
        if task is not None:
            await task.cancel()
        for sock in list(self._sockets):
            await reset(sock)

    async def _serve(self) -> None:
        async with listen(self.host, self.port) as listener:
            while True:
                sock, _ = await listener.accept()
                self._sockets.add(sock)
                await curio.spawn(self._serve_connection, sock, daemon=True)

    async def _serve_connection(self, sock: Any) -> None:
        http = h11.Connection(h11.SERVER)
        try:
            async with sock:
                while await self._serve_one(sock, http):
                    http.start_next_cycle()
        except OSError:
            # The caller has closed the connection, or the stand-in crashed.
            return
        finally:
            self._sockets.discard(sock)
            self._refusals.pop(sock, None)

    async def _serve_one(self, sock: Any, http: h11.Connection) -> bool:
        request = await _read(sock, http)
        if request is None:
            return False
        extra = self._duplicate_answers.pop(sock, None)
        if extra is not None:
            await sock.sendall(extra)
        work = await curio.spawn(self._handle, request, sock)
        watch = await curio.spawn(_cancel_on_disconnect, sock, work, daemon=True)
        try:
            response: HttpResponse | None = await work.join()
        except curio.TaskError:
            # The caller disconnected, and the work was cancelled.
            return False
        finally:
            await watch.cancel()
        if response is None:
            return False
        return await self._write(sock, http, response) and http.our_state is h11.DONE

    async def _handle(self, request: HttpRequest, sock: Any) -> HttpResponse | None:
        if request.target != HEALTH_PATH:
            attempt_id = _text(request, HEADERS.attempt_id)
            self.arrivals.append(ArrivalRecord(attempt_id, read_clock_s()))
        expected = request.header(HEADERS.expected_target)
        if expected is not None and expected.decode() != self.name:
            return HttpResponse(
                421, (*_echo(request), (HEADERS.target, self.name.encode()), *self._stated())
            )
        self.arrivals_s.append(read_clock_s())
        if request.target == HEALTH_PATH:
            self.probes += 1
            if self.sheds_probes:
                return self._turn_away(request)
            return self._health()
        if self._sheds() or self._running >= self.slots * 4:
            return self._turn_away(request)
        return await self._run(request, sock)

    def _turn_away(self, request: HttpRequest) -> HttpResponse:
        if self.rest is not None:
            attempt_id = _text(request, HEADERS.attempt_id)
            self.rests.append(RestRecord(attempt_id, read_clock_s(), self.rest))
        rest = _header(HEADERS.retry_after, self.rest)
        not_run = (HEADERS.not_run, b"1")
        stated = (self._load(), *rest, *self._stated())
        return HttpResponse(503, (*self.extra_headers, *_echo(request), not_run, *stated))

    async def _run(self, request: HttpRequest, sock: Any) -> HttpResponse | None:
        record = RunRecord(
            attempt_id=_text(request, HEADERS.attempt_id),
            path=request.target,
            account=_text(request, HEADERS.client_account),
            authorization=_text(request, b"authorization"),
            time_left_ms=int(_text(request, HEADERS.time_left_ms) or 0),
            started_s=read_clock_s(),
        )
        self.runs.append(record)
        self._running += 1
        try:
            if self._try_inject(TargetFault.CRASHES):
                await curio.spawn(self.crash, daemon=True)
                await curio.sleep(1.0)
            await curio.sleep(self.work_s)
        finally:
            self._running -= 1
        if self.fault in ENDLESS_ANSWERS:
            answer = ENDLESS_ANSWERS[self.fault]
            await send_endlessly(sock, answer, lambda: self.endless_gap_s)
        record.ended_s = read_clock_s()
        if self._try_inject(TargetFault.LOSES_ANSWERS):
            await reset(sock)
            return None
        status = self._status()
        headers = (
            *self.extra_headers,
            (HEADERS.attempt_id, record.attempt_id.encode()),
            (HEADERS.signature, f"{self.name}.{record.attempt_id}".encode()),
            self._load(),
            *self._stated(),
        )
        return HttpResponse(status, headers, f"{self.name} ran {record.attempt_id}".encode())

    async def _write(self, sock: Any, http: h11.Connection, response: HttpResponse) -> bool:
        """Write an answer; return whether the connection may carry more."""
        data = encode_response(http, response, closes=False)
        if self._try_inject(TargetFault.TRUNCATES_ANSWERS):
            await sock.sendall(data[:-3])
            return False
        if self._try_inject(TargetFault.STOPS_IN_HEAD):
            await sock.sendall(cut_within_head(data, self.remaining_faults))
            await close_or_reset(sock, resets=bool(self.fault_variant % 2))
            return False
        if self._try_inject(TargetFault.NO_LENGTH):
            await send_without_length(sock, data)
            self._record_stated(response)
            return False
        await self._write_with_copy(sock, response, data)
        return True

    async def _write_with_copy(self, sock: Any, response: HttpResponse, data: bytes) -> None:
        """Write an answer, and the connection's last refusal again if that is the fault."""
        copy = self._refusals.get(sock, b"")
        if response.header(HEADERS.not_run) is not None:
            self._refusals[sock] = data
        if self.fault is not TargetFault.REPEATS_REFUSALS or not copy:
            copy = b""
        match RefusalCopy(self.fault_variant % len(RefusalCopy)):
            case RefusalCopy.PIECE if copy:
                # What follows the piece can't be read, nor the limit that it states.
                await sock.sendall(cut_within_head(copy, self.remaining_faults) + data)
                return
            case RefusalCopy.BEHIND:
                await sock.sendall(data + copy)
            case _:
                await sock.sendall(copy)
                await sock.sendall(data)
        self._record_stated(response)
        if self._try_inject(TargetFault.DOUBLES_ANSWERS):
            # Sent before the next answer, where the client expects that one.
            self._duplicate_answers[sock] = data

    def _try_inject(self, fault: TargetFault) -> bool:
        if self.fault is not fault or self.remaining_faults <= 0:
            return False
        self.remaining_faults -= 1
        return True

    def _record_stated(self, response: HttpResponse) -> None:
        """Record the statement of a limit, in an answer that was written whole."""
        if response.header(HEADERS.rate_limit) is not None:
            self.stated_s.append(read_clock_s())

    def _sheds(self) -> bool:
        """Return whether to refuse a request; one of two is, where refusals are repeated."""
        if self._try_inject(TargetFault.SHEDS):
            return True
        return self._try_inject(TargetFault.REPEATS_REFUSALS) and bool(self.remaining_faults % 2)

    def _status(self) -> int:
        """Return the status of a request that ran."""
        if self._try_inject(TargetFault.FAILS_AS_REFUSED):
            return 503
        return 500 if self._try_inject(TargetFault.FAILS) else self.run_status

    def _load(self) -> tuple[bytes, bytes]:
        running = min(self._running, self.slots)
        load = f"{running},{self._running - running},{self.slots}"
        return (HEADERS.load, load.encode())

    def _stated(self) -> Headers:
        """Return what the target states in all answers to its callers."""
        limit = _header(HEADERS.rate_limit, self.rate_limit)
        return (*limit, *_header(HEADERS.leaving, self.leaving))

    def _health(self) -> HttpResponse:
        headers = (
            *self.extra_headers,
            (HEADERS.target, self.name.encode()),
            (HEADERS.warmup_left_ms, str(self.warmup_left_ms).encode()),
            *self._stated(),
        )
        return HttpResponse(200, headers)


async def _read(sock: Any, http: h11.Connection) -> HttpRequest | None:
    head: h11.Request | None = None
    body = b""
    while True:
        event = http.next_event()
        match event:
            case h11.NEED_DATA:
                http.receive_data(await sock.recv(65536))
            case h11.Request():
                head = event
            case h11.Data():
                body += bytes(event.data)
            case h11.EndOfMessage():
                assert head is not None
                method, target = head.method.decode(), head.target.decode()
                return HttpRequest(method, target, tuple(head.headers), body)
            case _:
                return None


async def _cancel_on_disconnect(sock: Any, work: Any) -> None:
    """Cancel the work when its caller closes or resets the connection."""
    try:
        while await sock.recv(65536):
            pass
    except OSError:
        # The caller reset the connection.
        pass
    await work.cancel()


def _echo(request: HttpRequest) -> tuple[tuple[bytes, bytes], ...]:
    """Return the header with a request's id, which all answers repeat."""
    attempt_id = request.header(HEADERS.attempt_id)
    return () if attempt_id is None else ((HEADERS.attempt_id, attempt_id),)


def _header(name: bytes, value: str | None) -> Headers:
    return () if value is None else ((name, value.encode()),)


def _text(request: HttpRequest, name: bytes) -> str:
    return (request.header(name) or b"").decode()
