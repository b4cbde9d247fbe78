"""Server side of HTTP/1.1: reads complete requests and encodes responses."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

import curio
import h11
from attrs import frozen

from siskinward.transport.http_messages import HttpRequest
from siskinward.transport.http_messages import HttpResponse
from siskinward.transport.sockets import RECEIVE_SIZE_BYTES

if TYPE_CHECKING:
    from siskinward.transport.body_memory import BodyShare

# Pieces that are received one after the other before other tasks get a chance.
YIELD_PIECES = 16


@frozen
class MalformedRequestError(Exception):
    """A request that is refused with ``status`` without being handled."""

    status: int
    detail: str


@frozen
class RequestLimits:
    """Limits on the size of one request, and on the wait for more of its body."""

    header_limit_bytes: int
    body_limit_bytes: int
    body_idle_timeout_s: float


class RequestReader:
    """Reads one request from a socket; ``trailing`` holds the bytes that follow it."""

    def __init__(self, sock: Any, limits: RequestLimits) -> None:
        self._sock = sock
        self._limits = limits
        self.http = h11.Connection(h11.SERVER, limits.header_limit_bytes)
        self._received_pieces = 0

    @property
    def trailing(self) -> bytes:
        """Bytes that were received and not parsed yet."""
        data: bytes = self.http.trailing_data[0]
        return data

    def feed(self, data: bytes) -> None:
        """Pass bytes that were received elsewhere to the parser."""
        self.http.receive_data(data)

    async def read_head(self) -> h11.Request | None:
        """Read the headers; return None if the caller closed the connection before them.

        Raises ``MalformedRequestError``.
        """
        head = await self._next_event()
        if not isinstance(head, h11.Request):
            return None
        self._check_headers(head)
        return head

    async def read_rest(
        self,
        head: h11.Request,
        peer: tuple[str, int] = ("", 0),
        share: BodyShare | None = None,
    ) -> HttpRequest:
        """Read the body and return the request; ``share`` counts what the body takes.

        Raises ``MalformedRequestError``, ``NoRoomForBodyError`` or ``OSError``.
        """
        if share is not None:
            share.grow_to(min(_stated_length(head), self._limits.body_limit_bytes))
        body = await self._read_body(share)
        return HttpRequest(
            method=head.method.decode("ascii"),
            target=head.target.decode("ascii"),
            headers=tuple(head.headers),
            body=body,
            peer=peer[0],
            peer_port=peer[1],
        )

    async def _read_body(self, share: BodyShare | None) -> bytes:
        chunks: list[bytes] = []
        size_bytes = 0
        while True:
            match await self._next_body_event():
                case h11.Data(data=data):
                    size_bytes += len(data)
                    if size_bytes > self._limits.body_limit_bytes:
                        raise MalformedRequestError(413, "the body is too large")
                    if share is not None:
                        share.grow_to(size_bytes)
                    chunks.append(bytes(data))
                case h11.EndOfMessage():
                    return b"".join(chunks)
                case _:
                    raise ConnectionResetError("the caller closed the connection within a request")

    async def _next_body_event(self) -> Any:
        try:
            async with curio.timeout_after(self._limits.body_idle_timeout_s):
                return await self._next_event()
        except curio.TaskTimeout:
            raise MalformedRequestError(408, "timed out reading the body") from None

    async def _next_event(self) -> Any:
        while True:
            try:
                event = self.http.next_event()
            except h11.RemoteProtocolError as error:
                raise MalformedRequestError(error.error_status_hint, str(error)) from error
            if event is not h11.NEED_DATA:
                return event
            if self.http.they_are_waiting_for_100_continue:
                informational = h11.InformationalResponse(status_code=100, headers=[])
                await self._sock.sendall(self.http.send(informational))
            await self._give_way()
            self.feed(await self._sock.recv(RECEIVE_SIZE_BYTES))

    async def _give_way(self) -> None:
        # A caller that sends as fast as it is read would never let other tasks run.
        self._received_pieces += 1
        if self._received_pieces % YIELD_PIECES == 0:
            await curio.sleep(0)

    def _check_headers(self, head: h11.Request) -> None:
        # The parser limits the size only of headers that are still incomplete.
        size_bytes = len(head.target) + sum(len(name) + len(value) for name, value in head.headers)
        if size_bytes > self._limits.header_limit_bytes:
            raise MalformedRequestError(431, "the headers are too large")
        # Request smuggling: a server behind this one might go by the other of the two headers.
        names = {name for name, _ in head.headers}
        if b"transfer-encoding" in names and b"content-length" in names:
            raise MalformedRequestError(
                400, "both content-length and transfer-encoding are present"
            )


def _stated_length(head: h11.Request) -> int:
    """Return the length of the body that a request states, which the parser has checked."""
    lengths = [value for name, value in head.headers if name == b"content-length"]
    return int(lengths[0]) if lengths else 0


def encode_response(http: h11.Connection, response: HttpResponse, *, closes: bool) -> bytes:
    """Encode a response; the length of its body replaces any content length in its headers."""
    headers = [item for item in response.headers if item[0] != b"content-length"]
    headers.append((b"content-length", str(len(response.body)).encode()))
    if closes:
        headers.append((b"connection", b"close"))
    parts = [http.send(h11.Response(status_code=response.status, headers=headers))]
    if response.body:
        parts.append(http.send(h11.Data(data=response.body)))
    parts.append(http.send(h11.EndOfMessage()))
    return b"".join(part for part in parts if part)


def encode_refusal(response: HttpResponse) -> bytes:
    """Encode the response to a refused request; it closes the connection."""
    return encode_response(h11.Connection(h11.SERVER), response, closes=True)
