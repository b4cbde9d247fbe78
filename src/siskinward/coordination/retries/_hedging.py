"""Policy for hedging: a second, concurrent attempt at a read that takes unusually long."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from siskinward.coordination.retries._budget import RetryBudget
    from siskinward.coordination.retries._policy import RequestProgress
    from siskinward.coordination.retries._settings import RetrySettings
    from siskinward.state.objects import Service


class HedgePolicy:
    """Hedges reads of one service after the p95 of recent latency, within the retry budget."""

    def __init__(self, settings: RetrySettings, service: Service) -> None:
        self._settings = settings
        self._service = service
        self._latencies_s: deque[float] = deque(maxlen=settings.hedge_samples)
        self._samples_since_update = 0
        self._quantile_s: float | None = None

    def on_latency(self, latency_s: float) -> None:
        """Record the latency of a complete answer."""
        self._latencies_s.append(latency_s)
        self._samples_since_update += 1
        if self._samples_since_update >= self._settings.hedge_min_samples:
            self._samples_since_update = 0
            self._quantile_s = self._compute_quantile_s()

    def hedge_after_s(self, progress: RequestProgress) -> float | None:
        """Return how long after the first dispatch to call ``may_hedge``; None for no hedge."""
        if not self._service.hedged or not progress.idempotent:
            return None
        return self._quantile_s

    def may_hedge(
        self, progress: RequestProgress, budget: RetryBudget, now_s: float, *, queued: int
    ) -> bool:
        """Return whether to hedge now, and charge the budget for it; never while requests queue."""
        if queued:
            return False
        if self.hedge_after_s(progress) is None or progress.failures:
            return False
        if progress.deadline_s - now_s < self._settings.min_time_left_s:
            return False
        return budget.try_spend()

    def _compute_quantile_s(self) -> float:
        ordered = sorted(self._latencies_s)
        return ordered[int(self._settings.hedge_quantile * (len(ordered) - 1))]
