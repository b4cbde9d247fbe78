"""What a target says of itself in an answer, whichever way the answer came."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

from attrs import frozen

from siskinward.protocol.steering_headers import LeavingWord
from siskinward.protocol.steering_headers import MalformedRateLimit
from siskinward.protocol.steering_headers import MalformedRest
from siskinward.protocol.steering_headers import NoRateLimit
from siskinward.protocol.steering_headers import RateLimit
from siskinward.protocol.steering_headers import ReportedLoad
from siskinward.protocol.steering_headers import Rest
from siskinward.protocol.steering_headers import decode_leaving
from siskinward.protocol.steering_headers import decode_load
from siskinward.protocol.steering_headers import decode_rate_limit
from siskinward.protocol.steering_headers import decode_rest
from siskinward.protocol.steering_headers import decode_warmup_s

if TYPE_CHECKING:
    from siskinward.protocol.steering_headers import SteeringHeaders
    from siskinward.state.identifiers import TargetName
    from siskinward.transport.http_messages import HttpRequest
    from siskinward.transport.http_messages import HttpResponse

TURNED_AWAY_STATUS = 503
MISDIRECTED_STATUS = 421
CLIENT_ERROR = 400


class AnswerKind(Enum):
    """What an answer is to the request that was sent, and so how far its word counts."""

    RUN = "run"
    REFUSAL = "refusal"
    HEALTH = "health"
    MISDIRECTED = "misdirected"
    UNSOUND = "unsound"


@frozen
class TargetStatement:
    """What one answer says of the target that gave it.

    The answer to a request that another target got, ``MISDIRECTED``, says nothing of the target
    that was meant, nor does one that is ``UNSOUND``: it may be the answer to another request.
    ``warmup_left_s`` is None if the time is malformed, and 0 if none is stated. ``name`` is what
    the target calls itself, where it does. Only an answer that turns a request away asks for a
    ``rest``.
    """

    kind: AnswerKind
    name: bytes | None
    load: ReportedLoad | None
    rate_limit: RateLimit | NoRateLimit | MalformedRateLimit
    warmup_left_s: float | None
    leaving: LeavingWord
    rest: Rest | MalformedRest

    @property
    def is_sound(self) -> bool:
        """Whether the answer speaks for the target that the request was sent to."""
        return self.kind not in (AnswerKind.MISDIRECTED, AnswerKind.UNSOUND)


def read_statement(
    names: SteeringHeaders,
    target: TargetName,
    request: HttpRequest,
    response: HttpResponse,
    *,
    is_relayed: bool,
) -> TargetStatement:
    """Read what a response to a request that was sent to ``target`` says of it."""
    return TargetStatement(
        kind=_classify(names, target, request, response, is_relayed=is_relayed),
        name=response.header(names.target),
        load=decode_load(response.header(names.load)),
        rate_limit=decode_rate_limit(response.header(names.rate_limit)),
        warmup_left_s=decode_warmup_s(response.header(names.warmup_left_ms)),
        leaving=decode_leaving(response.header_lines(names.leaving)),
        rest=_read_rest(names, response),
    )


def _read_rest(names: SteeringHeaders, response: HttpResponse) -> Rest | MalformedRest:
    if response.status != TURNED_AWAY_STATUS:
        return Rest()
    return decode_rest(response.header_lines(names.retry_after))


def _classify(
    names: SteeringHeaders,
    target: TargetName,
    request: HttpRequest,
    response: HttpResponse,
    *,
    is_relayed: bool,
) -> AnswerKind:
    # A health check is for whoever is at the address.
    if request.header(names.expected_target) is None:
        name = response.header(names.target)
        is_other = name is not None and name != target.encode()
        return AnswerKind.MISDIRECTED if is_other else AnswerKind.HEALTH
    is_signed = response.header(names.signature) is not None
    is_refusal = response.header(names.not_run) is not None
    if not _is_answer_to(names, request, response, is_relayed=is_relayed):
        return AnswerKind.UNSOUND
    if is_refusal and (is_signed or response.status < CLIENT_ERROR):
        # It states that the request did not run, and that it did.
        return AnswerKind.UNSOUND
    if response.status == MISDIRECTED_STATUS and not is_signed:
        return AnswerKind.MISDIRECTED
    if is_refusal:
        return AnswerKind.REFUSAL
    return AnswerKind.RUN if is_signed else AnswerKind.UNSOUND


def _is_answer_to(
    names: SteeringHeaders, request: HttpRequest, response: HttpResponse, *, is_relayed: bool
) -> bool:
    """Return whether only this request can have caused the response.

    Own connections see to that. A relay may run an older release, which goes by the id only.
    """
    expected = request.header(names.attempt_id)
    if is_relayed and not expected:
        return False
    return response.header(names.attempt_id) == expected
