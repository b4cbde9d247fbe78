"""What callers saw: latency by service, served and refused by client account."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from attrs import Factory
from attrs import define
from attrs import frozen
from hdrh.histogram import HdrHistogram

if TYPE_CHECKING:
    from siskinward.state.objects import Configuration

MICROSECONDS_PER_S = 1_000_000
LATENCY_LIMIT_MICROSECONDS = 60 * MICROSECONDS_PER_S
SIGNIFICANT_DIGITS = 3
OPEN_ROUTES = "(open routes)"


@frozen
class LatencySummary:
    """Latency of one service as callers saw it."""

    service: str
    count: int
    p50_ms: float
    p99_ms: float
    p999_ms: float


@define
class _ExactBucket:
    rate_per_s: float
    burst_tokens: float
    tokens: float
    updated_at_s: float

    def take(self, now_s: float) -> bool:
        grown = self.tokens + (now_s - self.updated_at_s) * self.rate_per_s
        self.tokens = min(grown, self.burst_tokens)
        self.updated_at_s = now_s
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


@define
class AccountTally:
    """Counts of one client account. ``inside_count`` requests were inside rate and burst."""

    offered_count: int = 0
    inside_count: int = 0
    served_count: int = 0
    unanswered_count: int = 0
    refused: Counter[str] = Factory(Counter)

    @property
    def refused_count(self) -> int:
        """Refused requests, whatever the reason."""
        return sum(self.refused.values())

    @property
    def wrongful_count(self) -> int:
        """Requests refused for their rate beyond those that really were outside it."""
        outside_count = self.offered_count - self.inside_count
        return max(self.refused["rate"] - outside_count, 0)


class CallerRecord:
    """Collects the outcomes of all callers of one run."""

    def __init__(self, configuration: Configuration) -> None:
        self._configuration = configuration
        self._histograms: dict[str, HdrHistogram] = {}
        self._buckets: dict[str, _ExactBucket] = {}
        self.accounts: dict[str, AccountTally] = {}
        self.unknown_count = 0
        self.served_at_s: dict[str, list[float]] = {}

    def offered(self, account: str, service: str, now_s: float) -> None:
        """Count a request, and whether one exact token bucket would have let it pass."""
        tally = self.accounts.setdefault(account, AccountTally())
        tally.offered_count += 1
        if account == OPEN_ROUTES or self._bucket(account, now_s).take(now_s):
            tally.inside_count += 1

    def served(self, account: str, service: str, latency_s: float, now_s: float) -> None:
        """Count a whole answer."""
        self.accounts[account].served_count += 1
        self.served_at_s.setdefault(account, []).append(now_s)
        self._histogram(service).record_value(int(latency_s * MICROSECONDS_PER_S))

    def refused(self, account: str, service: str, reason: str, outcome: str, now_s: float) -> None:
        """Count a refusal, or an outcome that the system called unknown."""
        self.accounts[account].refused[reason] += 1
        if outcome == "unknown":
            self.unknown_count += 1

    def unanswered(self, account: str, service: str) -> None:
        """Count a request that never got an answer."""
        self.accounts[account].unanswered_count += 1

    def latencies(self) -> list[LatencySummary]:
        """Return the latency of each service."""
        return [_summary(name, histogram) for name, histogram in sorted(self._histograms.items())]

    def _bucket(self, account: str, now_s: float) -> _ExactBucket:
        bucket = self._buckets.get(account)
        if bucket is None:
            limits = self._configuration.client_accounts[account]  # type: ignore[index]
            burst = float(limits.burst_tokens)
            bucket = _ExactBucket(limits.rate_per_s, burst, burst, now_s)
            self._buckets[account] = bucket
        return bucket

    def _histogram(self, service: str) -> HdrHistogram:
        if service not in self._histograms:
            histogram = HdrHistogram(1, LATENCY_LIMIT_MICROSECONDS, SIGNIFICANT_DIGITS)
            self._histograms[service] = histogram
        return self._histograms[service]


def _summary(service: str, histogram: HdrHistogram) -> LatencySummary:
    quantiles = [histogram.get_value_at_percentile(p) / 1000 for p in (50, 99, 99.9)]
    return LatencySummary(service, histogram.get_total_count(), *quantiles)
