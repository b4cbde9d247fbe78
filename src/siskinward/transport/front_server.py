"""HTTP/1.1 server with pipelining.

Requests that are pipelined on a connection run concurrently and are answered in order. When a
caller disconnects, its unanswered requests are cancelled.
"""

from __future__ import annotations

import socket
from collections.abc import Callable
from contextlib import suppress
from typing import TYPE_CHECKING
from typing import Any

import curio
import h11
from attrs import define
from attrs import evolve
from attrs import field

from siskinward.state.serving import CallerLimits
from siskinward.transport.body_memory import BodyMemory
from siskinward.transport.body_memory import BodyShare
from siskinward.transport.body_memory import NoRoomForBodyError
from siskinward.transport.clock import read_clock_s
from siskinward.transport.draining import wait_until_none
from siskinward.transport.http_messages import HttpRequest
from siskinward.transport.http_messages import HttpResponse
from siskinward.transport.server_protocol import MalformedRequestError
from siskinward.transport.server_protocol import RequestLimits
from siskinward.transport.server_protocol import RequestReader
from siskinward.transport.server_protocol import encode_refusal
from siskinward.transport.server_protocol import encode_response
from siskinward.transport.sockets import RECEIVE_SIZE_BYTES
from siskinward.transport.sockets import accept
from siskinward.transport.sockets import accept_waiting
from siskinward.transport.sockets import enable_keepalive
from siskinward.transport.sockets import has_ended
from siskinward.transport.sockets import is_stale

if TYPE_CHECKING:
    from collections.abc import Awaitable

# Limits how long a caller that does not read its response can hold the connection.
WRITE_TIMEOUT_S = 10.0
WRITE_LIMIT_AT_END_S = 0.2
# How long what follows a refused request is still read, so that its response isn't lost by a reset.
LINGER_S = 2.0
UNFINISHED = HttpResponse(503)
NO_ROOM = HttpResponse(503)
CUT = HttpResponse(502)


@define(eq=False)
class Arrival:
    """A complete request and when its last byte was read.

    ``survives_disconnect`` is set by the handler while the request must not be cancelled, even if
    its caller disconnects. ``has_ended`` asks the connection itself, whose end may not have been
    read yet.
    """

    request: HttpRequest
    received_s: float
    survives_disconnect: bool = False
    caller_disconnected: bool = False
    has_ended: Callable[[], bool] = lambda: False

    def is_caller_gone(self) -> bool:
        """Return whether the caller has disconnected."""
        return self.caller_disconnected or self.has_ended()


class FrontServer:
    """Serves one port.

    ``handler`` answers requests; ``on_malformed`` is called for those that are refused unhandled.
    Those whose body does not fit into ``bodies`` get ``no_room_response``, after ``on_no_room``.
    While ``is_shutting_down``, a connection closes with its last response. At the end of a shutdown
    requests that are not read completely get ``unfinished_response``, and those that the handler
    has not answered ``cut_response``.
    """

    def __init__(
        self,
        handler: Callable[[Arrival], Awaitable[HttpResponse]],
        on_malformed: Callable[[MalformedRequestError], None] = lambda error: None,
        *,
        bodies: BodyMemory | None = None,
        on_no_room: Callable[[NoRoomForBodyError], None] = lambda error: None,
        no_room_response: HttpResponse = NO_ROOM,
        unfinished_response: HttpResponse = UNFINISHED,
        cut_response: HttpResponse = CUT,
    ) -> None:
        self.limits = CallerLimits()
        self.handler = handler
        self.on_malformed = on_malformed
        self.bodies = bodies or BodyMemory()
        self.on_no_room = on_no_room
        self.no_room_response = no_room_response
        self.unfinished_response = unfinished_response
        self.cut_response = cut_response
        self.is_shutting_down = False
        self._connections: set[_Connection] = set()
        self._accepting: Any = None

    @property
    def connection_count(self) -> int:
        """Number of open connections."""
        return len(self._connections)

    @property
    def unanswered_count(self) -> int:
        """Number of requests that were read, or begun to be read, and not answered yet."""
        return sum(connection.unanswered_count for connection in self._connections)

    async def serve(self, listener: Any) -> None:
        """Accept connections until ``begin_shutdown`` or until cancelled."""
        self._accepting = await curio.current_task()
        async with listener:
            try:
                while True:
                    sock, _ = await accept(listener)
                    await self._spawn_connection(sock)
            except curio.CancelledError:
                # A shutdown answers the callers that have connected already.
                for sock in accept_waiting(listener) if self.is_shutting_down else ():
                    await self._spawn_connection(sock)
                raise

    async def _spawn_connection(self, sock: Any) -> None:
        enable_keepalive(sock)
        await curio.spawn(self._serve_connection, sock, daemon=True)

    async def begin_shutdown(self) -> None:
        """Stop accepting; close idle connections, and the others with their last response."""
        self.is_shutting_down = True
        if self._accepting is not None:
            await self._accepting.cancel()
        for connection in list(self._connections):
            await connection.close_if_idle()

    async def answer_unfinished(self) -> None:
        """Answer what is not answered yet, at the end of a shutdown."""
        for connection in list(self._connections):
            await connection.answer_unfinished()
        await self.wait_answered(WRITE_LIMIT_AT_END_S)

    async def abort(self) -> None:
        """Stop accepting and cancel every connection."""
        if self._accepting is not None:
            await self._accepting.cancel()
        for connection in list(self._connections):
            await connection.abort()

    async def wait_answered(self, limit_s: float) -> bool:
        """Wait up to ``limit_s`` until all requests are answered; return whether they are."""
        return await wait_until_none(lambda: self.unanswered_count, limit_s)

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
            await connection.on_disconnect()


