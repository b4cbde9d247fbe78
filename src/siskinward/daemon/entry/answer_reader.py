"""Records what targets say of themselves in their answers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from siskinward.daemon.entry.target_statements import AnswerKind
from siskinward.daemon.entry.target_statements import read_statement
from siskinward.protocol.steering_headers import LeavingWord
from siskinward.protocol.steering_headers import MalformedRateLimit
from siskinward.protocol.steering_headers import MalformedRest
from siskinward.protocol.steering_headers import NoRateLimit
from siskinward.protocol.steering_headers import RateLimit
from siskinward.protocol.steering_headers import Rest
from siskinward.transport.clock import read_clock_s

if TYPE_CHECKING:
    from siskinward.coordination.steering.targets import Target
    from siskinward.daemon.entry.steering import Steering
    from siskinward.daemon.entry.target_statements import TargetStatement
    from siskinward.protocol.steering_headers import SteeringHeaders
    from siskinward.transport.decision_log import DecisionLog
    from siskinward.transport.http_messages import HttpRequest
    from siskinward.transport.http_messages import HttpResponse


class AnswerReader:
    """The one place that reads what an answer says of its target.

    Each answer passes here once at each VM that handles it: from an own connection or a relay, to a
    caller's request, a request of another VM or a health check.
    """

    def __init__(self, steering: Steering, headers: SteeringHeaders, log: DecisionLog) -> None:
        self._steering = steering
        self._headers = headers
        self._log = log

    def read(
        self,
        target: Target,
        request: HttpRequest,
        response: HttpResponse,
        *,
        is_relayed: bool = False,
    ) -> TargetStatement:
        """Record what ``response`` says of ``target``, to which ``request`` was sent."""
        statement = read_statement(
            self._headers, target.name, request, response, is_relayed=is_relayed
        )
        if statement.is_sound:
            self._record_load(target, statement)
            self._record_rate_limit(target, statement)
            self._record_rest(target, statement)
        self._record_leaving(target, statement)
        return statement

    def _record_leaving(self, target: Target, statement: TargetStatement) -> None:
        """Record whether the target says that it leaves; it can't take that back.

        An unsound answer that says so raises a doubt, which a sound one that doesn't ends.
        """
        targets = self._steering.targets
        match statement.leaving:
            case LeavingWord.LEAVES if statement.is_sound:
                if targets.record_leaving(target, read_clock_s()):
                    fields = {"target": target.name, "told_in": statement.kind.value}
                    self._log.write("target-leaving", fields)
            case LeavingWord.STAYS if statement.is_sound:
                target.is_leaving_doubted = False
            case LeavingWord.LEAVES | LeavingWord.DOUBTFUL:
                if statement.kind is not AnswerKind.MISDIRECTED:
                    target.is_leaving_doubted = True

    def _record_rest(self, target: Target, statement: TargetStatement) -> None:
        """Record that the target wants nothing for a while; a malformed time is none."""
        match statement.rest:
            case Rest(for_s=for_s) if for_s > 0:
                if self._steering.targets.record_rest(target, for_s, read_clock_s()):
                    self._log.write("target-resting", {"target": target.name, "for_s": for_s})
            case MalformedRest(text=text):
                self._log.write("target-rest-malformed", {"target": target.name, "value": text})

    def _record_load(self, target: Target, statement: TargetStatement) -> None:
        # A health check waits for a slot and may be counted, so that its load is not the callers'.
        if statement.load is not None and statement.kind is not AnswerKind.HEALTH:
            target.record_reported_load(statement.load.requests)

    def _record_rate_limit(self, target: Target, statement: TargetStatement) -> None:
        """Record the limit that an answer states; only the answer of a run may end it by none.

        A malformed limit changes nothing: the last one that could be read stays in force.
        """
        match statement.rate_limit:
            case RateLimit(rate_per_s=rate_per_s):
                self._set_rate_limit(target, rate_per_s)
            case NoRateLimit() if statement.kind is AnswerKind.RUN:
                self._set_rate_limit(target, None)
            case MalformedRateLimit(text=text):
                self._steering.limits.record_malformed(target.name)
                self._log.write("target-limit-malformed", {"target": target.name, "value": text})

    def _set_rate_limit(self, target: Target, rate_per_s: float | None) -> None:
        if self._steering.limits.record_answer(target.name, rate_per_s, read_clock_s()):
            self._log.write("target-limit", {"target": target.name, "rate_per_s": rate_per_s})
