"""Serves the metrics of an entry VM in the Prometheus text format."""

from __future__ import annotations

from math import inf
from typing import TYPE_CHECKING
from typing import Any

from siskinward.coordination.steering.rows import FOLLOWED_TABLES
from siskinward.transport.clock import read_clock_s
from siskinward.transport.http_messages import HttpResponse

if TYPE_CHECKING:
    from collections.abc import Iterator

    from siskinward.coordination.steering.rows import StoreTable
    from siskinward.daemon.entry.dispatcher import Dispatcher
    from siskinward.daemon.entry.metrics import EntryMetrics
    from siskinward.daemon.entry.ports import Store
    from siskinward.daemon.entry.steering import Steering
    from siskinward.daemon.entry.target_links import TargetLinks
    from siskinward.daemon.task_supervisor import TaskSupervisor
    from siskinward.transport.decision_log import DecisionLog
    from siskinward.transport.front_server import Arrival

PREFIX = "siskinward_entry_"
METRICS_PATH = "/metrics"
CONTENT_TYPE = (b"content-type", b"text/plain; version=0.0.4")


def following_task(table: StoreTable) -> str:
    """Return the name of the task that follows a table."""
    return f"follow {table.value}"


class MetricsPage:
    """Collects the metrics of one process at each scrape."""

    def __init__(
        self,
        metrics: EntryMetrics,
        steering: Steering,
        dispatcher: Dispatcher,
        store: Store,
        links: TargetLinks,
        supervisor: TaskSupervisor,
        log: DecisionLog,
    ) -> None:
        self._metrics = metrics
        self._steering = steering
        self._dispatcher = dispatcher
        self._store = store
        self._links = links
        self._supervisor = supervisor
        self._log = log

    async def handle(self, arrival: Arrival) -> HttpResponse:
        """Answer a scrape."""
        if arrival.request.target.partition("?")[0] != METRICS_PATH:
            return HttpResponse(404)
        # Imported here so that a process starts faster, and uses less memory if never scraped.
        from prometheus_client import CollectorRegistry
        from prometheus_client import generate_latest

        registry = CollectorRegistry(auto_describe=False)
        registry.register(self)
        return HttpResponse(200, (CONTENT_TYPE,), generate_latest(registry))

    def collect(self) -> Iterator[Any]:
        """Yield the metric families; implements the collector interface of prometheus_client."""
        yield from self._counters()
        yield self._latency()
        yield from self._gauges(read_clock_s())

    def _counters(self) -> Iterator[Any]:
        from prometheus_client.core import CounterMetricFamily

        requests = CounterMetricFamily(
            PREFIX + "requests", "Requests by service and status.", labels=("service", "status")
        )
        for (service, status), count in self._metrics.requests.items():
            requests.add_metric((service, str(status)), count)
        yield requests
        for name, text, counts in (
            ("refusals", "Own answers by service and reason.", self._metrics.refusals),
            ("retries", "Further sends by service and reason.", self._metrics.retries),
        ):
            family = CounterMetricFamily(PREFIX + name, text, labels=("service", "reason"))
            for key, count in counts.items():
                family.add_metric(key, count)
            yield family
        yield CounterMetricFamily(
            PREFIX + "requests_relayed",
            "Requests sent to targets through other VMs.",
            value=self._links.relayed_count,
        )
        calls = CounterMetricFamily(
            PREFIX + "store_calls", "Calls to the store.", labels=("call", "outcome")
        )
        for (call, outcome), count in self._store.calls.items():
            calls.add_metric((call, outcome), count)
        yield calls
        failures = CounterMetricFamily(
            PREFIX + "task_failures", "Errors that ended a long-lived task.", labels=("task",)
        )
        for name, count in self._supervisor.failures.items():
            failures.add_metric((name,), count)
        yield failures
        yield CounterMetricFamily(
            PREFIX + "log_lines_left_out", "Lines not logged.", value=self._log.lines_left_out
        )

    def _latency(self) -> Any:
        from prometheus_client.core import HistogramMetricFamily

        family = HistogramMetricFamily(
            PREFIX + "latency_seconds", "Time to the answer by service.", labels=("service",)
        )
        for service, histogram in self._metrics.latency.items():
            family.add_metric((service,), histogram.cumulative(), histogram.sum_s)
        return family

    def _gauges(self, now_s: float) -> Iterator[Any]:
        from prometheus_client.core import GaugeMetricFamily

        steering = self._steering
        version = steering.index.configuration.version if steering.index else 0
        for name, text, value in (
            ("configuration_version", "Configuration in force.", version),
            ("vms_live", "VMs heard lately, this one included.", len(steering.fleet.live(now_s))),
            (
                "vms_counted",
                "VMs that limits are divided by.",
                steering.fleet.presumed_vm_count(now_s),
            ),
            (
                "requests_waiting",
                "Requests that wait for capacity.",
                self._dispatcher.waiting_count,
            ),
            (
                "store_lost",
                "Whether this VM's reads of the store fail, so that others read it.",
                float(steering.store_reads.are_failing(now_s)),
            ),
        ):
            yield GaugeMetricFamily(PREFIX + name, text, value=value)
        ages = GaugeMetricFamily(
            PREFIX + "table_age_seconds",
            "Time since the store vouched for a table.",
            labels=("table",),
        )
        for table in FOLLOWED_TABLES:
            confirmed_s = steering.tables[table].confirmed_s
            if confirmed_s > -inf:
                ages.add_metric((table.value,), now_s - confirmed_s)
        yield ages
        yield from self._tables()
        yield from self._store_eras()
        yield self._cut_off()
        yield self._retry_budget(now_s)
        yield self._targets(now_s)
        yield self._target_limits()

    def _tables(self) -> Iterator[Any]:
        from prometheus_client.core import GaugeMetricFamily

        followed = GaugeMetricFamily(
            PREFIX + "table_followed",
            "Whether the task that follows a table runs.",
            labels=("table",),
        )
        unreadable = GaugeMetricFamily(
            PREFIX + "rows_unreadable", "Rows that can't be used.", labels=("table",)
        )
        for table in FOLLOWED_TABLES:
            is_running = self._supervisor.is_running(following_task(table))
            followed.add_metric((table.value,), float(is_running))
            count = self._steering.unreadable_rows.count(table)
            unreadable.add_metric((table.value,), count)
        yield followed
        yield unreadable

    def _store_eras(self) -> Iterator[Any]:
        from prometheus_client.core import GaugeMetricFamily

        eras = GaugeMetricFamily(
            PREFIX + "store_era", "Times that the store came back from a copy.", labels=("table",)
        )
        held = GaugeMetricFamily(
            PREFIX + "rows_held", "Rows held against an older store.", labels=("table",)
        )
        for table in FOLLOWED_TABLES:
            copy = self._steering.tables[table]
            eras.add_metric((table.value,), copy.position.era)
            held.add_metric((table.value,), copy.held_count)
        yield eras
        yield held

    def _cut_off(self) -> Any:
        from prometheus_client.core import GaugeMetricFamily

        return GaugeMetricFamily(
            PREFIX + "targets_cut_off",
            "Whether this VM reaches no target, so that others relay its requests.",
            value=float(self._steering.paths.is_cut_off),
        )

    def _retry_budget(self, now_s: float) -> Any:
        from prometheus_client.core import GaugeMetricFamily

        family = GaugeMetricFamily(
            PREFIX + "retries_left", "Further sends that are allowed.", labels=("service",)
        )
        index = self._steering.index
        for service in index.configuration.services if index else ():
            family.add_metric((service,), self._steering.retries.remaining(service, now_s))
        return family

    def _targets(self, now_s: float) -> Any:
        from prometheus_client.core import GaugeMetricFamily

        family = GaugeMetricFamily(
            PREFIX + "targets", "Targets by service and state.", labels=("service", "state")
        )
        counts: dict[tuple[str, str], int] = {}
        for target in self._steering.targets.all():
            state = (str(target.record.service), target.state_name(now_s))
            counts[state] = counts.get(state, 0) + 1
        for labels, count in counts.items():
            family.add_metric(labels, count)
        return family

    def _target_limits(self) -> Any:
        from prometheus_client.core import GaugeMetricFamily

        family = GaugeMetricFamily(
            PREFIX + "target_limit_per_second",
            "Rate limits that targets state.",
            labels=("service", "target"),
        )
        for target in self._steering.targets.all():
            rate_per_s = self._steering.limits.rate_per_s(target.name)
            if rate_per_s is not None:
                family.add_metric((target.record.service, target.name), rate_per_s)
        return family
