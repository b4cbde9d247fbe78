"""Parses the headers of callers' requests and renders outcomes as HTTP responses.

A caller sends its key as ``Authorization: Bearer <key>``, its ticket or own idempotency key as
``Idempotency-Key``, and how long it will wait as ``X-Deadline-Ms``.
"""

from __future__ import annotations

import json
import math
from typing import TYPE_CHECKING
from urllib.parse import unquote_to_bytes
from urllib.parse import urlsplit

from attrs import frozen
from expression import Error
from expression import Ok

from siskinward.coordination.outcomes import Answered
from siskinward.coordination.outcomes import NotRun
from siskinward.coordination.outcomes import Outcome
from siskinward.coordination.outcomes import RefusalReason
from siskinward.coordination.outcomes import Unknown
from siskinward.protocol.counts import decode_count
from siskinward.protocol.steering_headers import bearer_key

if TYPE_CHECKING:
    from expression import Result

    from siskinward.coordination.tickets import NotRunScope
    from siskinward.state.objects import Service

Headers = tuple[tuple[bytes, bytes], ...]

IDEMPOTENCY_KEY_LIMIT_BYTES = 256
MS_PER_S = 1000.0

STATUS_BY_REASON = {
    RefusalReason.MALFORMED: 400,
    RefusalReason.KEY_EXPOSED: 400,
    RefusalReason.TICKET_INVALID: 400,
    RefusalReason.TICKET_REQUIRED: 400,
    RefusalReason.KEY_MISSING: 401,
    RefusalReason.KEY_UNKNOWN: 401,
    RefusalReason.NO_ROUTE: 404,
    RefusalReason.IN_PROGRESS: 409,
    RefusalReason.ANSWER_EVICTED: 410,
    RefusalReason.TOO_LARGE: 413,
    RefusalReason.RATE: 429,
    RefusalReason.TARGET_LOST: 502,
    RefusalReason.PEER_LOST: 502,
    RefusalReason.ANSWER_INCOMPLETE: 502,
    RefusalReason.DEADLINE: 504,
}
DEFAULT_STATUS = 503


@frozen
class CallerRequest:
    """The parsed headers of a request. ``deadline_s`` is a duration that starts at its arrival."""

    key_text: str | None
    idempotency_key: str | None
    deadline_s: float


@frozen
class CallerResponse:
    """Status, headers and body of an HTTP response."""

    status: int
    headers: Headers
    body: bytes


def parse_caller_headers(
    headers: Headers, service: Service
) -> Result[CallerRequest, RefusalReason]:
    """Parse the caller's key, idempotency key and deadline; a repeated header is an error."""
    found: dict[bytes, bytes] = {}
    for name, value in headers:
        if name not in (b"authorization", b"idempotency-key", b"x-deadline-ms"):
            continue
        if name in found:
            return Error(RefusalReason.MALFORMED)
        found[name] = value
    idempotency_key = found.get(b"idempotency-key")
    if idempotency_key is not None and not _is_idempotency_key_valid(idempotency_key):
        return Error(RefusalReason.TICKET_INVALID)
    deadline_s = _deadline_s(found.get(b"x-deadline-ms"), service.timeout_s)
    if deadline_s is None:
        return Error(RefusalReason.MALFORMED)
    key_text = bearer_key(found.get(b"authorization"))
    return Ok(
        CallerRequest(
            key_text,
            None if idempotency_key is None else idempotency_key.decode("ascii"),
            deadline_s,
        )
    )


def contains_key(target: str, headers: Headers, body: bytes, key_text: str) -> bool:
    """Return whether any part of a request that would reach a target contains the key's text."""
    needle = key_text.encode()
    if needle in body or needle in target.encode() or needle in unquote_to_bytes(target):
        return True
    return any(needle in value for _, value in headers)


def path_of(target: str) -> str:
    """Return the path of a request target, without its query."""
    return urlsplit(target).path if "://" in target else target.partition("?")[0]


def render_outcome(
    outcome: Outcome, *, scope: NotRunScope | None = None, fresh_ticket: str = ""
) -> CallerResponse:
    """Return the HTTP response for an outcome.

    A ``scope`` of ``send`` states that this send did not run, although an earlier one may have.
    """
    match outcome:
        case Answered():
            return CallerResponse(outcome.status, outcome.headers, outcome.body)
        case NotRun(reason, retry_after_s):
            content: dict[str, object] = {"refused": reason.value, "outcome": "not-run"}
            content["retry_after_ms"] = math.ceil(retry_after_s * MS_PER_S)
            if scope is not None:
                content["scope"] = scope.value
            if fresh_ticket:
                content["ticket"] = fresh_ticket
            retry_after = (b"retry-after", str(math.ceil(retry_after_s)).encode())
            return _refusal(reason, content, (retry_after,))
        case Unknown(reason):
            return _refusal(reason, {"refused": reason.value, "outcome": "unknown"}, ())


def _refusal(reason: RefusalReason, content: dict[str, object], headers: Headers) -> CallerResponse:
    status = STATUS_BY_REASON.get(reason, DEFAULT_STATUS)
    body = json.dumps(content).encode() + b"\n"
    return CallerResponse(status, ((b"content-type", b"application/json"), *headers), body)


def _is_idempotency_key_valid(value: bytes) -> bool:
    return 0 < len(value) <= IDEMPOTENCY_KEY_LIMIT_BYTES and value.isascii()


def _deadline_s(value: bytes | None, timeout_s: float) -> float | None:
    if value is None:
        return timeout_s
    time_left_ms = decode_count(value)
    return None if time_left_ms is None else min(time_left_ms / MS_PER_S, timeout_s)
