"""Selects the headers of requests to targets and interprets the targets' answers."""

from __future__ import annotations

from siskinward.coordination.outcomes import Answered
from siskinward.coordination.outcomes import NotRun
from siskinward.coordination.outcomes import RefusalReason

Headers = tuple[tuple[bytes, bytes], ...]

FORWARDED_REQUEST_HEADERS = frozenset(
    {
        b"accept",
        b"accept-charset",
        b"accept-language",
        b"content-language",
        b"content-type",
        b"if-match",
        b"if-modified-since",
        b"if-none-match",
        b"if-unmodified-since",
        b"range",
        b"user-agent",
    }
)
DROPPED_ANSWER_HEADERS = frozenset(
    {
        b"connection",
        b"content-length",
        b"keep-alive",
        b"proxy-authenticate",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)
ACCOUNT_HEADER = b"x-client-account"
RUN_ID_HEADER = b"idempotency-key"
DEADLINE_HEADER = b"x-deadline-ms"
SHED_HEADER = (b"x-not-run", b"shed")
SHED_RETRY_AFTER_S = 0.1


def allowed_headers(headers: Headers) -> Headers:
    """Return the headers of a caller's request that may reach a target."""
    return tuple(item for item in headers if item[0] in FORWARDED_REQUEST_HEADERS)


def target_headers(
    headers: Headers, client_account: str, run_id: str | None, time_left_s: float
) -> Headers:
    """Return the headers of a request to a target."""
    added = [(DEADLINE_HEADER, str(max(int(time_left_s * 1000), 0)).encode())]
    if client_account:
        added.append((ACCOUNT_HEADER, client_account.encode()))
    if run_id is not None:
        added.append((RUN_ID_HEADER, run_id.encode()))
    return (*allowed_headers(headers), *added)


def interpret_answer(status: int, headers: Headers, body: bytes) -> Answered | NotRun:
    """Return a target's answer, or ``NotRun`` if it states that it shed the request."""
    if status == 503 and SHED_HEADER in headers:
        return NotRun(RefusalReason.TARGET_SHED, SHED_RETRY_AFTER_S)
    kept = tuple(item for item in headers if item[0] not in DROPPED_ANSWER_HEADERS)
    return Answered(status, kept, body)
