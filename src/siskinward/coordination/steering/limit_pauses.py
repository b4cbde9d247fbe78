"""Leaves out targets whose rate limit is used up, and tells callers when to come back."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import frozen

if TYPE_CHECKING:
    from collections.abc import Sequence

    from siskinward.coordination.steering.fleet import Fleet
    from siskinward.coordination.steering.limit_tokens import LimitTokenIssuer
    from siskinward.coordination.steering.target_limits import TargetLimits
    from siskinward.coordination.steering.targets import Target
    from siskinward.state.identifiers import ServiceName
    from siskinward.state.identifiers import TargetName

MAX_RETRY_AFTER_S = 10.0
MIN_RETRY_AFTER_S = 0.05


@frozen
class _Pause:
    """A target gets nothing from this VM until ``until_s``, unless it states another limit."""

    until_s: float
    rate_per_s: float | None


class LimitPauses:
    """The targets whose limits are used up, as far as this VM has been told."""

    def __init__(self, limits: TargetLimits, issuer: LimitTokenIssuer, fleet: Fleet) -> None:
        self._limits = limits
        self._issuer = issuer
        self._fleet = fleet
        self._pauses: dict[TargetName, _Pause] = {}
        self._next_retry_s: dict[ServiceName, float] = {}

    def record_denied(self, target: TargetName, retry_after_s: float, now_s: float) -> None:
        """Record that this VM got no token of a target, and for how long there is none."""
        self._pauses = {name: item for name, item in self._pauses.items() if item.until_s > now_s}
        rate_per_s = self._limits.rate_per_s(target)
        self._pauses[target] = _Pause(now_s + retry_after_s, rate_per_s)

    def is_paused(self, target: TargetName, now_s: float) -> bool:
        """Return whether a target's limit is used up."""
        pause = self._pauses.get(target)
        if pause is None or now_s >= pause.until_s:
            return False
        rate_per_s = self._limits.rate_per_s(target)
        return rate_per_s is not None and rate_per_s == pause.rate_per_s

    def without_paused(self, targets: list[Target], now_s: float) -> list[Target]:
        """Return the targets whose limits, if they state any, are not used up."""
        if not self._pauses:
            return targets
        return [target for target in targets if not self.is_paused(target.name, now_s)]

    def without_limited(self, targets: list[Target]) -> list[Target]:
        """Return the targets that state no limit."""
        return [target for target in targets if self._limits.rate_per_s(target.name) is None]

    def schedule_retry(
        self, service: ServiceName, targets: Sequence[Target], now_s: float
    ) -> float:
        """Return the time after which a caller may retry, in seconds, when all are paused.

        Callers come back to any VM: the VMs together schedule as many retries as the targets'
        limits allow.
        """
        rate_per_s = sum(
            self._issuer.issued_rate_per_s(self._limits.rate_per_s(target.name) or 0.0)
            for target in targets
        )
        interval_s = max(1, len(self._fleet.ready(now_s))) / rate_per_s
        earliest_s = now_s + self._shortest_pause_s(targets, now_s)
        latest_s = now_s + MAX_RETRY_AFTER_S
        at_s = min(max(earliest_s, self._next_retry_s.get(service, 0.0)), latest_s)
        self._next_retry_s[service] = at_s + interval_s
        return at_s - now_s

    def _shortest_pause_s(self, targets: Sequence[Target], now_s: float) -> float:
        ends_s = [item.until_s for target in targets if (item := self._pauses.get(target.name))]
        return max(min(ends_s, default=now_s) - now_s, MIN_RETRY_AFTER_S)
