"""HTTP/1.1 server that reads ahead on a connection and answers in order.

Requests that a caller sends behind one another run at the same time. A caller that leaves has its
unanswered requests cancelled.
"""

from __future__ import annotations

import socket
from typing import TYPE_CHECKING
from typing import Any

import curio
import h11
from attrs import define
from attrs import evolve
from attrs import field
from attrs import frozen

from siskinward.state.serving import CallerLimits
from siskinward.transport.clock import read_clock_s
from siskinward.transport.http_messages import HttpRequest
from siskinward.transport.http_messages import HttpResponse
from siskinward.transport.sockets import RECEIVE_SIZE_BYTES
from siskinward.transport.sockets import detect_silence

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

READ_AHEAD_REQUESTS = 16
READ_AHEAD_LIMIT_BYTES = 256 * 1024
DRAIN_POLL_S = 0.05
# A response that the caller does not read holds its connection no longer than this.
WRITE_TIMEOUT_S = 10.0


@frozen
class MalformedRequestError(Exception):
    """A request that is answered with ``status`` without being handled."""

    status: int
    detail: str


@define(eq=False)
class Arrival:
    """A whole request and when its last byte was read.

    ``keeps_running`` is set by the handler while the request must not be cancelled, although its
    caller may have left.
    """

    request: HttpRequest
    received_s: float
    keeps_running: bool = False
    caller_left: bool = False


class FrontServer:
    """Serves one port. ``handler`` answers arrivals; ``on_malformed`` counts the others."""

    def __init__(
        self,
        handler: Callable[[Arrival], Awaitable[HttpResponse]],
        on_malformed: Callable[[MalformedRequestError], None] = lambda error: None,
    ) -> None:
        self.limits = CallerLimits()
        self.handler = handler
        self.on_malformed = on_malformed
        self.is_leaving = False
        self._connections: set[_Connection] = set()
        self._accepting: Any = None

    @property
    def connection_count(self) -> int:
        """Number of open connections."""
        return len(self._connections)

    @property
    def unanswered_count(self) -> int:
        """Requests that were read and not answered yet."""
        return sum(len(connection.exchanges) for connection in self._connections)

    async def serve(self, listener: Any) -> None:
        """Accept connections until ``begin_shutdown`` or until cancelled."""
        self._accepting = await curio.current_task()
        async with listener:
            while True:
                sock, _ = await listener.accept()
                detect_silence(sock)
                await curio.spawn(self._serve_connection, sock, daemon=True)

    async def begin_shutdown(self) -> None:
        """Accept no more; close idle connections, and the others once they are answered."""
        self.is_leaving = True
        if self._accepting is not None:
            await self._accepting.cancel()
        for connection in list(self._connections):
            await connection.close_if_idle()

    async def abort(self) -> None:
        """Accept no more and cut off every connection."""
        if self._accepting is not None:
            await self._accepting.cancel()
        for connection in list(self._connections):
            await connection.abort()

    async def wait_answered(self, limit_s: float) -> bool:
        """Wait until no request is unanswered, at most ``limit_s``; True if none is."""
        deadline_s = read_clock_s() + limit_s
        while self.unanswered_count and read_clock_s() < deadline_s:
            await curio.sleep(DRAIN_POLL_S)
        return not self.unanswered_count

    async def _serve_connection(self, sock: Any) -> None:
        connection = _Connection(self, sock)
        connection.task = await curio.current_task()
        self._connections.add(connection)
        try:
            async with sock:
                await connection.run()
        except OSError:
            # The caller has reset the connection; its requests are cancelled below.
            pass
        finally:
            self._connections.discard(connection)
            await connection.cancel_all()


@define(eq=False)
class _Exchange:
    arrival: Arrival
    http: h11.Connection
    previous_sent: curio.Event
    sent: curio.Event = field(factory=curio.Event)
    task: Any = None


