"""Finds targets that became slow or silent, from what all VMs see of their runs.

Handles targets that go on as the first choice of their objects while requests time out there, one
after another. Each VM compares its runs with those of all targets of the service, warm and cold
ones apart, and tells the others where more of them were slow than not.
"""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

from attrs import define
from attrs import field
from attrs import frozen

from siskinward.coordination.steering.hashing import short_id
from siskinward.coordination.steering.targets import Target

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping

    from siskinward.state.identifiers import ServiceName


@frozen
class SlowTargetSettings:
    """When a target counts as slow, and for how long it is avoided.

    A run is slow once it takes ``slow_ratio`` times the usual time. A target is avoided for
    ``min_avoid_s`` when the VMs together saw ``min_excess`` more slow runs than others there within
    ``window_s``, and twice as long each time that it is slow again soon, up to ``max_avoid_s``.
    Until there are runs to compare with, a warm run is expected to take the latency objective and a
    cold one ``cold_ratio`` times that. The usual time follows the runs by ``smoothing``, and slow
    runs by ``slow_smoothing``, so that a slow target does not make slowness usual.
    """

    is_enabled: bool = True
    slow_ratio: float = 3.0
    min_excess: int = 4
    window_s: float = 2.0
    min_avoid_s: float = 2.0
    max_avoid_s: float = 8.0
    cold_ratio: float = 2.0
    smoothing: float = 0.05
    slow_smoothing: float = 0.005


@define(eq=False)
class Run:
    """One request at a target; one that ``is_queued`` may have waited for a slot there."""

    target: Target
    is_warm: bool
    is_queued: bool
    objective_s: float
    started_s: float


@define
class _Avoidance:
    until_s: float
    length_s: float


@define
class _Observations:
    """Ends of a target's recent runs: +1 for a slow run, -1 for another."""

    signs: deque[tuple[float, int]] = field(factory=deque)

    def excess(self, since_s: float) -> int:
        while self.signs and self.signs[0][0] < since_s:
            self.signs.popleft()
        return sum(sign for _, sign in self.signs)


class SlowTargets:
    """Usual run times by service, and the targets that are slower."""

    def __init__(self, settings: SlowTargetSettings) -> None:
        self._settings = settings
        self._usual_s: dict[tuple[ServiceName, bool], float] = {}
        self._running: dict[int, set[Run]] = {}
        self._observations: dict[int, _Observations] = {}
        self._avoided: dict[int, _Avoidance] = {}

    def on_sent(
        self, target: Target, *, is_warm: bool, is_queued: bool, objective_s: float, now_s: float
    ) -> Run:
        """Record a request that is sent to a target."""
        run = Run(target, is_warm, is_queued, objective_s, now_s)
        self._running.setdefault(short_id(target.name), set()).add(run)
        return run

    def on_ended(self, run: Run, *, is_answered: bool, is_timeout: bool, now_s: float) -> None:
        """Record the end of a run; one that was neither answered nor timed out says nothing."""
        target_id = short_id(run.target.name)
        runs = self._running.get(target_id, set())
        runs.discard(run)
        if not runs:
            self._running.pop(target_id, None)
        if run.is_queued or not (is_answered or is_timeout):
            return
        is_slow = self._is_slow(run, now_s)
        observations = self._observations.setdefault(target_id, _Observations())
        observations.signs.append((now_s, 1 if is_slow else -1))
        if is_answered:
            self._record_usual(run, is_slow, now_s)

    def own_excess(self, now_s: float) -> dict[int, int]:
        """Return by target how many more runs of this VM were slow than not, where any were."""
        since_s = now_s - self._settings.window_s
        excess: dict[int, int] = {}
        for target_id in [*self._observations]:
            excess[target_id] = self._observations[target_id].excess(since_s)
            if not self._observations[target_id].signs:
                del self._observations[target_id]
        for target_id, runs in self._running.items():
            slow = sum(not run.is_queued and self._is_slow(run, now_s) for run in runs)
            excess[target_id] = excess.get(target_id, 0) + slow
        return {target_id: number for target_id, number in excess.items() if number > 0}

    def update(self, others: Iterable[Mapping[int, int]], now_s: float) -> list[int]:
        """Add up what all VMs saw; return the ids of targets that are avoided from now on."""
        totals = self.own_excess(now_s)
        for excess in others:
            for target_id, number in excess.items():
                totals[target_id] = totals.get(target_id, 0) + number
        found = [
            target_id
            for target_id, number in totals.items()
            if number >= self._settings.min_excess and not self._is_avoided(target_id, now_s)
        ]
        for target_id in found:
            self._avoid(target_id, now_s)
        self._drop_ended(now_s)
        return found

    def without_avoided(self, targets: list[Target], now_s: float) -> list[Target]:
        """Return the targets that are not avoided, or all of them if each one is."""
        if not self._avoided or not self._settings.is_enabled:
            return targets
        return [target for target in targets if not self.is_avoided(target, now_s)] or targets

    def is_avoided(self, target: Target, now_s: float) -> bool:
        """Return whether a target is slow, so that requests should go elsewhere."""
        return self._is_avoided(short_id(target.name), now_s)

    def _is_avoided(self, target_id: int, now_s: float) -> bool:
        avoidance = self._avoided.get(target_id)
        return avoidance is not None and now_s < avoidance.until_s

    def _avoid(self, target_id: int, now_s: float) -> None:
        settings = self._settings
        last = self._avoided.get(target_id)
        length_s = min(2.0 * last.length_s, settings.max_avoid_s) if last else settings.min_avoid_s
        self._avoided[target_id] = _Avoidance(now_s + length_s, length_s)

    def _drop_ended(self, now_s: float) -> None:
        since_s = now_s - self._settings.max_avoid_s
        self._avoided = {
            target_id: item for target_id, item in self._avoided.items() if item.until_s > since_s
        }

    def _is_slow(self, run: Run, now_s: float) -> bool:
        return now_s - run.started_s > self._settings.slow_ratio * self._expected_s(run)

    def _expected_s(self, run: Run) -> float:
        usual_s = self._usual_s.get((run.target.record.service, run.is_warm))
        if usual_s is not None:
            return usual_s
        return run.objective_s * (1.0 if run.is_warm else self._settings.cold_ratio)

    def _record_usual(self, run: Run, is_slow: bool, now_s: float) -> None:
        expected_s = self._expected_s(run)
        smoothing = self._settings.slow_smoothing if is_slow else self._settings.smoothing
        key = (run.target.record.service, run.is_warm)
        self._usual_s[key] = expected_s + smoothing * (now_s - run.started_s - expected_s)
