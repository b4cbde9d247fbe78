"""Client side of HTTP/1.1: encodes requests and reads complete responses."""

from __future__ import annotations

import re
from itertools import count
from typing import TYPE_CHECKING
from typing import Any

import curio
import h11

from siskinward.transport.http_messages import FINAL_STATUSES
from siskinward.transport.http_messages import HttpResponse
from siskinward.transport.sockets import RECEIVE_SIZE_BYTES

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from siskinward.transport.answer_memory import AnswerShare
    from siskinward.transport.http_messages import HttpRequest

# Parser steps, each of which may receive once, between two chances for other tasks.
YIELD_STEPS = 64
STATUS_LINE = re.compile(rb"HTTP/[0-9]\.[0-9] [0-9]{3}")
# Smaller bodies are sent together with the headers, in one call.
COPIED_BODY_BYTES = 64 * 1024
RESPONSE_LIMIT_BYTES = 64 * 1024 * 1024


class UnknownStatusError(OSError):
    """A response has a status that HTTP doesn't know, so that it is no answer."""


class SplicedResponseError(OSError):
    """A piece of another response stands before the response."""


def encode_request(
    http: h11.Connection, request: HttpRequest, headers: Iterable[tuple[bytes, bytes]]
) -> bytes:
    """Encode a request with ``headers`` and the length of its body."""
    return b"".join(encode_request_parts(http, request, headers))


def encode_request_parts(
    http: h11.Connection, request: HttpRequest, headers: Iterable[tuple[bytes, bytes]]
) -> list[bytes]:
    """Encode a request as ``encode_request``; a large body is not copied."""
    sent_headers = list(headers)
    if request.body or request.method not in ("GET", "HEAD"):
        sent_headers.append((b"content-length", str(len(request.body)).encode()))
    head = h11.Request(method=request.method, target=request.target, headers=sent_headers)
    parts = [http.send(head)]
    if request.body:
        parts.append(http.send(h11.Data(data=request.body)))
    parts.append(http.send(h11.EndOfMessage()))
    if len(request.body) < COPIED_BODY_BYTES:
        return [b"".join(part for part in parts if part)]
    return [part for part in parts if part]


async def read_response(
    http: h11.Connection, sock: Any, on_head: Callable[[], None], share: AnswerShare | None = None
) -> HttpResponse:
    """Read one complete response. Raises ``OSError`` or ``h11.ProtocolError``.

    ``on_head`` is called once the headers have arrived; a failure after that means that the
    response is incomplete. ``share`` counts what the response takes.
    """
    chunks: list[bytes] = []
    try:
        return await _read_response(http, sock, on_head, share, chunks)
    except BaseException:
        # The error's traceback may outlive the exchange, and with it what was received.
        chunks.clear()
        raise


async def _read_response(
    http: h11.Connection,
    sock: Any,
    on_head: Callable[[], None],
    share: AnswerShare | None,
    chunks: list[bytes],
) -> HttpResponse:
    head: h11.Response | None = None
    size_bytes = 0
    for step in count(1):
        if step % YIELD_STEPS == 0:
            # A socket that always has data would never let other tasks run, or time-outs fire.
            await curio.sleep(0)
        event = http.next_event()
        match event:
            case h11.NEED_DATA:
                http.receive_data(await sock.recv(RECEIVE_SIZE_BYTES))
            case h11.Response():
                on_head()
                _check_status(event)
                _check_is_one_head(event)
                head = event
            case h11.Data(data=data):
                size_bytes += len(data)
                if share is not None:
                    await share.add_piece(len(data))
                if size_bytes > RESPONSE_LIMIT_BYTES:
                    raise OSError(f"the response body exceeds {RESPONSE_LIMIT_BYTES} bytes")
                chunks.append(bytes(data))
            case h11.EndOfMessage():
                assert head is not None
                return HttpResponse(head.status_code, tuple(head.headers), b"".join(chunks))
            case h11.ConnectionClosed():
                raise ConnectionResetError("the server closed the connection before responding")
            case h11.InformationalResponse():
                if share is not None:
                    await share.add_piece(0)
            case _:
                continue
    raise AssertionError("the steps do not end")


def _check_status(head: h11.Response) -> None:
    """Raise ``UnknownStatusError`` if a head has a status that HTTP doesn't know."""
    if head.status_code not in FINAL_STATUSES:
        raise UnknownStatusError(f"expected a status of 200 to 599, found {head.status_code}")


def _check_is_one_head(head: h11.Response) -> None:
    """Raise ``SplicedResponseError`` if a piece of another response precedes the head.

    A head begins with its status line, which then stands within a line of that piece.
    """
    for text in (head.reason, *(value for _, value in head.headers)):
        if STATUS_LINE.search(text):
            raise SplicedResponseError(f"a response begins within a line of another: {text!r}")
