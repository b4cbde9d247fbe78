"""Counts what an entry VM does. The exposition library is loaded only when somebody asks."""

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
    """Counts by latency bucket, and their sum."""

    counts: list[int] = field(factory=lambda: [0] * (len(LATENCY_BUCKETS_S) + 1))
    sum_s: float = 0.0

    def observe(self, value_s: float) -> None:
        """Count one value."""
        self.counts[bisect_left(LATENCY_BUCKETS_S, value_s)] += 1
        self.sum_s += value_s

    def cumulative(self) -> list[tuple[str, float]]:
        """Upper bound and number of values up to it, as Prometheus wants them."""
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
        """Count a request that has ended."""
        key = (service, status)
        self.requests[key] = self.requests.get(key, 0) + 1
        self.latency.setdefault(service, Histogram()).observe(took_s)
        if reason is not None:
            refusal = (service, reason.value)
            self.refusals[refusal] = self.refusals.get(refusal, 0) + 1

    def count_retry(self, service: str, reason: str) -> None:
        """Count another send of a request, and why the one before was not enough."""
        key = (service, reason)
        self.retries[key] = self.retries.get(key, 0) + 1
