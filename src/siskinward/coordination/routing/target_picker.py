"""Selection among the targets that this VM owns."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define

from siskinward.coordination.routing._ramp import ramp_share

if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Iterable
    from random import Random

    from siskinward.coordination.admission import SlotLedger
    from siskinward.coordination.routing.settings import RoutingSettings
    from siskinward.state.identifiers import TargetName


@define
class _TargetView:
    """State of a target: its ramp, smoothed latency and recent failures."""

    up_since_s: float
    took_s: float | None = None
    failures: int = 0
    suspended_until_s: float = float("-inf")


class TargetPicker:
    """Pick the least used target by exact counts; slow, cold and failing ones get fewer requests.

    After a failure a target is suspended for a time that doubles with each further failure, up
    to ``max_suspend_s``. Then it is probed with one request at a time until one succeeds.
    """

    def __init__(self, settings: RoutingSettings, random: Random) -> None:
        self._settings = settings
        self._random = random
        self._views: dict[TargetName, _TargetView] = {}
        self._leaving: frozenset[TargetName] = frozenset()
        self._mean_latency_s = 0.0

    def set_leaving(self, targets: Iterable[TargetName]) -> None:
        """Set the targets that get no new requests: draining, or shutting down on their own."""
        self._leaving = frozenset(targets)

    def on_target_up(self, target: TargetName, now_s: float) -> None:
        """Start the ramp of a target that is newly up, or cold after traffic moved to it."""
        self._views[target] = _TargetView(up_since_s=now_s)

    def forget(self, target: TargetName) -> None:
        """Remove the state of a target that was removed."""
        self._views.pop(target, None)

    def slots_open(self, target: TargetName, *, slots: int, now_s: float) -> int:
        """Return how many of its slots a target may use now."""
        if target in self._leaving:
            return 0
        view = self._views.get(target)
        if view is None:
            return slots
        if now_s < view.suspended_until_s:
            return 0
        if view.failures:
            return 1
        share = ramp_share(self._settings, up_since_s=view.up_since_s, now_s=now_s)
        return max(1, int(slots * share))

    def pick(
        self,
        ledger: SlotLedger,
        targets: Iterable[TargetName],
        *,
        excluded: Collection[TargetName],
        now_s: float,
    ) -> TargetName | None:
        """Return the target to take a slot at, or ``None`` if none has a free one."""
        best: TargetName | None = None
        best_score = (0.0, 0.0)
        for target in targets:
            if target in excluded or ledger.free(target) == 0:
                continue
            in_use = ledger.in_use(target)
            slots = in_use + ledger.free(target)
            open_slots = self.slots_open(target, slots=slots, now_s=now_s)
            if in_use >= open_slots:
                continue
            score = (
                (in_use + 1) / open_slots * self._relative_latency(target),
                self._random.random(),
            )
            if best is None or score < best_score:
                best, best_score = target, score
        return best

    def on_answer(self, target: TargetName, *, took_s: float) -> None:
        """Record a request that the target completed."""
        view = self._views.setdefault(target, _TargetView(up_since_s=float("-inf")))
        view.failures = 0
        if view.took_s is None:
            view.took_s = took_s
        view.took_s += self._settings.smoothing * (took_s - view.took_s)
        known = [other.took_s for other in self._views.values() if other.took_s]
        self._mean_latency_s = sum(known) / len(known) if known else 0.0

    def on_failure(self, target: TargetName, now_s: float) -> None:
        """Record a failed request or a refused connection."""
        view = self._views.setdefault(target, _TargetView(up_since_s=float("-inf")))
        if now_s < view.suspended_until_s:
            return
        suspension_s = self._settings.suspend_s * 2.0**view.failures
        view.suspended_until_s = now_s + min(suspension_s, self._settings.max_suspend_s)
        view.failures += 1

    def _relative_latency(self, target: TargetName) -> float:
        """Return the target's smoothed latency relative to the mean of all, at least one."""
        view = self._views.get(target)
        if view is None or not view.took_s or self._mean_latency_s <= 0.0:
            return 1.0
        return max(1.0, view.took_s / self._mean_latency_s)
