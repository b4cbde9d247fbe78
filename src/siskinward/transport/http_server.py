"""HTTP/1.1 server over curio and h11. Requests and answers are buffered whole."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

import curio
import curio.socket
import h11
from attrs import frozen

from siskinward.coordination.outcomes import RefusalReason
from siskinward.transport.clock import read_clock_s
from siskinward.transport.http_messages import HttpRequest
from siskinward.transport.http_messages import HttpResponse
from siskinward.transport.sockets import RECEIVE_SIZE_BYTES
from siskinward.transport.task_set import TaskSet

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

HEADER_LIMIT_BYTES = 16 * 1024
BODY_LIMIT_BYTES = 4 * 1024 * 1024
IDLE_TIMEOUT_S = 75.0
READ_TIMEOUT_S = 10.0
DRAIN_POLL_S = 0.05


@frozen
class HttpServerSettings:
    """Limits of one server. A caller that sends too slowly or too much is refused."""

    header_limit_bytes: int = HEADER_LIMIT_BYTES
    body_limit_bytes: int = BODY_LIMIT_BYTES
    idle_timeout_s: float = IDLE_TIMEOUT_S
    read_timeout_s: float = READ_TIMEOUT_S


class HttpServer:
    """Serves one port. ``handler`` answers requests; ``on_refusal`` counts malformed ones."""

    def __init__(
        self,
        settings: HttpServerSettings,
        handler: Callable[[HttpRequest], Awaitable[HttpResponse]],
        on_refusal: Callable[[RefusalReason], None] = lambda reason: None,
    ) -> None:
        self._settings = settings
        self._handler = handler
        self._on_refusal = on_refusal
        self._leaving = False
        self._connections: dict[int, _ServerConnection] = {}
        self._tasks = TaskSet()

    @property
    def connection_count(self) -> int:
        """Number of open connections."""
        return len(self._connections)

    async def serve(self, listener: Any) -> None:
        """Accept connections on a socket of ``listen`` until cancelled."""
        async with listener:
            while True:
                sock, address = await listener.accept()
                self._tasks.discard_ended()
                await self._tasks.spawn(self._serve_connection, sock, address)

    def begin_shutdown(self) -> None:
        """Answer what comes, with ``Connection: close``, so that callers move away."""
        self._leaving = True

    async def wait_drained(self, limit_s: float) -> bool:
        """Wait until every connection has closed, at most ``limit_s``; True if it has."""
        deadline_s = read_clock_s() + limit_s
        while self._connections and read_clock_s() < deadline_s:
            await curio.sleep(DRAIN_POLL_S)
        return not self._connections

    async def close(self) -> None:
        """Cut off what is still open."""
        await self._tasks.cancel()

    async def _serve_connection(self, sock: Any, address: tuple[str, int]) -> None:
        connection = _ServerConnection(self._settings, sock, address)
        self._connections[id(connection)] = connection
        try:
            async with sock:
                await self._serve_requests(connection)
        except (ConnectionError, OSError):
            return
        finally:
            del self._connections[id(connection)]

    async def _serve_requests(self, connection: _ServerConnection) -> None:
        while True:
            try:
                request = await connection.read_request()
            except _MalformedRequestError as error:
                self._on_refusal(error.reason)
                await connection.write_response(_malformed_response(error), closing=True)
                return
            except curio.TaskTimeout:
                return
            if request is None:
                return
            response = await self._handler(request)
            await connection.write_response(response, closing=self._leaving)
            if not connection.start_next_cycle():
                return


class _MalformedRequestError(Exception):
    def __init__(self, reason: RefusalReason, status: int) -> None:
        super().__init__(reason.value)
        self.reason = reason
        self.status = status


def _has_ambiguous_length(head: h11.Request) -> bool:
    # A server behind this one might believe the other of the two headers.
    names = {name for name, _ in head.headers}
    return b"transfer-encoding" in names and b"content-length" in names


def _malformed_response(error: _MalformedRequestError) -> HttpResponse:
    body = f'{{"refused": "{error.reason.value}", "outcome": "not-run"}}\n'
    return HttpResponse(error.status, ((b"content-type", b"application/json"),), body.encode())


class _ServerConnection:
    def __init__(self, settings: HttpServerSettings, sock: Any, address: tuple[str, int]) -> None:
        self._settings = settings
        self._sock = sock
        self._address = address
        self._http = h11.Connection(h11.SERVER, settings.header_limit_bytes)

    async def read_request(self) -> HttpRequest | None:
        """Read one whole request; None when the caller has closed the connection."""
        head = await self._next_event(self._settings.idle_timeout_s)
        if not isinstance(head, h11.Request):
            return None
        if _has_ambiguous_length(head):
            raise _MalformedRequestError(RefusalReason.MALFORMED, 400)
        body = await self._read_body()
        return HttpRequest(
            method=head.method.decode("ascii"),
            target=head.target.decode("ascii"),
            headers=tuple(head.headers),
            body=body,
            peer=self._address[0],
            peer_port=self._address[1],
        )

    async def _read_body(self) -> bytes:
        chunks: list[bytes] = []
        size_bytes = 0
        while True:
            event = await self._next_event(self._settings.read_timeout_s)
            match event:
                case h11.Data():
                    size_bytes += len(event.data)
                    if size_bytes > self._settings.body_limit_bytes:
                        raise _MalformedRequestError(RefusalReason.TOO_LARGE, 413)
                    chunks.append(bytes(event.data))
                case h11.EndOfMessage():
                    return b"".join(chunks)
                case _:
                    raise ConnectionResetError("the caller closed inside a request")

    async def _next_event(self, timeout_s: float) -> Any:
        while True:
            try:
                event = self._http.next_event()
            except h11.RemoteProtocolError as error:
                reason = RefusalReason.MALFORMED
                if error.error_status_hint == 431:
                    reason = RefusalReason.TOO_LARGE
                raise _MalformedRequestError(reason, error.error_status_hint) from error
            if event is not h11.NEED_DATA:
                return event
            await self._receive(timeout_s)

    async def _receive(self, timeout_s: float) -> None:
        if self._http.they_are_waiting_for_100_continue:
            informational = h11.InformationalResponse(status_code=100, headers=[])
            await self._sock.sendall(self._http.send(informational))
        async with curio.timeout_after(timeout_s):
            data = await self._sock.recv(RECEIVE_SIZE_BYTES)
        self._http.receive_data(data)

    async def write_response(self, response: HttpResponse, *, closing: bool) -> None:
        """Send a whole answer in one write."""
        if self._http.our_state not in (h11.SEND_RESPONSE, h11.IDLE):
            return
        headers = list(response.headers)
        headers.append((b"content-length", str(len(response.body)).encode()))
        if closing:
            headers.append((b"connection", b"close"))
        parts = [self._http.send(h11.Response(status_code=response.status, headers=headers))]
        if response.body and self._http.their_state is not h11.ERROR:
            parts.append(self._http.send(h11.Data(data=response.body)))
        elif response.body:
            parts.append(response.body)
        if self._http.their_state is not h11.ERROR:
            parts.append(self._http.send(h11.EndOfMessage()))
        await self._sock.sendall(b"".join(part for part in parts if part))

    def start_next_cycle(self) -> bool:
        """Prepare for the next request; False when the connection must close."""
        if self._http.our_state is not h11.DONE or self._http.their_state is not h11.DONE:
            return False
        self._http.start_next_cycle()
        return True
