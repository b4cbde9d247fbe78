"""Callers that reuse their connections and record the responses."""

from __future__ import annotations

from contextlib import suppress
from itertools import count
from random import Random

import curio
import h11
from attrs import define
from attrs import field

from siskinward.platform._headers import HEADERS
from siskinward.platform.standins import HOST_NAME
from siskinward.transport.client_protocol import encode_request
from siskinward.transport.client_protocol import read_response
from siskinward.transport.clock import read_clock_s
from siskinward.transport.http_messages import HttpRequest
from siskinward.transport.http_messages import HttpResponse
from siskinward.transport.outbound_connection import ExchangeFailedError
from siskinward.transport.outbound_connection import OutboundConnection
from siskinward.transport.outbound_connection import SendPhase
from siskinward.transport.sockets import connect
from soak.vm_process import VmProcess

THINK_S = (0.02, 0.25)
CALL_TIMEOUT_S = 4.0
DISCONNECT_AFTER_S = 0.05
DISCONNECTING_SHARE = 0.05
# Bookings whose last byte is sent late, over a connection of their own.
UPLOADING_SHARE = 0.03
UPLOAD_S = (0.2, 4.0)
OBJECT_COUNT = 24
TIME_LEFT_MS = 3000


@define(eq=False)
class Call:
    """One request of a caller.

    ``response`` is None if there was none or the caller disconnects after ``DISCONNECT_AFTER_S``;
    ``has_disconnected`` is set from the start of such a call. ``may_have_arrived`` is set when the
    exchange failed after the connection was established. The start of an upload was sent before
    ``sent_s``.
    """

    attempt_id: str
    path: str
    key: str
    vm: VmProcess
    sent_s: float
    ended_s: float | None = None
    response: HttpResponse | None = None
    may_have_arrived: bool = False
    has_disconnected: bool = False
    is_upload: bool = False

    @property
    def status(self) -> int | None:
        """Status of the response, if there was one."""
        return None if self.response is None else self.response.status


@define
class Callers:
    """Runs many concurrent callers; ``calls`` records all of their requests."""

    vms: list[VmProcess]
    front_port: int
    random: Random
    keys: tuple[str, ...]
    calls: list[Call] = field(factory=list)
    _numbers: count[int] = field(factory=count)

    async def run(self, callers: int) -> None:
        """Run this number of callers until cancelled."""
        async with curio.TaskGroup() as group:
            for _ in range(callers):
                await group.spawn(self._run_caller)

    async def _run_caller(self) -> None:
        while True:
            vm = self.random.choice(self.vms)
            connection = OutboundConnection(vm.host, self.front_port)
            try:
                await connection.connect(1.0)
                while connection.is_open:
                    if self.random.random() < UPLOADING_SHARE:
                        await curio.spawn(self._upload, vm, daemon=True)
                    await self._call(vm, connection)
                    await curio.sleep(self.random.uniform(*THINK_S))
            except ExchangeFailedError:
                # A call that was sent stays recorded without a response. The next one may go to
                # another VM.
                await curio.sleep(self.random.uniform(*THINK_S))
            finally:
                await connection.close()

    async def _call(self, vm: VmProcess, connection: OutboundConnection) -> None:
        call, request = self._create(vm)
        self.calls.append(call)
        disconnects = self.random.random() < DISCONNECTING_SHARE
        try:
            if disconnects:
                call.has_disconnected = True
                await curio.ignore_after(
                    DISCONNECT_AFTER_S, connection.exchange, request, CALL_TIMEOUT_S
                )
                await connection.close()
            else:
                call.response = await connection.exchange(request, CALL_TIMEOUT_S)
        except ExchangeFailedError as error:
            call.may_have_arrived = error.phase is not SendPhase.NOT_CONNECTED
            raise
        finally:
            call.ended_s = read_clock_s()

    async def _upload(self, vm: VmProcess) -> None:
        """Send a booking slowly; the call begins with its last byte."""
        call, request = self._create(vm, "bookings")
        call.is_upload = True
        http = h11.Connection(h11.CLIENT)
        data = encode_request(http, request, request.headers)
        with suppress(OSError, h11.ProtocolError, curio.TaskTimeout):
            async with curio.timeout_after(1.0):
                sock = await connect(vm.host, self.front_port)
            async with sock:
                await sock.sendall(data[:-1])
                await curio.sleep(self.random.uniform(*UPLOAD_S))
                call.sent_s = read_clock_s()
                self.calls.append(call)
                try:
                    await sock.sendall(data[-1:])
                    call.may_have_arrived = True
                    async with curio.timeout_after(CALL_TIMEOUT_S):
                        call.response = await read_response(http, sock, lambda: None)
                finally:
                    call.ended_s = read_clock_s()

    def _create(self, vm: VmProcess, service: str = "") -> tuple[Call, HttpRequest]:
        attempt_id = f"attempt-{next(self._numbers):06}"
        service = service or self.random.choice(("listings", "bookings"))
        method = "POST" if service == "bookings" else "GET"
        path = f"/{service}/{self.random.randrange(OBJECT_COUNT)}"
        key = self.random.choice(self.keys)
        headers = (
            (b"host", HOST_NAME.encode()),
            (HEADERS.attempt_id, attempt_id.encode()),
            (HEADERS.time_left_ms, str(TIME_LEFT_MS).encode()),
            (HEADERS.object_key, path.encode()),
            (b"authorization", f"Bearer {key}".encode()),
        )
        body = b"row=7" if method == "POST" else b""
        call = Call(attempt_id, path, key, vm, read_clock_s())
        return call, HttpRequest(method, path, headers, body)
