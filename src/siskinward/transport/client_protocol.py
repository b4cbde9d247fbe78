"""The client's side of HTTP/1.1: encodes whole requests and reads whole answers."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

import h11

from siskinward.transport.http_messages import HttpResponse
from siskinward.transport.sockets import RECEIVE_SIZE_BYTES

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from siskinward.transport.http_messages import HttpRequest

ANSWER_LIMIT_BYTES = 64 * 1024 * 1024


def encode_request(
    http: h11.Connection, request: HttpRequest, headers: Iterable[tuple[bytes, bytes]]
) -> bytes:
    """Encode a whole request with these headers and the length of its body."""
    stated = list(headers)
    if request.body or request.method not in ("GET", "HEAD"):
        stated.append((b"content-length", str(len(request.body)).encode()))
    head = h11.Request(method=request.method, target=request.target, headers=stated)
    parts = [http.send(head)]
    if request.body:
        parts.append(http.send(h11.Data(data=request.body)))
    parts.append(http.send(h11.EndOfMessage()))
    return b"".join(part for part in parts if part)


async def read_response(
    http: h11.Connection, sock: Any, on_head: Callable[[], None]
) -> HttpResponse:
    """Read one whole answer; raises ``OSError`` or ``h11.ProtocolError``.

    ``on_head`` is called when the headers are in: what fails from then on is an incomplete answer.
    """
    head: h11.Response | None = None
    chunks: list[bytes] = []
    size_bytes = 0
    while True:
        event = http.next_event()
        match event:
            case h11.NEED_DATA:
                http.receive_data(await sock.recv(RECEIVE_SIZE_BYTES))
            case h11.Response():
                head = event
                on_head()
            case h11.Data(data=data):
                size_bytes += len(data)
                if size_bytes > ANSWER_LIMIT_BYTES:
                    raise OSError("the answer is too large")
                chunks.append(bytes(data))
            case h11.EndOfMessage():
                assert head is not None
                return HttpResponse(head.status_code, tuple(head.headers), b"".join(chunks))
            case h11.ConnectionClosed():
                raise ConnectionResetError("closed before the answer")
            case _:
                continue
