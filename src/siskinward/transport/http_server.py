"""HTTP/1.1 server over curio and h11 that buffers complete requests and responses."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

import curio
import curio.socket
import h11
from attrs import frozen

from siskinward.coordination.outcomes import RefusalReason
from siskinward.transport.clock import read_clock_s
from siskinward.transport.http_messages import HttpResponse
from siskinward.transport.server_protocol import MalformedRequestError
from siskinward.transport.server_protocol import RequestLimits
from siskinward.transport.server_protocol import RequestReader
from siskinward.transport.server_protocol import encode_refusal
from siskinward.transport.server_protocol import encode_response
from siskinward.transport.sockets import accept
from siskinward.transport.task_set import TaskSet

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from siskinward.transport.http_messages import HttpRequest

HEADER_LIMIT_BYTES = 16 * 1024
BODY_LIMIT_BYTES = 4 * 1024 * 1024
IDLE_TIMEOUT_S = 75.0
READ_TIMEOUT_S = 10.0
DRAIN_POLL_S = 0.05


@frozen
class HttpServerSettings:
    """Limits of one server.

    A request that is too large or whose body stalls is refused; a connection on which no complete
    headers arrive within ``idle_timeout_s`` is closed.
    """

    header_limit_bytes: int = HEADER_LIMIT_BYTES
    body_limit_bytes: int = BODY_LIMIT_BYTES
    idle_timeout_s: float = IDLE_TIMEOUT_S
    read_timeout_s: float = READ_TIMEOUT_S


class HttpServer:
    """Serves one port. ``handler`` answers requests; ``on_refusal`` is called for refused ones."""

    def __init__(
        self,
        settings: HttpServerSettings,
        handler: Callable[[HttpRequest], Awaitable[HttpResponse]],
        on_refusal: Callable[[RefusalReason], None] = lambda reason: None,
    ) -> None:
        self._settings = settings
        self._handler = handler
        self._on_refusal = on_refusal
        self._is_shutting_down = False
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
                sock, address = await accept(listener)
                self._tasks.discard_ended()
                await self._tasks.spawn(self._serve_connection, sock, address)

    def begin_shutdown(self) -> None:
        """Send ``Connection: close`` with each response, so that callers reconnect elsewhere."""
        self._is_shutting_down = True

    async def wait_drained(self, limit_s: float) -> bool:
        """Wait up to ``limit_s`` until all connections have closed; return whether they have."""
        deadline_s = read_clock_s() + limit_s
        while self._connections and read_clock_s() < deadline_s:
            await curio.sleep(DRAIN_POLL_S)
        return not self._connections

    async def close(self) -> None:
        """Cancel the connections that are still open."""
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
            except MalformedRequestError as error:
                reason = _refusal_reason(error)
                self._on_refusal(reason)
                await connection.refuse(_refusal_response(error.status, reason))
                return
            except curio.TaskTimeout:
                return
            if request is None:
                return
            response = await self._handler(request)
            await connection.write_response(response, closing=self._is_shutting_down)
            if not connection.start_next_cycle():
                return


class _ServerConnection:
    def __init__(self, settings: HttpServerSettings, sock: Any, address: tuple[str, int]) -> None:
        self._settings = settings
        self._sock = sock
        self._address = address
        limits = RequestLimits(
            settings.header_limit_bytes, settings.body_limit_bytes, settings.read_timeout_s
        )
        self._reader = RequestReader(sock, limits)

    async def read_request(self) -> HttpRequest | None:
        """Read one complete request; return None if the caller has closed the connection."""
        async with curio.timeout_after(self._settings.idle_timeout_s):
            head = await self._reader.read_head()
        return None if head is None else await self._reader.read_rest(head, self._address)

    async def write_response(self, response: HttpResponse, *, closing: bool) -> None:
        """Send a complete response in a single write."""
        await self._sock.sendall(encode_response(self._reader.http, response, closes=closing))

    async def refuse(self, response: HttpResponse) -> None:
        """Send the response to a request that is refused unhandled."""
        await self._sock.sendall(encode_refusal(response))

    def start_next_cycle(self) -> bool:
        """Prepare for the next request; return False if the connection must close."""
        http = self._reader.http
        if http.our_state is not h11.DONE or http.their_state is not h11.DONE:
            return False
        http.start_next_cycle()
        return True


def _refusal_reason(error: MalformedRequestError) -> RefusalReason:
    is_too_large = error.status in (413, 431)
    return RefusalReason.TOO_LARGE if is_too_large else RefusalReason.MALFORMED


def _refusal_response(status: int, reason: RefusalReason) -> HttpResponse:
    body = f'{{"refused": "{reason.value}", "outcome": "not-run"}}\n'
    return HttpResponse(status, ((b"content-type", b"application/json"),), body.encode())
