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
        self.requests = Counter(
            "siskinward_requests",
            "Requests by service, client account and outcome.",
            ("service", "client_account", "outcome"),
            registry=registry,
        )
        self.refusals = Counter(
            "siskinward_refusals",
            "Refused requests by reason, service and client account.",
            ("reason", "service", "client_account"),
            registry=registry,
        )
        self.retries = Counter(
            "siskinward_retries", "Retries by reason.", ("reason", "service"), registry=registry
        )
        self.latency_s = Histogram(
            "siskinward_latency_seconds",
            "Time from a request's arrival to its outcome.",
            ("service",),
            buckets=LATENCY_BUCKETS_S,
            registry=registry,
        )
        self.lookups = Counter("siskinward_lookups", "Look-ups answered.", registry=registry)
        self.shift_steps = Counter(
            "siskinward_shift_steps", "Steps of planned shifts in force.", registry=registry
        )
        self.shift_conflicts = Counter(
            "siskinward_shift_conflicts",
            "Steps of planned shifts that were not accepted, or not in time.",
            registry=registry,
        )
        self.shift_freezes = Counter(
            "siskinward_shift_freezes",
            "Steps of planned shifts not taken, by reason.",
            ("reason",),
            registry=registry,
        )
        self.errors = Counter(
            "siskinward_errors", "Failed steps towards peers.", ("step",), registry=registry
        )
        self.configuration_version = Gauge(
            "siskinward_configuration_version", "Version in force.", registry=registry
        )
        self.forwarded = Counter(
            "siskinward_forwarded",
            "Requests forwarded to another VM, by failure domain.",
            ("failure_domain",),
            registry=registry,
        )
        self.peer_messages = Counter(
            "siskinward_peer_messages",
            "Messages between VMs, by class and direction.",
            ("message", "direction"),
            registry=registry,
        )
        self.peer_bytes = Counter(
            "siskinward_peer_bytes",
            "Bytes of messages between VMs, by class and direction.",
            ("message", "direction"),
            registry=registry,
        )
        self._traffic: dict[tuple[type, Direction], tuple[Counter, Counter]] = {}

    def count_traffic(self, message_type: type, direction: Direction, size_bytes: int) -> None:
        """Count one message between VMs."""
        counters = self._traffic.get((message_type, direction))
        if counters is None:
            labels = (message_type.__name__, direction.value)
            counters = (self.peer_messages.labels(*labels), self.peer_bytes.labels(*labels))
            self._traffic[message_type, direction] = counters
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
