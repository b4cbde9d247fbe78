"""The rate limits that targets state in their answers, as heard by all VMs.

Handles targets in need, which name the rate of requests that they accept from all VMs together. A
VM tells the others what it heard from a target itself; of several statements, the latest counts.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import frozen

from siskinward.coordination.steering.hashing import short_id

if TYPE_CHECKING:
    from collections.abc import Iterable

    from siskinward.state.identifiers import TargetName

# The end of a limit is told to the other VMs for this long, and then forgotten.
ENDED_RETENTION_S = 10.0


@frozen
class StatedLimit:
    """What an answer of a target stated; ``rate_per_s`` is None if it stated no limit."""

    rate_per_s: float | None
    heard_s: float


@frozen
class LimitReport:
    """A statement that a VM heard from a target, named by its ``short_id``, ``age_s`` ago."""

    target_id: int
    rate_per_s: float | None
    age_s: float


class TargetLimits:
    """The latest statement of each target that has stated a rate limit lately.

    ``_heard`` has the statements that this VM heard from targets itself, ``_latest`` the latest of
    any VM, both by the target's ``short_id``.
    """

    def __init__(self) -> None:
        self._heard: dict[int, StatedLimit] = {}
        self._latest: dict[int, StatedLimit] = {}

    def record_answer(self, target: TargetName, rate_per_s: float | None, now_s: float) -> bool:
        """Record what an answer states; return whether the target's limit has changed."""
        known_per_s = self.rate_per_s(target)
        if rate_per_s is not None or known_per_s is not None:
            stated = StatedLimit(rate_per_s, now_s)
            self._heard[short_id(target)] = self._latest[short_id(target)] = stated
        return rate_per_s != known_per_s

    def record_malformed(self, target: TargetName) -> None:
        """Record an answer with a malformed limit: the last one stays in force.

        This VM reports it from now on, so that it outlives the VMs that heard it.
        """
        stated = self._latest.get(short_id(target))
        if stated is not None and stated.rate_per_s is not None:
            self._heard[short_id(target)] = stated

    def apply_reports(self, reports: Iterable[LimitReport], now_s: float) -> list[int]:
        """Record another VM's statements; return the ids of targets whose limit has changed."""
        return [report.target_id for report in reports if self._apply(report, now_s)]

    def _apply(self, report: LimitReport, now_s: float) -> bool:
        stated = StatedLimit(report.rate_per_s, now_s - report.age_s)
        known = self._latest.get(report.target_id)
        if known is not None and stated.heard_s <= known.heard_s:
            return False
        self._latest[report.target_id] = stated
        known_per_s = known.rate_per_s if known else None
        return stated.rate_per_s != known_per_s

    def own_reports(self, now_s: float) -> tuple[LimitReport, ...]:
        """Return what this VM heard itself and no other VM heard differently later."""
        self._forget_ended(now_s)
        self._heard = {
            target_id: stated
            for target_id, stated in self._heard.items()
            if self._rate_of(target_id) == stated.rate_per_s
        }
        return tuple(
            LimitReport(target_id, stated.rate_per_s, now_s - stated.heard_s)
            for target_id, stated in self._heard.items()
        )

    def report_of(self, target: TargetName, now_s: float) -> LimitReport | None:
        """Return the latest statement of a target, whoever heard it."""
        stated = self._latest.get(short_id(target))
        if stated is None:
            return None
        return LimitReport(short_id(target), stated.rate_per_s, now_s - stated.heard_s)

    def rate_per_s(self, target: TargetName) -> float | None:
        """Return a target's rate limit; None if it states none."""
        return self._rate_of(short_id(target))

    def retain(self, targets: Iterable[TargetName]) -> None:
        """Forget the limits of all other targets."""
        if not self._latest:
            return
        retained = {short_id(target) for target in targets}
        self._latest = {key: item for key, item in self._latest.items() if key in retained}
        self._heard = {key: item for key, item in self._heard.items() if key in retained}

    def _rate_of(self, target_id: int) -> float | None:
        stated = self._latest.get(target_id)
        return stated.rate_per_s if stated else None

    def _forget_ended(self, now_s: float) -> None:
        since_s = now_s - ENDED_RETENTION_S
        ended = [
            target_id
            for target_id, stated in self._latest.items()
            if stated.rate_per_s is None and stated.heard_s < since_s
        ]
        for target_id in ended:
            del self._latest[target_id]
            self._heard.pop(target_id, None)
