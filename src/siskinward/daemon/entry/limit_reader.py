"""Reads the rate limits that targets state in their answers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from siskinward.protocol.steering_headers import MalformedRateLimit
from siskinward.protocol.steering_headers import NoRateLimit
from siskinward.protocol.steering_headers import RateLimit
from siskinward.protocol.steering_headers import decode_rate_limit
from siskinward.transport.clock import read_clock_s

if TYPE_CHECKING:
    from siskinward.coordination.steering.targets import Target
    from siskinward.daemon.entry.steering import Steering
    from siskinward.protocol.steering_headers import SteeringHeaders
    from siskinward.transport.decision_log import DecisionLog
    from siskinward.transport.http_messages import HttpResponse


class LimitReader:
    """Records and logs the limit that an answer states, or that it states none.

    A malformed limit changes nothing: the last one that could be read stays in force.
    """

    def __init__(self, steering: Steering, headers: SteeringHeaders, log: DecisionLog) -> None:
        self._steering = steering
        self._headers = headers
        self._log = log

    def read(self, response: HttpResponse, target: Target, *, may_end_limit: bool) -> None:
        """Read an answer of ``target``; only if ``may_end_limit`` a missing limit ends it."""
        match decode_rate_limit(response.header(self._headers.rate_limit)):
            case RateLimit(rate_per_s=rate_per_s):
                self._record(target, rate_per_s)
            case NoRateLimit() if may_end_limit:
                self._record(target, None)
            case MalformedRateLimit(text=text):
                self._steering.limits.record_malformed(target.name)
                self._log.write("target-limit-malformed", {"target": target.name, "value": text})
            case _:
                return

    def _record(self, target: Target, rate_per_s: float | None) -> None:
        if self._steering.limits.record_answer(target.name, rate_per_s, read_clock_s()):
            self._log.write("target-limit", {"target": target.name, "rate_per_s": rate_per_s})
