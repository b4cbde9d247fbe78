"""Prometheus counters and histograms of one VM."""

from __future__ import annotations

from typing import TYPE_CHECKING

from prometheus_client import CollectorRegistry
from prometheus_client import Counter
from prometheus_client import Gauge
from prometheus_client import Histogram
from prometheus_client import generate_latest

if TYPE_CHECKING:
    from siskinward.coordination.outcomes import RefusalReason
    from siskinward.coordination.outcomes import RetryReason
    from siskinward.transport.traffic import Direction

LATENCY_BUCKETS_S = (0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0)


class NodeMetrics:
    """Counters of one process, in a registry of their own."""

    def __init__(self) -> None:
        registry = CollectorRegistry()
        self._registry = registry
        self._traffic_counters: dict[tuple[type, Direction], tuple[Counter, Counter]] = {}
        self.requests = self._counter(
            "requests",
            "Requests by service, client account and outcome.",
            "service",
            "client_account",
            "outcome",
        )
        self.refusals = self._counter(
            "refusals",
            "Refused requests by reason, service and client account.",
            "reason",
            "service",
            "client_account",
        )
        self.retries = self._counter("retries", "Retries by reason.", "reason", "service")
        self.lookups = self._counter("lookups", "Look-ups answered.")
        self.errors = self._counter("errors", "Failed steps towards peers.", "step")
        self.shift_steps = self._counter("shift_steps", "Steps of planned shifts in force.")
        self.shift_conflicts = self._counter(
            "shift_conflicts", "Steps of planned shifts that were not accepted, or not in time."
        )
        self.shift_freezes = self._counter(
            "shift_freezes", "Steps of planned shifts not taken, by reason.", "reason"
        )
        self.forwarded = self._counter(
            "forwarded", "Requests forwarded to another VM.", "failure_domain"
        )
        self.peer_messages = self._counter(
            "peer_messages", "Messages between VMs.", "message", "direction"
        )
        self.peer_bytes = self._counter(
            "peer_bytes", "Bytes of messages between VMs.", "message", "direction"
        )
        self.latency_s = Histogram(
            "siskinward_latency_seconds",
            "Time from a request's arrival to its outcome.",
            ("service",),
            buckets=LATENCY_BUCKETS_S,
            registry=registry,
        )
        self.configuration_version = Gauge(
            "siskinward_configuration_version", "Version in force.", registry=registry
        )

    def _counter(self, name: str, help_text: str, *labels: str) -> Counter:
        return Counter(f"siskinward_{name}", help_text, labels, registry=self._registry)

    def count_traffic(self, message_type: type, direction: Direction, size_bytes: int) -> None:
        """Count one message between VMs."""
        counters = self._traffic_counters.get((message_type, direction))
        if counters is None:
            labels = (message_type.__name__, direction.value)
            counters = (self.peer_messages.labels(*labels), self.peer_bytes.labels(*labels))
            self._traffic_counters[message_type, direction] = counters
        messages, size = counters
        messages.inc()
        size.inc(size_bytes)

    def count_refusal(self, reason: RefusalReason, service: str = "", account: str = "") -> None:
        """Count one refusal."""
        self.refusals.labels(reason.value, service, account).inc()

    def count_retry(self, reason: RetryReason, service: str) -> None:
        """Count one retry."""
        self.retries.labels(reason.value, service).inc()

    def render(self) -> bytes:
        """Return the exposition text."""
        return generate_latest(self._registry)
