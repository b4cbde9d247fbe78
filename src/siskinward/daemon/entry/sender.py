"""Sends a request to one target and classifies the outcome."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

import curio
from attrs import frozen

from siskinward.daemon.entry.target_links import LinkRequest
from siskinward.daemon.entry.target_links import SendWithheldError
from siskinward.daemon.entry.target_statements import AnswerKind
from siskinward.protocol.not_run import NOT_RUN_STATUSES
from siskinward.protocol.steering_headers import encode_time_left
from siskinward.protocol.steering_headers import end_to_end_headers
from siskinward.state.identifiers import AccountName
from siskinward.state.identifiers import RegionName
from siskinward.state.identifiers import VmName
from siskinward.transport.clock import read_clock_s
from siskinward.transport.http_messages import HttpRequest
from siskinward.transport.http_messages import HttpResponse
from siskinward.transport.outbound_connection import ExchangeFailedError
from siskinward.transport.outbound_connection import SendPhase

if TYPE_CHECKING:
    from siskinward.coordination.steering.targets import Target
    from siskinward.daemon.entry.steering import Steering
    from siskinward.daemon.entry.target_links import LinkAnswer
    from siskinward.daemon.entry.target_links import TargetLinks
    from siskinward.protocol.steering_headers import SteeringHeaders

SERVER_ERROR = 500


class SendFailure(Enum):
    """Why a send produced no answer that can be passed on to the caller."""

    NOT_CONNECTED = "not-connected"
    WITHHELD = "send-withheld"
    FULL = "target-full"
    SHED = "target-shed"
    RESTING = "target-resting"
    MISDIRECTED = "target-replaced"
    LOST = "target-lost"
    GARBLED = "answer-garbled"
    FAILED = "target-failed"
    TIMEOUT = "timeout"


@frozen
class Answered:
    """The target's complete answer; ``is_error`` marks a 5xx: the request ran and failed.

    ``relay`` is the VM that passed it on, if this one is cut off from the target. ``detail`` is for
    the log, as in the other results.
    """

    response: HttpResponse
    is_error: bool
    relay: VmName | None = None
    detail: str = ""


@frozen
class NotRun:
    """The target has not run the request and never will."""

    reason: SendFailure
    detail: str = ""


@frozen
class OutcomeUnknown:
    """The request may have run."""

    reason: SendFailure
    detail: str = ""


SendResult = Answered | NotRun | OutcomeUnknown


@frozen
class OutgoingRequest:
    """A caller's request as it is sent to targets, in ``home_regions`` unless these are empty."""

    request: HttpRequest
    account: AccountName | None
    is_idempotent: bool
    deadline_s: float
    fingerprint: str
    home_regions: frozenset[RegionName]


