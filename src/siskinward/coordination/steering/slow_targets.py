"""Finds targets that became slow or silent, from what all VMs see of their runs.

Handles targets that go on as the first choice of their objects while requests time out there, one
after another. Each VM compares its runs with those of all targets of the service, warm and cold
ones apart, and tells the others where the latest ones were slow.
"""

from __future__ import annotations

from collections import deque
from math import inf
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

    A run is slow once it takes ``slow_ratio`` times the usual time, or more in proportion if the
    target had more requests than slots. A target is avoided for ``min_avoid_s`` when the VMs
    together have seen ``min_slow_runs`` slow runs since its last other run, and twice as long each
    time that it is slow again soon, up to ``max_avoid_s``. Runs that ended more than ``window_s``
    ago don't count. Until there are runs to compare with, a warm run is expected to take the
    latency objective and a cold one ``cold_ratio`` times that. The usual time follows the runs by
    ``smoothing``, and slow runs by ``slow_smoothing``, so that a slow target does not make slowness
    usual.
    """

    is_enabled: bool = True
    slow_ratio: float = 3.0
    min_slow_runs: int = 5
    window_s: float = 2.0
    min_avoid_s: float = 2.0
    max_avoid_s: float = 8.0
    cold_ratio: float = 2.0
    smoothing: float = 0.05
    slow_smoothing: float = 0.005


@define(eq=False)
class Run:
    """One request at a target; ``load_ratio`` is the load there at its start, 1 if all slots are
    taken.
    """

    target: Target
    is_warm: bool
    load_ratio: float
    objective_s: float
    started_s: float


@define
class _Avoidance:
    until_s: float
    length_s: float


@define
class _Observations:
    """The latest start of a run that was not slow, and the starts and ends of later slow runs."""

    sound_start_s: float = -inf
    slow: deque[tuple[float, float]] = field(factory=deque)

    def record_sound(self, start_s: float) -> None:
        self.sound_start_s = max(self.sound_start_s, start_s)

    def count_slow(self, since_s: float) -> int:
        while self.slow and self.slow[0][1] < since_s:
            self.slow.popleft()
        return sum(start_s > self.sound_start_s for start_s, _ in self.slow)


class SlowTargets:
    """Usual run times by service, and the targets that are slower."""

    def __init__(self, settings: SlowTargetSettings) -> None:
        self._settings = settings
        self._usual_s: dict[tuple[ServiceName, bool], float] = {}
        self._running: dict[int, set[Run]] = {}
        self._observations: dict[int, _Observations] = {}
        self._avoided: dict[int, _Avoidance] = {}

    def on_sent(self, target: Target, *, is_warm: bool, objective_s: float, now_s: float) -> Run:
        """Record a request that is sent to a target, whose load includes it already."""
        load_ratio = target.load / target.record.slots
        run = Run(target, is_warm, load_ratio, objective_s, now_s)
        self._running.setdefault(short_id(target.name), set()).add(run)
        return run

    def on_ended(self, run: Run, *, is_answered: bool, is_timeout: bool, now_s: float) -> None:
        """Record the end of a run; one that was neither answered nor timed out says nothing."""
        target_id = short_id(run.target.name)
        runs = self._running.get(target_id, set())
        runs.discard(run)
        if not runs:
            self._running.pop(target_id, None)
        if not (is_answered or is_timeout):
            return
        is_slow = self._is_slow(run, now_s)
        observations = self._observations.setdefault(target_id, _Observations())
        if is_slow:
            observations.slow.append((run.started_s, now_s))
        else:
            observations.record_sound(run.started_s)
        if is_answered and run.load_ratio < 1.0:
            self._record_usual(run, is_slow, now_s)

    def own_slow_runs(self, now_s: float) -> dict[int, int]:
        """Return by target how many runs of this VM were slow since the last that was not."""
        since_s = now_s - self._settings.window_s
        counts: dict[int, int] = {}
        for target_id, observations in self._observations.items():
            counts[target_id] = observations.count_slow(since_s)
        for target_id, runs in self._running.items():
            sound_start_s = self._sound_start_s(target_id)
            slow = sum(run.started_s > sound_start_s and self._is_slow(run, now_s) for run in runs)
            counts[target_id] = counts.get(target_id, 0) + slow
        return {target_id: number for target_id, number in counts.items() if number > 0}

    def _sound_start_s(self, target_id: int) -> float:
        observations = self._observations.get(target_id)
        return observations.sound_start_s if observations else -inf

    def update(self, others: Iterable[Mapping[int, int]], now_s: float) -> list[int]:
        """Add up what all VMs saw; return the ids of targets that are avoided from now on."""
        totals = self.own_slow_runs(now_s)
        for counts in others:
            for target_id, number in counts.items():
                totals[target_id] = totals.get(target_id, 0) + number
        found = [
            target_id
            for target_id, number in totals.items()
            if number >= self._settings.min_slow_runs and not self._is_avoided(target_id, now_s)
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
        self._observations = {
            target_id: item
            for target_id, item in self._observations.items()
            if item.slow or item.sound_start_s > since_s
        }
        self._avoided = {
            target_id: item for target_id, item in self._avoided.items() if item.until_s > since_s
        }

    def _is_slow(self, run: Run, now_s: float) -> bool:
        limit_s = self._settings.slow_ratio * self._expected_s(run) * max(1.0, run.load_ratio)
        return now_s - run.started_s > limit_s

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
