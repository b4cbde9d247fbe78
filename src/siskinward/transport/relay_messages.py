"""msgpack encoding of the requests that a VM relays to targets for another VM."""

from __future__ import annotations

from typing import Any

import msgpack
from attrs import frozen

from siskinward.protocol.peer_fields import MALFORMED
from siskinward.protocol.peer_fields import PeerMessageError
from siskinward.protocol.peer_fields import decode_bytes
from siskinward.protocol.peer_fields import decode_integer
from siskinward.protocol.peer_fields import decode_port
from siskinward.protocol.peer_fields import decode_text
from siskinward.protocol.peer_fields import unpack
from siskinward.state.identifiers import TargetName
from siskinward.transport.http_messages import FINAL_STATUSES
from siskinward.transport.http_messages import Headers
from siskinward.transport.http_messages import HttpRequest
from siskinward.transport.http_messages import HttpResponse
from siskinward.transport.outbound_connection import ExchangeFailedError
from siskinward.transport.outbound_connection import SendPhase

# More than the largest body that callers may send.
FRAME_LIMIT_BYTES = 80 * 1024 * 1024
ANSWER_TYPE = 1
FAILURE_TYPE = 2


@frozen
class RelayRequest:
    """Asks a VM to send a request to a target on its own connection.

    Without ``request`` the VM only connects to the target. ``time_left_s`` is the time that the
    caller still waits.
    """

    target: TargetName
    host: str
    port: int
    time_left_s: float
    is_idempotent: bool
    request: HttpRequest | None


@frozen
class RelayFailure:
    """Why a relayed request got no answer.

    With ``is_relays_fault``, another VM might reach the target. VMs of earlier releases set it for
    requests that were sent, too.
    """

    error: ExchangeFailedError
    is_relays_fault: bool = False

    @property
    def may_ask_another(self) -> bool:
        """Whether the request was not sent, and another VM might reach the target."""
        return self.is_relays_fault and self.error.phase is SendPhase.NOT_CONNECTED


RelayReply = HttpResponse | RelayFailure


def encode_relay_request(message: RelayRequest) -> bytes:
    """Encode a request to relay."""
    request = message.request
    fields = (
        message.target,
        message.host,
        message.port,
        round(message.time_left_s * 1000),
        message.is_idempotent,
        None if request is None else _encode_request(request),
    )
    return bytes(msgpack.packb(fields))


def decode_relay_request(data: bytes) -> RelayRequest:
    """Decode a request to relay; raises ``PeerMessageError``."""
    try:
        target, host, port, time_left_ms, is_idempotent, request = unpack(data)
        return RelayRequest(
            TargetName(decode_text(target)),
            decode_text(host),
            decode_port(port),
            decode_integer(time_left_ms) / 1000,
            bool(is_idempotent),
            None if request is None else _decode_request(request),
        )
    except MALFORMED as error:
        raise PeerMessageError(f"malformed request to relay: {error}") from error


def encode_relay_reply(reply: RelayReply) -> bytes:
    """Encode the reply to a relayed request."""
    fields: tuple[object, ...]
    match reply:
        case HttpResponse(status=status, headers=headers, body=body):
            fields = (ANSWER_TYPE, status, headers, body)
        case RelayFailure(error=error, is_relays_fault=is_relays_fault):
            fields = (
                FAILURE_TYPE,
                error.phase.value,
                error.detail,
                error.is_timeout,
                is_relays_fault,
            )
    return bytes(msgpack.packb(fields))


def decode_relay_reply(data: bytes) -> RelayReply:
    """Decode the reply to a relayed request; raises ``PeerMessageError``."""
    try:
        reply_type, *fields = unpack(data)
        if reply_type == ANSWER_TYPE:
            status, headers, body = fields
            return HttpResponse(
                _decode_status(status), _decode_headers(headers), decode_bytes(body)
            )
        if reply_type == FAILURE_TYPE:
            phase, detail, is_timeout, is_relays_fault = fields
            error = ExchangeFailedError(SendPhase(phase), decode_text(detail), bool(is_timeout))
            return RelayFailure(error, bool(is_relays_fault))
        raise PeerMessageError(f"unknown reply type {reply_type!r}")
    except MALFORMED as error:
        raise PeerMessageError(f"malformed reply of a relay: {error}") from error


def _encode_request(request: HttpRequest) -> tuple[object, ...]:
    return (request.method, request.target, request.headers, request.body)


def _decode_request(fields: Any) -> HttpRequest:
    method, target, headers, body = fields
    return HttpRequest(
        decode_text(method), decode_text(target), _decode_headers(headers), decode_bytes(body)
    )


def _decode_status(value: Any) -> int:
    status = decode_integer(value)
    if status not in FINAL_STATUSES:
        raise ValueError(f"expected the status of an answer, found {status}")
    return status


def _decode_headers(fields: Any) -> Headers:
    return tuple((decode_bytes(name), decode_bytes(value)) for name, value in fields)