@define(eq=False)
class _Exchange:
    """One request in progress; ``sent`` is set when the next response may be written.

    ``is_handled`` once the handler has answered, ``is_cut`` if it may not any more.
    """

    arrival: Arrival
    share: BodyShare
    http: h11.Connection
    previous_sent: curio.Event
    sent: curio.Event = field(factory=curio.Event)
    is_handled: bool = False
    is_cut: bool = False
    task: Any = None


class _Connection:
    def __init__(self, server: FrontServer, sock: Any) -> None:
        self._server = server
        self._sock = sock
        self._reader = self._new_reader()
        self._share = BodyShare(server.bodies)
        self._last_response_sent = curio.Event()
        self._is_closing = False
        self._is_broken = False
        self._is_reading_request = False
        self.exchanges: set[_Exchange] = set()
        self.task: Any = None

    def _new_reader(self) -> RequestReader:
        limits = self._server.limits
        return RequestReader(
            self._sock,
            RequestLimits(
                limits.header_limit_bytes, limits.body_limit_bytes, limits.idle_timeout_s
            ),
        )

    async def run(self) -> None:
        """Read requests until the caller disconnects or a response closes the connection."""
        await self._last_response_sent.set()
        while not self._is_closing:
            try:
                request = await self._read_request()
            except MalformedRequestError as error:
                self._server.on_malformed(error)
                await self._refuse(HttpResponse(error.status, ((b"content-type", b"text/plain"),)))
                await self._discard_rest()
                break
            except NoRoomForBodyError as error:
                self._server.on_no_room(error)
                await self._refuse(self._server.no_room_response)
                await self._discard_rest()
                break
            if request is None or self._is_closing:
                # Requests that follow a closing response are not handled.
                break
            await self._start_exchange(request)
        await self._wait_answered()

    @property
    def unanswered_count(self) -> int:
        """Number of requests that were read, or begun to be read, and not answered yet."""
        return len(self.exchanges) + int(self._is_reading_request and not self._is_closing)

    async def close_if_idle(self) -> None:
        """Close the connection, unless a request is in progress, read or waiting to be read."""
        if not self.unanswered_count and not is_stale(self._sock):
            self._is_closing = True
            await self._shutdown_socket()

    async def answer_unfinished(self) -> None:
        """Answer the requests that the handler has not answered, or else the one being read."""
        for exchange in list(self.exchanges):
            if not exchange.is_handled:
                exchange.is_cut = True
                await exchange.task.cancel(blocking=False)
        if self.unanswered_count and not self.exchanges:
            self._is_closing = True
            with suppress(OSError):
                await self._refuse(self._server.unfinished_response)
            await self._shutdown_socket()

    async def abort(self) -> None:
        """Cancel the connection and all its exchanges."""
        for exchange in list(self.exchanges):
            await exchange.task.cancel(blocking=False)
        if self.task is not None:
            await self.task.cancel(blocking=False)

    async def on_disconnect(self) -> None:
        """Mark the exchanges as disconnected; cancel those that do not survive it."""
        self._share.free()
        for exchange in list(self.exchanges):
            exchange.arrival.caller_disconnected = True
            if not exchange.arrival.survives_disconnect:
                await exchange.task.cancel(blocking=False)

    async def _wait_answered(self) -> None:
        # Keep reading, to notice that the caller disconnects.
        while self.exchanges:
            if not await self._sock.recv(RECEIVE_SIZE_BYTES):
                return

    async def _start_exchange(self, request: HttpRequest) -> None:
        arrival = Arrival(request, read_clock_s(), has_ended=lambda: has_ended(self._sock))
        share, self._share = self._share, BodyShare(self._server.bodies)
        exchange = _Exchange(arrival, share, self._reader.http, self._last_response_sent)
        self._last_response_sent = exchange.sent
        self.exchanges.add(exchange)
        exchange.task = await curio.spawn(self._run_exchange, exchange, daemon=True)
        trailing = self._reader.trailing
        self._reader = self._new_reader()
        if trailing:
            self._reader.feed(trailing)

    async def _run_exchange(self, exchange: _Exchange) -> None:
        is_written = False
        try:
            response = await self._respond(exchange)
            await exchange.previous_sent.wait()
            if not self._is_broken and not exchange.arrival.caller_disconnected:
                await self._write(exchange, response)
                is_written = True
        except (OSError, curio.TaskTimeout):
            # The caller has disconnected or does not read.
            pass
        finally:
            self.exchanges.discard(exchange)
            exchange.share.free()
            if not is_written:
                # No other response may take the place of one that is missing or cut short.
                self._is_broken = self._is_closing = True
                await self._shutdown_socket(socket.SHUT_RDWR)
            await exchange.sent.set()
            if self._is_closing and not self.exchanges:
                await self._shutdown_socket()

    async def _respond(self, exchange: _Exchange) -> HttpResponse:
        try:
            return await self._server.handler(exchange.arrival)
        except curio.CancelledError:
            if not exchange.is_cut:
                raise
            return self._server.cut_response
        finally:
            exchange.is_handled = True

    async def _write(self, exchange: _Exchange, response: HttpResponse) -> None:
        is_last = exchange.sent is self._last_response_sent
        wants_close = exchange.http.their_state is h11.MUST_CLOSE
        closes = is_last and (wants_close or self._server.is_shutting_down or self._is_closing)
        if exchange.arrival.request.method == "HEAD":
            response = evolve(response, body=b"")
        # Requests that arrive while a closing response is written are not handled any more: to
        # callers, they count as not read.
        self._is_closing = self._is_closing or closes
        async with curio.timeout_after(WRITE_TIMEOUT_S):
            await self._sock.sendall(encode_response(exchange.http, response, closes=closes))

    async def _refuse(self, response: HttpResponse) -> None:
        """Write the response to a request that is not handled; it closes the connection."""
        await self._last_response_sent.wait()
        await self._sock.sendall(encode_refusal(response))

    async def _discard_rest(self) -> None:
        """Read what the caller still sends, until it has seen the response and closes."""
        self._is_closing = True
        self._share.free()
        await self._shutdown_socket()
        async with curio.ignore_after(LINGER_S):
            while await self._sock.recv(RECEIVE_SIZE_BYTES):
                await curio.sleep(0)

    async def _shutdown_socket(self, how: int = socket.SHUT_WR) -> None:
        try:
            await self._sock.shutdown(how)
        except OSError:
            return

    async def _read_request(self) -> HttpRequest | None:
        if not self._reader.trailing:
            data = await self._receive_idle(self._server.limits.idle_timeout_s)
            if not data:
                return None
            self._reader.feed(data)
        self._is_reading_request = True
        try:
            return await self._read_message()
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

    async def _read_message(self) -> HttpRequest | None:
        try:
            async with curio.timeout_after(self._server.limits.header_timeout_s):
                head = await self._reader.read_head()
        except curio.TaskTimeout:
            raise MalformedRequestError(408, "timed out reading the headers") from None
        return None if head is None else await self._reader.read_rest(head, share=self._share)
