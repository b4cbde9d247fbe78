"""Measures how hedged listing reads, paid from the retry budget, change latency and load."""

from __future__ import annotations

import heapq
from collections import deque
from itertools import count
from random import Random
from typing import Any

from attrs import define
from attrs import field

from siskinward.coordination.retries import HedgePolicy
from siskinward.coordination.retries import RequestProgress
from siskinward.coordination.retries import RetryBudget
from siskinward.coordination.retries import RetrySettings
from siskinward.state.identifiers import ServiceName
from siskinward.state.objects import Service
from siskinward.state.objects import ServiceClass

TARGETS = 12
SLOTS = 3
MEAN_RUN_S = 0.01
SLOW_SHARE = 0.01
SLOW_RUN_S = 0.2
REQUESTS = 60_000
DEADLINE_S = 5.0
LOADS = (0.5, 0.7, 0.9)
MS_PER_S = 1000.0


@define
class Request:
    """A read; its first attempt and its hedge share this object."""

    begun_at_s: float
    first_target: int
    answered: bool = False


@define
class Target:
    """A target with ``SLOTS`` slots and a FIFO queue."""

    running: int = 0
    queue: deque[Request] = field(factory=deque)

    @property
    def outstanding(self) -> int:
        """Number of requests running or queued here."""
        return self.running + len(self.queue)


class Trial:
    """Simulates least-outstanding routing over all targets, with or without hedges."""

    def __init__(self, load: float, *, hedged: bool) -> None:
        self._random = Random(1)
        mean_s = MEAN_RUN_S * (1.0 - SLOW_SHARE) + SLOW_RUN_S * SLOW_SHARE
        self._rate_per_s = load * TARGETS * SLOTS / mean_s
        settings = RetrySettings()
        service = Service(ServiceName("listings"), ServiceClass.READ, hedged=hedged)
        self._policy = HedgePolicy(settings, service)
        self._budget = RetryBudget(settings)
        self._targets = [Target() for _ in range(TARGETS)]
        self._events: list[tuple[float, int, Any]] = []
        self._order = count()
        self.latencies_s: list[float] = []
        self.runs = 0

    def run(self) -> None:
        """Run until all requests are served."""
        at_s = 0.0
        for _ in range(REQUESTS):
            at_s += self._random.expovariate(self._rate_per_s)
            self._schedule(at_s, self._begin)
        while self._events:
            now_s, _, action = heapq.heappop(self._events)
            action(now_s)

    def _schedule(self, at_s: float, action: Any) -> None:
        heapq.heappush(self._events, (at_s, next(self._order), action))

    def _begin(self, now_s: float) -> None:
        target = self._choose(exclude=-1)
        request = Request(now_s, target)
        self._budget.on_first_attempt()
        progress = RequestProgress(idempotent=True, deadline_s=now_s + DEADLINE_S)
        after_s = self._policy.hedge_after_s(progress)
        if after_s is not None:
            self._schedule(now_s + after_s, lambda at_s: self._hedge(request, progress, at_s))
        self._enqueue(request, target, now_s)

    def _hedge(self, request: Request, progress: RequestProgress, now_s: float) -> None:
        if request.answered:
            return
        queued = sum(len(target.queue) for target in self._targets)
        if not self._policy.may_hedge(progress, self._budget, now_s, queued=queued):
            return
        self._enqueue(request, self._choose(exclude=request.first_target), now_s)

    def _choose(self, exclude: int) -> int:
        others = [number for number in range(TARGETS) if number != exclude]
        return min(others, key=lambda one: (self._targets[one].outstanding, self._random.random()))

    def _enqueue(self, request: Request, number: int, now_s: float) -> None:
        self._targets[number].queue.append(request)
        self._start(number, now_s)

    def _start(self, number: int, now_s: float) -> None:
        target = self._targets[number]
        while target.queue and target.running < SLOTS:
            request = target.queue.popleft()
            if request.answered:
                # The other attempt was faster, so this one is cancelled before it runs.
                continue
            target.running += 1
            self.runs += 1
            self._schedule(now_s + self._run_s(), self._finish(request, number))

    def _run_s(self) -> float:
        if self._random.random() < SLOW_SHARE:
            return SLOW_RUN_S
        return self._random.expovariate(1.0 / MEAN_RUN_S)

    def _finish(self, request: Request, number: int) -> Any:
        def finish(now_s: float) -> None:
            self._targets[number].running -= 1
            if not request.answered:
                request.answered = True
                self.latencies_s.append(now_s - request.begun_at_s)
                self._policy.on_latency(now_s - request.begun_at_s)
            self._start(number, now_s)

        return finish


def main() -> None:
    """Print latency percentiles and additional runs, with and without hedges."""
    for load in LOADS:
        for hedged in (False, True):
            trial = Trial(load, hedged=hedged)
            trial.run()
            ordered = sorted(trial.latencies_s)
            p50, p95, p99, p999 = (
                ordered[int(quantile * (len(ordered) - 1))] * MS_PER_S
                for quantile in (0.5, 0.95, 0.99, 0.999)
            )
            print(
                f"load {load:.1f}, {'hedged' if hedged else 'plain ':6}: p50 {p50:6.1f}  "
                f"p95 {p95:6.1f}  p99 {p99:6.1f}  p99.9 {p999:6.1f} ms, "
                f"{trial.runs / REQUESTS - 1.0:.1%} more runs"
            )


if __name__ == "__main__":
    main()
