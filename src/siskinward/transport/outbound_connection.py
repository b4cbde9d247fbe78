"""HTTP/1.1 connection to a target that tells the response to a request from all others.

A faulty target may write a response to an earlier request once more, whole or a piece of it, and
at any moment. What has been carried decides what may follow: a request goes over a connection only
if no response to an earlier one could be taken for its own.
"""

from __future__ import annotations

from enum import Enum
from itertools import count
from typing import TYPE_CHECKING
from typing import Any

import curio
import h11
from attrs import frozen

from siskinward.protocol.counts import decode_count
from siskinward.transport.client_protocol import encode_request_parts
from siskinward.transport.client_protocol import read_response
from siskinward.transport.clock import read_clock_s
from siskinward.transport.sockets import connect
from siskinward.transport.sockets import is_stale
from siskinward.transport.sockets import reset

if TYPE_CHECKING:
    from siskinward.transport.answer_memory import AnswerShare
    from siskinward.transport.http_messages import HttpRequest
    from siskinward.transport.http_messages import HttpResponse

# Targets state their idle timeout in whole seconds; reuse stops this long before it.
KEEP_ALIVE_MARGIN_S = 1.0
DEFAULT_KEEP_ALIVE_S = 5.0
# Limits the memory for the ids of the requests that a connection has carried.
MAX_CARRIED = 1000

_numbers = count(1)


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


class UnmarkedResponseError(OSError):
    """A response bears no id, or several: it may be any request's."""


class OutboundConnection:
    """Runs one exchange at a time; any failure closes the connection.

    ``echo_header`` names the header with a request's id, which the target repeats in its response.
    Without it, a response counts as that of the last request. The connection is opened from
    ``source_host``, unless that is empty. ``number`` tells the process's connections apart in logs.
    """

    def __init__(
        self, host: str, port: int, echo_header: bytes = b"", source_host: str = ""
    ) -> None:
        self._host = host
        self._port = port
        self._source_host = source_host
        self._echo_header = echo_header
        self._sock: Any = None
        self._phase = SendPhase.NOT_CONNECTED
        self.number = next(_numbers)
        self._carried_ids: set[bytes | None] = set()
        self._is_given_up = False
        self.idle_since_s = read_clock_s()
        self.reusable_until_s = float("inf")

    @property
    def is_open(self) -> bool:
        """Whether the connection is open."""
        return self._sock is not None

    def is_reusable(self, now_s: float) -> bool:
        """Return whether the target is expected to accept another request."""
        if self._sock is None or now_s >= self.reusable_until_s:
            return False
        return not is_stale(self._sock)

    def may_carry(self, request: HttpRequest) -> bool:
        """Return whether no response to an earlier request could be taken for this one's.

        Only an id that the connection has not carried yet tells responses apart.
        """
        if not self._echo_header or not self._carried_ids:
            return True
        request_id = request.header(self._echo_header)
        return bool(request_id) and request_id not in self._carried_ids

    async def connect(self, timeout_s: float) -> None:
        """Open the connection. Raises ``ExchangeFailedError``."""
        try:
            async with curio.timeout_after(timeout_s):
                self._sock = await connect(self._host, self._port, self._source_host)
        except curio.TaskTimeout:
            raise ExchangeFailedError(self._phase, "timed out connecting", True) from None
        except OSError as error:
            raise ExchangeFailedError(self._phase, str(error)) from error

    async def exchange(
        self, request: HttpRequest, timeout_s: float, share: AnswerShare | None = None
    ) -> HttpResponse:
        """Send a request and read its complete response. Raises ``ExchangeFailedError``.

        The request must be one that ``may_carry`` allows. ``share`` counts the memory that the
        response takes.
        """
        self._phase = SendPhase.SENT
        try:
            async with curio.timeout_after(timeout_s):
                response = await self._exchange(request, share)
        except curio.TaskTimeout:
            await self.close()
            raise ExchangeFailedError(
                self._phase, "timed out waiting for the response", True
            ) from None
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

    async def fail(self) -> None:
        """Let the exchange that another task runs fail, as if the target had reset it."""
        self._is_given_up = True
        if self._sock is not None:
            await reset(self._sock)

    async def _exchange(self, request: HttpRequest, share: AnswerShare | None) -> HttpResponse:
        http = h11.Connection(h11.CLIENT)
        parts = encode_request_parts(http, request, request.headers)
        self._carried_ids.add(request.header(self._echo_header))
        has_repeated = False
        for part in parts:
            await self._sock.sendall(part)
        while True:
            response = await read_response(http, self._sock, self._on_response_head, share)
            if self._is_given_up:
                # To the parser, the end of the stream may be that of a body without a length.
                raise ConnectionAbortedError("this VM has given the exchange up")
            is_kept = http.their_state is h11.DONE and http.our_state is h11.DONE
            if self._is_response_to(request, response):
                break
            if share is not None:
                await share.add_piece(0)
            # The target has repeated its response to an earlier request.
            has_repeated = True
            if not is_kept:
                raise ConnectionResetError("closed after a repeated response to an earlier request")
            http = _parser_for_next_response(http, request)
        may_follow_more = not has_repeated and len(self._carried_ids) < MAX_CARRIED
        if is_kept and not http.trailing_data[0] and may_follow_more:
            self._update_reusable_until(response)
        else:
            await self.close()
        return response

    def _is_response_to(self, request: HttpRequest, response: HttpResponse) -> bool:
        """Return whether a response is the request's; raise ``UnmarkedResponseError`` if unsure."""
        if not self._echo_header:
            return True
        expected = request.header(self._echo_header) or b""
        echoed = [value for name, value in response.headers if name == self._echo_header and value]
        if echoed == [expected] or (not expected and not echoed):
            return True
        if len(echoed) == 1:
            return False
        raise UnmarkedResponseError(f"the response bears {len(echoed)} ids instead of {expected!r}")

    def _on_response_head(self) -> None:
        self._phase = SendPhase.ANSWER_BEGUN

    def _update_reusable_until(self, response: HttpResponse) -> None:
        timeout_s = _keep_alive_timeout_s(response)
        self.reusable_until_s = read_clock_s() + timeout_s


def _keep_alive_timeout_s(response: HttpResponse) -> float:
    keep_alive = response.header(b"keep-alive") or b""
    for item in keep_alive.split(b","):
        name, _, value = item.strip().partition(b"=")
        timeout_s = decode_count(value)
        if name == b"timeout" and timeout_s is not None:
            return max(timeout_s - KEEP_ALIVE_MARGIN_S, 0.0)
    return DEFAULT_KEEP_ALIVE_S


def _parser_for_next_response(http: h11.Connection, request: HttpRequest) -> h11.Connection:
    """Return a parser that expects the response to ``request`` after a repeated one."""
    successor = h11.Connection(h11.CLIENT)
    encode_request_parts(successor, request, request.headers)
    trailing, is_closed = http.trailing_data
    if trailing:
        successor.receive_data(trailing)
    if is_closed:
        successor.receive_data(b"")
    return successor
