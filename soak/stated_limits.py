"""The rate limits that targets stated in a run, and whether the VMs kept to them."""

from __future__ import annotations

from math import inf
from typing import TYPE_CHECKING

from attrs import define
from attrs import field

from siskinward.platform.standins import TargetStandIn
from siskinward.protocol.steering_headers import MalformedRateLimit
from siskinward.protocol.steering_headers import NoRateLimit
from siskinward.protocol.steering_headers import RateLimit
from siskinward.protocol.steering_headers import decode_rate_limit

if TYPE_CHECKING:
    from collections.abc import Iterator


# The platform's rule: one and a half times the limit and 5 requests more, in any 4 s, from 3 s
# after the target first stated it.
WINDOW_S = 4.0
OVERSHOOT = 1.5
SLACK_REQUESTS = 5
CONTACT_S = 3.0


def allowed_arrivals(rate_per_s: float) -> float:
    """Return the most requests that a target with a limit may get in a window."""
    return OVERSHOOT * rate_per_s * WINDOW_S + SLACK_REQUESTS


def most_arrivals(target: TargetStandIn, since_s: float, until_s: float = inf) -> int:
    """Return the most requests, probes included, that a target got in a window of the time."""
    times = [at_s for at_s in target.arrivals_s if since_s <= at_s < until_s]
    return max((sum(0 <= other - at_s < WINDOW_S for other in times) for at_s in times), default=0)


@define(eq=False)
class StatedPeriod:
    """A time in which a target states a limit; ``rate_per_s`` is the one in force.

    Periods of one statement have the same ``statement``.
    """

    target: TargetStandIn
    rate_per_s: float
    since_s: float
    statement: int
    until_s: float = inf

    def was_stated(self) -> bool:
        """Return whether any whole answer stated the limit, so that VMs may know it."""
        return any(self.since_s <= at_s < self.until_s for at_s in self.target.stated_s)

    def most_arrivals(self) -> int:
        """Return the most requests in a window of this time, from the contact after an answer."""
        answers_s = [at_s for at_s in self.target.stated_s if self.since_s <= at_s < self.until_s]
        if not answers_s:
            return 0
        return most_arrivals(self.target, answers_s[0] + CONTACT_S, self.until_s)


@define
class StatedLimits:
    """Records what targets state; a limit that can't be read leaves the last one in force."""

    periods: list[StatedPeriod] = field(factory=list)
    _current: dict[str, StatedPeriod] = field(factory=dict)
    _statements: int = 0

    def statement(self, target: TargetStandIn) -> int | None:
        """Return the number of the statement that a target makes, if it makes one."""
        period = self._current.get(target.name)
        return None if period is None else period.statement

    def state(self, target: TargetStandIn, text: str | None, now_s: float) -> None:
        """Let a target state a limit from now on, or none."""
        self._statements += 1
        self._begin_period(target, text, now_s, self._statements)

    def _begin_period(
        self, target: TargetStandIn, text: str | None, now_s: float, statement: int
    ) -> None:
        target.rate_limit = text
        previous = self._current.pop(target.name, None)
        if previous is not None:
            previous.until_s = now_s
        if text is None:
            return
        decoded = _decode(text)
        rate_per_s = previous.rate_per_s if previous and previous.was_stated() else inf
        if isinstance(decoded, RateLimit):
            rate_per_s = decoded.rate_per_s
        period = StatedPeriod(target, rate_per_s, now_s, statement)
        self._current[target.name] = period
        self.periods.append(period)

    def forget(self, now_s: float) -> None:
        """Record that no VM runs any more that knows the limits; later answers state them anew."""
        for name, period in list(self._current.items()):
            del self._current[name]
            period.until_s = now_s
            self._begin_period(period.target, period.target.rate_limit, now_s, period.statement)

    def excesses(self) -> Iterator[str]:
        """Yield the limits that were exceeded."""
        for period in self.periods:
            most = period.most_arrivals()
            if most > allowed_arrivals(period.rate_per_s):
                yield (
                    f"{period.target.name} stated {period.rate_per_s} a second at "
                    f"{period.since_s:.3f} and got {most} requests in {WINDOW_S} s"
                )


def _decode(text: str | None) -> RateLimit | NoRateLimit | MalformedRateLimit:
    return decode_rate_limit(None if text is None else text.encode())
