"""Outcomes as callers saw them: latency by service, served and refused by client account."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from attrs import Factory
from attrs import define
from attrs import evolve
from attrs import frozen
from hdrh.histogram import HdrHistogram

from siskinward.state.identifiers import AccountName

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


@frozen
class CallerOutcome:
    """Final outcome of one request; ``status`` 0 stands for no answer."""

    line: int
    account: str
    service: str
    ticket: str
    start_s: float
    end_s: float
    status: int
    reason: str
    outcome: str


@define
class _ExactBucket:
    rate_per_s: float
    burst_tokens: float
    tokens: float
    updated_at_s: float

    def take(self, now_s: float) -> bool:
        refilled = self.tokens + (now_s - self.updated_at_s) * self.rate_per_s
        self.tokens = min(refilled, self.burst_tokens)
        self.updated_at_s = now_s
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


@define
class AccountTally:
    """Counts of one client account. ``within_rate_count`` requests were within rate and burst."""

    offered_count: int = 0
    within_rate_count: int = 0
    served_count: int = 0
    unanswered_count: int = 0
    refused: Counter[str] = Factory(Counter)

    @property
    def refused_count(self) -> int:
        """Number of refused requests, for any reason."""
        return sum(self.refused.values())

    @property
    def wrongful_count(self) -> int:
        """Number of requests refused for their rate in excess of those that exceeded it."""
        excess_count = self.offered_count - self.within_rate_count
        return max(self.refused["rate"] - excess_count, 0)


class CallerRecord:
    """Collects the outcomes of all callers of one run."""

    def __init__(self, configuration: Configuration) -> None:
        self._configuration = configuration
        self._histograms: dict[str, HdrHistogram] = {}
        self._buckets: dict[str, _ExactBucket] = {}
        self.accounts: dict[str, AccountTally] = {}
        self.outcomes: list[CallerOutcome] = []

    def add(self, outcome: CallerOutcome) -> None:
        """Record the final outcome of one request."""
        self.outcomes.append(outcome)
        tally = self.accounts.setdefault(outcome.account, AccountTally())
        tally.offered_count += 1
        match outcome.outcome:
            case "answered":
                tally.served_count += 1
                latency_s = outcome.end_s - outcome.start_s
                histogram = self._histogram(outcome.service)
                histogram.record_value(int(latency_s * MICROSECONDS_PER_S))
            case "unanswered":
                tally.unanswered_count += 1
            case _:
                tally.refused[outcome.reason] += 1

    def count_within_rate(self) -> None:
        """Count the requests that an exact token bucket per client account would admit."""
        for tally in self.accounts.values():
            tally.within_rate_count = 0
        for outcome in sorted(self.outcomes, key=lambda item: item.start_s):
            if self._is_within_rate(outcome):
                self.accounts[outcome.account].within_rate_count += 1

    def make_times_relative(self, start_s: float) -> None:
        """Make the recorded times relative to ``start_s`` and sort the outcomes by start time."""
        self.outcomes = sorted(
            (
                evolve(item, start_s=item.start_s - start_s, end_s=item.end_s - start_s)
                for item in self.outcomes
            ),
            key=lambda item: (item.start_s, item.line, item.end_s),
        )

    def latencies(self) -> list[LatencySummary]:
        """Return the latency of each service."""
        return [_summary(name, histogram) for name, histogram in sorted(self._histograms.items())]

    def _is_within_rate(self, outcome: CallerOutcome) -> bool:
        limits = self._configuration.client_accounts.get(AccountName(outcome.account))
        if limits is None:
            return True
        bucket = self._buckets.get(outcome.account)
        if bucket is None:
            burst = float(limits.burst_tokens)
            bucket = _ExactBucket(limits.rate_per_s, burst, burst, outcome.start_s)
            self._buckets[outcome.account] = bucket
        return bucket.take(outcome.start_s)

    def _histogram(self, service: str) -> HdrHistogram:
        if service not in self._histograms:
            histogram = HdrHistogram(1, LATENCY_LIMIT_MICROSECONDS, SIGNIFICANT_DIGITS)
            self._histograms[service] = histogram
        return self._histograms[service]


def _summary(service: str, histogram: HdrHistogram) -> LatencySummary:
    quantiles = [histogram.get_value_at_percentile(p) / 1000 for p in (50, 99, 99.9)]
    return LatencySummary(service, histogram.get_total_count(), *quantiles)
