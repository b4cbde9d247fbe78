"""Counters of an entry VM. ``metrics_page`` imports the Prometheus client on first use."""

from __future__ import annotations

from bisect import bisect_left
from typing import TYPE_CHECKING

from attrs import define
from attrs import field

if TYPE_CHECKING:
    from siskinward.daemon.entry.refusals import Reason

LATENCY_BUCKETS_S = (0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.4, 0.6, 0.8, 1.0, 1.5, 2.0, 4.0, 8.0)


@define
class Histogram:
    """Number of values per latency bucket, and the sum of the values."""

    counts: list[int] = field(factory=lambda: [0] * (len(LATENCY_BUCKETS_S) + 1))
    sum_s: float = 0.0

    def observe(self, value_s: float) -> None:
        """Count one value."""
        self.counts[bisect_left(LATENCY_BUCKETS_S, value_s)] += 1
        self.sum_s += value_s

    def cumulative(self) -> list[tuple[str, float]]:
        """Return each bucket's upper bound and cumulative count, in Prometheus' format."""
        total = 0
        buckets = []
        for bound, count in zip((*LATENCY_BUCKETS_S, float("inf")), self.counts, strict=True):
            total += count
            buckets.append(("+Inf" if bound == float("inf") else str(bound), float(total)))
        return buckets


class EntryMetrics:
    """Counters of one process since its start."""

    def __init__(self) -> None:
        self.requests: dict[tuple[str, int], int] = {}
        self.refusals: dict[tuple[str, str], int] = {}
        self.retries: dict[tuple[str, str], int] = {}
        self.latency: dict[str, Histogram] = {}

    def count_request(
        self, service: str, status: int, reason: Reason | None, took_s: float
    ) -> None:
        """Count a finished request."""
        key = (service, status)
        self.requests[key] = self.requests.get(key, 0) + 1
        self.latency.setdefault(service, Histogram()).observe(took_s)
        if reason is not None:
            refusal = (service, reason.value)
            self.refusals[refusal] = self.refusals.get(refusal, 0) + 1

    def count_retry(self, service: str, reason: str) -> None:
        """Count a retry; ``reason`` is the outcome of the send before it."""
        key = (service, reason)
        self.retries[key] = self.retries.get(key, 0) + 1
