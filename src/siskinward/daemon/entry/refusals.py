"""Answers that an entry VM creates itself instead of passing on a target's answer."""

from __future__ import annotations

import json
from enum import Enum

from attrs import define

from siskinward.transport.http_messages import HttpResponse


class Reason(Enum):
    """Why a request ended without a target's answer; each has its own counter."""

    NO_CONFIGURATION = "no-configuration"
    NO_ROUTE = "no-route"
    KEY_UNKNOWN = "key-unknown"
    OVER_QUOTA = "over-quota"
    NO_TARGET = "no-target"
    NO_CAPACITY = "no-capacity"
    CRASHES_TARGETS = "crashes-targets"
    TARGETS_SHED = "targets-shed"
    TARGETS_LIMITED = "targets-limited"
    TARGETS_LEAVING = "targets-leaving"
    TARGETS_RESTING = "targets-resting"
    OUTCOME_UNKNOWN = "outcome-unknown"
    TIMEOUT = "timeout"
    TIMEOUT_UNSENT = "timeout-unsent"
    SHUTTING_DOWN = "shutting-down"
    NO_ROOM_FOR_BODY = "no-room-for-body"
    CALLER_GONE = "caller-gone"


# 429 and 503 guarantee that the request has not run; 502 and 504 guarantee nothing.
STATUS_BY_REASON = {
    Reason.NO_CONFIGURATION: 503,
    Reason.NO_ROUTE: 404,
    Reason.KEY_UNKNOWN: 401,
    Reason.OVER_QUOTA: 429,
    Reason.NO_TARGET: 503,
    Reason.NO_CAPACITY: 503,
    Reason.CRASHES_TARGETS: 503,
    Reason.TARGETS_SHED: 503,
    Reason.TARGETS_LIMITED: 503,
    Reason.TARGETS_LEAVING: 503,
    Reason.TARGETS_RESTING: 503,
    Reason.OUTCOME_UNKNOWN: 502,
    Reason.TIMEOUT: 504,
    Reason.TIMEOUT_UNSENT: 503,
    Reason.SHUTTING_DOWN: 503,
    Reason.NO_ROOM_FOR_BODY: 503,
    Reason.CALLER_GONE: 503,
}


RETRY_AFTER_S = 0.25
# A target that starts in place of one that leaves is known within this time.
LEAVING_RETRY_AFTER_S = 1.0
# Another VM can serve the request at once.
SHUTDOWN_RETRY_AFTER_S = 0.01


@define
class Refused(Exception):  # noqa: N818 - carries an answer, is not an error
    """Ends the handling of a request with an answer of this VM's own."""

    response: HttpResponse
    reason: Reason


def refused(reason: Reason, retry_after_s: float | None = None) -> Refused:
    """Return the exception that ends a request for a reason."""
    return Refused(refuse(reason, retry_after_s), reason)


def refuse(reason: Reason, retry_after_s: float | None = None) -> HttpResponse:
    """Return the answer for a reason."""
    headers = [(b"content-type", b"application/json")]
    if retry_after_s is not None:
        headers.append((b"retry-after", f"{retry_after_s:.3f}".encode()))
    body = json.dumps({"reason": reason.value}).encode()
    return HttpResponse(STATUS_BY_REASON[reason], tuple(headers), body)
