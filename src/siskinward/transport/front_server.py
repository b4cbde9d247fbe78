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

from siskinward.state.serving import CallerLimits
from siskinward.transport.clock import read_clock_s
from siskinward.transport.http_messages import HttpRequest
from siskinward.transport.http_messages import HttpResponse
from siskinward.transport.server_protocol import MalformedRequestError
from siskinward.transport.server_protocol import RequestLimits
from siskinward.transport.server_protocol import RequestReader
from siskinward.transport.server_protocol import encode_refusal
from siskinward.transport.server_protocol import encode_response
from siskinward.transport.sockets import RECEIVE_SIZE_BYTES
from siskinward.transport.sockets import detect_silence

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

DRAIN_POLL_S = 0.05
# A response that the caller does not read holds its connection no longer than this.
WRITE_TIMEOUT_S = 10.0


@define(eq=False)
class Arrival:
    """A whole request and when its last byte was read.

    ``survives_disconnect`` is set by the handler while the request must not be cancelled, even if
    its caller disconnects.
    """

    request: HttpRequest
    received_s: float
    survives_disconnect: bool = False
    caller_disconnected: bool = False


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
        self.is_shutting_down = False
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
        self.is_shutting_down = True
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
        self._reader = self._new_reader()
        self._last_sent = curio.Event()
        self._is_closing = False
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
            exchange.arrival.caller_disconnected = True
            if not exchange.arrival.survives_disconnect:
                await exchange.task.cancel(blocking=False)

    async def _wait_answered(self) -> None:
        # Goes on reading, to notice a caller that leaves.
        while self.exchanges:
            if not await self._sock.recv(RECEIVE_SIZE_BYTES):
                return

    async def _begin(self, request: HttpRequest) -> None:
        arrival = Arrival(request, read_clock_s())
        exchange = _Exchange(arrival, self._reader.http, self._last_sent)
        self._last_sent = exchange.sent
        self.exchanges.add(exchange)
        exchange.task = await curio.spawn(self._answer, exchange, daemon=True)
        trailing = self._reader.trailing
        self._reader = self._new_reader()
        if trailing:
            self._reader.feed(trailing)

    async def _answer(self, exchange: _Exchange) -> None:
        try:
            response = await self._server.handler(exchange.arrival)
            await exchange.previous_sent.wait()
            if not exchange.arrival.caller_disconnected:
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
        closes = is_last and (wants_close or self._server.is_shutting_down or self._is_closing)
        if exchange.arrival.request.method == "HEAD":
            response = evolve(response, body=b"")
        async with curio.timeout_after(WRITE_TIMEOUT_S):
            await self._sock.sendall(encode_response(exchange.http, response, closes=closes))
        if closes:
            self._is_closing = True

    async def _refuse(self, error: MalformedRequestError) -> None:
        await self._last_sent.wait()
        response = HttpResponse(error.status, ((b"content-type", b"text/plain"),), b"")
        await self._sock.sendall(encode_refusal(response))

    async def _shut(self, how: int = socket.SHUT_WR) -> None:
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
            return await self._read_whole()
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

    async def _read_whole(self) -> HttpRequest | None:
        try:
            async with curio.timeout_after(self._server.limits.header_timeout_s):
                head = await self._reader.read_head()
        except curio.TaskTimeout:
            raise MalformedRequestError(408, "headers took too long") from None
        return None if head is None else await self._reader.read_rest(head)
