"""When a second, concurrent attempt is made for a read that takes unusually long."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from siskinward.coordination.retries._ledger import RetryBudget
    from siskinward.coordination.retries._policy import RequestProgress
    from siskinward.coordination.retries._settings import RetrySettings
    from siskinward.state.objects import Service


class HedgePolicy:
    """Hedges of one service: after the p95 of recent latency, paid from the retry ledger."""

    def __init__(self, settings: RetrySettings, service: Service) -> None:
        self._settings = settings
        self._service = service
        self._latencies_s: deque[float] = deque(maxlen=settings.hedge_samples)
        self._since_sorted = 0
        self._quantile_s: float | None = None

    def on_latency(self, latency_s: float) -> None:
        """Note the latency of a whole answer."""
        self._latencies_s.append(latency_s)
        self._since_sorted += 1
        if self._since_sorted >= self._settings.hedge_least_samples:
            self._since_sorted = 0
            self._quantile_s = self._quantile()

    def hedge_after_s(self, progress: RequestProgress) -> float | None:
        """Time after the first attempt's dispatch at which to ask ``may_hedge``, or None."""
        if not self._service.hedged or not progress.idempotent:
            return None
        return self._quantile_s

    def may_hedge(
        self, progress: RequestProgress, ledger: RetryBudget, now_s: float, *, queued: int
    ) -> bool:
        """Whether to hedge now; pays for the hedge. None is made while requests are ``queued``."""
        if queued:
            return False
        if self.hedge_after_s(progress) is None or progress.failures:
            return False
        if progress.deadline_s - now_s < self._settings.least_time_left_s:
            return False
        return ledger.spend()

    def _quantile(self) -> float:
        ordered = sorted(self._latencies_s)
        return ordered[int(self._settings.hedge_quantile * (len(ordered) - 1))]
