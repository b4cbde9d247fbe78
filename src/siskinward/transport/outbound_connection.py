"""One HTTP/1.1 connection to a server, which tells answers to earlier requests apart."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING
from typing import Any

import curio
import h11
from attrs import frozen

from siskinward.transport.clock import read_clock_s
from siskinward.transport.http_messages import HttpResponse
from siskinward.transport.sockets import RECEIVE_SIZE_BYTES
from siskinward.transport.sockets import connect
from siskinward.transport.sockets import is_closed_by_peer

if TYPE_CHECKING:
    from siskinward.transport.http_messages import HttpRequest

ANSWER_LIMIT_BYTES = 64 * 1024 * 1024
# A target's own limit on idle connections is stated in whole seconds; this stays clear of it.
KEEP_ALIVE_MARGIN_S = 1.0
DEFAULT_KEEP_ALIVE_S = 5.0


class SendPhase(Enum):
    """How far a request got before its exchange failed."""

    NOT_CONNECTED = "not-connected"
    SENT = "sent"
    ANSWER_BEGUN = "answer-begun"


@frozen
class ExchangeFailedError(Exception):
    """A failed exchange. Only ``NOT_CONNECTED`` proves that the target did not run the request."""

    phase: SendPhase
    detail: str
    is_timeout: bool = False


class OutboundConnection:
    """One exchange at a time; any failure closes the connection."""

    def __init__(self, host: str, port: int, echo_header: bytes = b"") -> None:
        self._host = host
        self._port = port
        self._echo_header = echo_header
        self._sock: Any = None
        self._phase = SendPhase.NOT_CONNECTED
        self.idle_since_s = read_clock_s()
        self.reusable_until_s = float("inf")

    @property
    def is_open(self) -> bool:
        """Whether another exchange may start."""
        return self._sock is not None

    def is_reusable(self, now_s: float) -> bool:
        """Whether the target is expected to read another request."""
        if self._sock is None or now_s >= self.reusable_until_s:
            return False
        return not is_closed_by_peer(self._sock)

    async def connect(self, timeout_s: float) -> None:
        """Open the connection; raises ``ExchangeFailedError``."""
        try:
            async with curio.timeout_after(timeout_s):
                self._sock = await connect(self._host, self._port)
        except curio.TaskTimeout:
            raise ExchangeFailedError(self._phase, "no connection in time", True) from None
        except OSError as error:
            raise ExchangeFailedError(self._phase, str(error)) from error

    async def exchange(self, request: HttpRequest, timeout_s: float) -> HttpResponse:
        """Send a request and read its whole answer; raises ``ExchangeFailedError``."""
        self._phase = SendPhase.SENT
        try:
            async with curio.timeout_after(timeout_s):
                response = await self._exchange(request)
        except curio.TaskTimeout:
            await self.close()
            raise ExchangeFailedError(self._phase, "no answer in time", True) from None
        except (OSError, h11.ProtocolError) as error:
            await self.close()
            raise ExchangeFailedError(self._phase, str(error) or type(error).__name__) from error
        except BaseException:
            await self.close()
            raise
        self.idle_since_s = read_clock_s()
        return response

    async def close(self) -> None:
        """Close the connection; safe to call twice."""
        sock, self._sock = self._sock, None
        if sock is not None:
            await sock.close()

    async def _exchange(self, request: HttpRequest) -> HttpResponse:
        http = h11.Connection(h11.CLIENT)
        await self._sock.sendall(_encode_request(http, request))
        expected = request.header(self._echo_header)
        while True:
            response, is_kept = await self._read_response(http)
            echoed = response.header(self._echo_header)
            if expected is None or echoed is None or echoed == expected:
                break
            # An answer to an earlier request, which the target sent once more.
            if not is_kept:
                raise ConnectionResetError("closed after the answer to an earlier request")
            http = _parser_behind(http, request)
        if is_kept and not http.trailing_data[0]:
            self._note_keep_alive(response)
        else:
            await self.close()
        return response

    async def _read_response(self, http: h11.Connection) -> tuple[HttpResponse, bool]:
        head: h11.Response | None = None
        chunks: list[bytes] = []
        size_bytes = 0
        while True:
            event = http.next_event()
            match event:
                case h11.NEED_DATA:
                    http.receive_data(await self._sock.recv(RECEIVE_SIZE_BYTES))
                case h11.Response():
                    head = event
                    self._phase = SendPhase.ANSWER_BEGUN
                case h11.Data():
                    size_bytes += len(event.data)
                    if size_bytes > ANSWER_LIMIT_BYTES:
                        raise OSError("the answer is too large")
                    chunks.append(bytes(event.data))
                case h11.EndOfMessage():
                    assert head is not None
                    is_kept = http.their_state is h11.DONE and http.our_state is h11.DONE
                    response = HttpResponse(head.status_code, tuple(head.headers), b"".join(chunks))
                    return response, is_kept
                case h11.ConnectionClosed():
                    raise ConnectionResetError("closed before the answer")
                case _:
                    continue

    def _note_keep_alive(self, response: HttpResponse) -> None:
        timeout_s = _stated_keep_alive_s(response)
        self.reusable_until_s = read_clock_s() + timeout_s


def _stated_keep_alive_s(response: HttpResponse) -> float:
    stated = response.header(b"keep-alive") or b""
    for item in stated.split(b","):
        name, _, value = item.strip().partition(b"=")
        if name == b"timeout" and value.isdigit():
            return max(int(value) - KEEP_ALIVE_MARGIN_S, 0.0)
    return DEFAULT_KEEP_ALIVE_S


def _encode_request(http: h11.Connection, request: HttpRequest) -> bytes:
    headers = list(request.headers)
    if request.body or request.method not in ("GET", "HEAD"):
        headers.append((b"content-length", str(len(request.body)).encode()))
    head = h11.Request(method=request.method, target=request.target, headers=headers)
    parts = [http.send(head)]
    if request.body:
        parts.append(http.send(h11.Data(data=request.body)))
    parts.append(http.send(h11.EndOfMessage()))
    return b"".join(part for part in parts if part)


def _parser_behind(http: h11.Connection, request: HttpRequest) -> h11.Connection:
    """A parser that expects the answer to ``request`` in the bytes after an extra answer."""
    successor = h11.Connection(h11.CLIENT)
    _encode_request(successor, request)
    trailing, is_closed = http.trailing_data
    if trailing:
        successor.receive_data(trailing)
    if is_closed:
        successor.receive_data(b"")
    return successor