class _Connection:
    def __init__(self, server: FrontServer, sock: Any) -> None:
        self._server = server
        self._sock = sock
        self._http = self._new_parser()
        self._last_sent = curio.Event()
        self._is_closing = False
        self._is_reading_request = False
        self.exchanges: set[_Exchange] = set()
        self.task: Any = None

    def _new_parser(self) -> h11.Connection:
        return h11.Connection(h11.SERVER, self._server.limits.header_limit_bytes)

    async def run(self) -> None:
        """Read requests until the caller leaves or an answer closes the connection."""
        await self._last_sent.set()
        while not self._is_closing:
            try:
                request = await self._read_request()
            except MalformedRequestError as error:
                self._server.on_malformed(error)
                await self._refuse(error)
                break
            if request is None or self._is_closing:
                # What was sent behind a closing answer counts as not read.
                break
            await self._begin(request)
        await self._wait_answered()

    async def close_if_idle(self) -> None:
        """Close the connection if nothing has been read that has no answer yet."""
        self._is_closing = True
        if not self.exchanges and not self._is_reading_request:
            await self._shut()

    async def abort(self) -> None:
        """Cut the connection off with everything that runs for it."""
        for exchange in list(self.exchanges):
            await exchange.task.cancel(blocking=False)
        if self.task is not None:
            await self.task.cancel(blocking=False)

    async def cancel_all(self) -> None:
        """Cancel what the caller no longer waits for."""
        for exchange in list(self.exchanges):
            exchange.arrival.caller_left = True
            if not exchange.arrival.keeps_running:
                await exchange.task.cancel(blocking=False)

    async def _wait_answered(self) -> None:
        # Goes on reading, to notice a caller that leaves.
        while self.exchanges:
            if not await self._sock.recv(RECEIVE_SIZE_BYTES):
                return

    async def _begin(self, request: HttpRequest) -> None:
        arrival = Arrival(request, read_clock_s())
        exchange = _Exchange(arrival, self._http, self._last_sent)
        self._last_sent = exchange.sent
        self.exchanges.add(exchange)
        exchange.task = await curio.spawn(self._answer, exchange, daemon=True)
        trailing, _ = self._http.trailing_data
        self._http = self._new_parser()
        if trailing:
            self._http.receive_data(trailing)

    async def _answer(self, exchange: _Exchange) -> None:
        try:
            response = await self._server.handler(exchange.arrival)
            await exchange.previous_sent.wait()
            if not exchange.arrival.caller_left:
                await self._write(exchange, response)
        except OSError:
            # The caller has left; the reading side ends the connection.
            pass
        except curio.TaskTimeout:
            # The caller does not read; a half-sent answer must not be followed by another.
            self._is_closing = True
            await self._shut(socket.SHUT_RDWR)
        finally:
            self.exchanges.discard(exchange)
            await exchange.sent.set()
            if self._is_closing and not self.exchanges:
                await self._shut()

    async def _write(self, exchange: _Exchange, response: HttpResponse) -> None:
        is_last = exchange.sent is self._last_sent
        wants_close = exchange.http.their_state is h11.MUST_CLOSE
        closes = is_last and (wants_close or self._server.is_leaving or self._is_closing)
        if exchange.arrival.request.method == "HEAD":
            response = evolve(response, body=b"")
        async with curio.timeout_after(WRITE_TIMEOUT_S):
            await self._sock.sendall(encode_response(exchange.http, response, closes=closes))
        if closes:
            self._is_closing = True

    async def _refuse(self, error: MalformedRequestError) -> None:
        await self._last_sent.wait()
        http = h11.Connection(h11.SERVER)
        response = HttpResponse(error.status, ((b"content-type", b"text/plain"),), b"")
        await self._sock.sendall(encode_response(http, response, closes=True))

    async def _shut(self, how: int = socket.SHUT_WR) -> None:
        try:
            await self._sock.shutdown(how)
        except OSError:
            return

    async def _read_request(self) -> HttpRequest | None:
        limits = self._server.limits
        if not self._http.trailing_data[0]:
            data = await self._receive_idle(limits.idle_timeout_s)
            if not data:
                return None
            self._http.receive_data(data)
        self._is_reading_request = True
        try:
            return await self._read_whole(limits)
        finally:
            self._is_reading_request = False

    async def _receive_idle(self, idle_timeout_s: float) -> bytes:
        while True:
            try:
                async with curio.timeout_after(idle_timeout_s):
                    data: bytes = await self._sock.recv(RECEIVE_SIZE_BYTES)
                    return data
            except curio.TaskTimeout:
                if not self.exchanges:
                    return b""

    async def _read_whole(self, limits: CallerLimits) -> HttpRequest | None:
        try:
            async with curio.timeout_after(limits.header_timeout_s):
                head = await self._next_event()
        except curio.TaskTimeout:
            raise MalformedRequestError(408, "headers took too long") from None
        if not isinstance(head, h11.Request):
            return None
        _check_size(head, limits)
        _check_length(head)
        body = await self._read_body(limits)
        return HttpRequest(
            method=head.method.decode("ascii"),
            target=head.target.decode("ascii"),
            headers=tuple(head.headers),
            body=body,
        )

    async def _read_body(self, limits: CallerLimits) -> bytes:
        chunks: list[bytes] = []
        size_bytes = 0
        while True:
            try:
                async with curio.timeout_after(limits.idle_timeout_s):
                    event = await self._next_event()
            except curio.TaskTimeout:
                raise MalformedRequestError(408, "the body took too long") from None
            match event:
                case h11.Data():
                    size_bytes += len(event.data)
                    if size_bytes > limits.body_limit_bytes:
                        raise MalformedRequestError(413, "the body is too large")
                    chunks.append(bytes(event.data))
                case h11.EndOfMessage():
                    return b"".join(chunks)
                case _:
                    raise ConnectionResetError("the caller closed inside a request")

    async def _next_event(self) -> Any:
        while True:
            try:
                event = self._http.next_event()
            except h11.RemoteProtocolError as error:
                raise MalformedRequestError(error.error_status_hint, str(error)) from error
            if event is not h11.NEED_DATA:
                return event
            if self._http.they_are_waiting_for_100_continue:
                informational = h11.InformationalResponse(status_code=100, headers=[])
                await self._sock.sendall(self._http.send(informational))
            self._http.receive_data(await self._sock.recv(RECEIVE_SIZE_BYTES))


def _check_size(head: h11.Request, limits: CallerLimits) -> None:
    # The parser bounds only what it has not read to the end.
    size_bytes = len(head.target) + sum(len(name) + len(value) for name, value in head.headers)
    if size_bytes > limits.header_limit_bytes:
        raise MalformedRequestError(431, "the headers are too large")


def _check_length(head: h11.Request) -> None:
    # A server behind this one might believe the other of the two headers.
    names = {name for name, _ in head.headers}
    if b"transfer-encoding" in names and b"content-length" in names:
        raise MalformedRequestError(400, "both a content length and a transfer encoding")


def encode_response(http: h11.Connection, response: HttpResponse, *, closes: bool) -> bytes:
    """Encode a whole answer; its length replaces any that its headers state."""
    headers = [item for item in response.headers if item[0] != b"content-length"]
    headers.append((b"content-length", str(len(response.body)).encode()))
    if closes:
        headers.append((b"connection", b"close"))
    parts = [http.send(h11.Response(status_code=response.status, headers=headers))]
    if response.body:
        parts.append(http.send(h11.Data(data=response.body)))
    parts.append(http.send(h11.EndOfMessage()))
    return b"".join(part for part in parts if part)