class Sender:
    """Encodes the request for a target, sends it and classifies the outcome."""

    def __init__(self, steering: Steering, headers: SteeringHeaders, links: TargetLinks) -> None:
        self._steering = steering
        self._headers = headers
        self._links = links

    async def send(self, outgoing: OutgoingRequest, target: Target) -> SendResult:
        """Send a request to a target and wait for its answer until the deadline."""
        started_s = read_clock_s()
        left_s = outgoing.deadline_s - started_s
        if left_s <= 0:
            return NotRun(SendFailure.TIMEOUT)
        request = LinkRequest(
            self._encode(outgoing, target, left_s),
            left_s,
            outgoing.is_idempotent,
            outgoing.home_regions,
        )
        try:
            answer = await self._links.exchange(target, request)
        except ExchangeFailedError as error:
            return await self._classify_failure(outgoing, target, error)
        except SendWithheldError as error:
            return NotRun(SendFailure.WITHHELD, error.detail)
        return self._classify_answer(outgoing, target, answer)

    def _encode(self, outgoing: OutgoingRequest, target: Target, left_s: float) -> HttpRequest:
        names = self._headers
        replaced = (
            b"authorization",
            names.time_left_ms,
            names.expected_target,
            names.client_account,
        )
        headers = [
            item for item in end_to_end_headers(outgoing.request.headers) if item[0] not in replaced
        ]
        headers.append((names.time_left_ms, encode_time_left(left_s)))
        headers.append((names.expected_target, target.name.encode()))
        if outgoing.account is not None:
            headers.append((names.client_account, outgoing.account.encode()))
        request = outgoing.request
        return HttpRequest(request.method, request.target, tuple(headers), request.body)

    def _classify_answer(
        self, outgoing: OutgoingRequest, target: Target, answer: LinkAnswer
    ) -> SendResult:
        match answer.statement.kind:
            case AnswerKind.RUN:
                return self._classify_run(outgoing, target, answer)
            case AnswerKind.REFUSAL:
                return self._classify_refusal(target, answer)
            case AnswerKind.MISDIRECTED:
                self._steering.targets.remove(target.name)
                return NotRun(SendFailure.MISDIRECTED, answer.detail)
            case _:
                return self._classify_garbled(target, answer)

    def _classify_garbled(self, target: Target, answer: LinkAnswer) -> OutcomeUnknown:
        self._steering.targets.on_error(target)
        return OutcomeUnknown(SendFailure.GARBLED, answer.detail)

    def _classify_refusal(self, target: Target, answer: LinkAnswer) -> NotRun:
        if target.is_resting(read_clock_s()):
            # It refused because it rests, which says nothing of its health.
            return NotRun(SendFailure.RESTING, answer.detail)
        load = answer.statement.load
        if load is not None and load.requests >= load.slots:
            return NotRun(SendFailure.FULL, answer.detail)
        self._steering.targets.on_error(target)
        return NotRun(SendFailure.SHED, answer.detail)

    def _classify_run(
        self, outgoing: OutgoingRequest, target: Target, answer: LinkAnswer
    ) -> Answered | OutcomeUnknown:
        response = answer.response
        self._steering.crashes.on_answer(outgoing.fingerprint, read_clock_s())
        is_error = response.status >= SERVER_ERROR
        if is_error:
            self._steering.targets.on_error(target)
        else:
            self._steering.targets.on_answer(target)
        if response.status in NOT_RUN_STATUSES:
            return OutcomeUnknown(SendFailure.FAILED, answer.detail)
        headers = tuple(end_to_end_headers(response.headers))
        passed_on = HttpResponse(response.status, headers, response.body)
        return Answered(passed_on, is_error, answer.relay, answer.detail)

    async def _classify_failure(
        self, outgoing: OutgoingRequest, target: Target, error: ExchangeFailedError
    ) -> SendResult:
        targets = self._steering.targets
        now_s = read_clock_s()
        if error.phase is SendPhase.NOT_CONNECTED:
            targets.on_unreachable(target, now_s)
            if self._steering.crashes.has_unconfirmed(target.name):
                await curio.spawn(self._check_alive, target, daemon=True)
            return NotRun(SendFailure.NOT_CONNECTED, error.detail)
        targets.on_error(target)
        if error.is_timeout:
            return OutcomeUnknown(SendFailure.TIMEOUT, error.detail)
        self._steering.crashes.on_connection_lost(
            outgoing.fingerprint, target.name, target.start_id, now_s
        )
        await curio.spawn(self._check_alive, target, daemon=True)
        return OutcomeUnknown(SendFailure.LOST, error.detail)

    async def _check_alive(self, target: Target) -> None:
        """Connect again to distinguish a lost connection from a crashed target.

        Neither is known if this VM and those that it asks reach no target at all.
        """
        is_alive = await self._links.can_connect(target)
        if is_alive:
            self._steering.crashes.on_target_alive(target.name)
        if is_alive is not False:
            return
        now_s = read_clock_s()
        self._steering.targets.on_unreachable(target, now_s)
        self._steering.crashes.on_target_down(target.name, now_s)
