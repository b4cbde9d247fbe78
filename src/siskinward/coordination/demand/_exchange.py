"""Exchange of demand and capacity reports between VMs.

VMs report to the grant holder of their failure domain, which sends the sums of the domain to the
VM that plans. So the planner receives only one message per failure domain and interval.
"""

from __future__ import annotations

from collections import defaultdict
from collections import deque
from typing import TYPE_CHECKING
from typing import Any

from attrs import frozen

from siskinward.coordination.demand.messages import DomainDemand
from siskinward.coordination.demand.messages import VmDemand
from siskinward.coordination.demand.reports import ServiceDemand
from siskinward.coordination.demand.reports import pack_demands
from siskinward.coordination.demand.reports import sum_demands
from siskinward.coordination.demand.reports import unpack_demands
from siskinward.coordination.events import Send
from siskinward.state.identifiers import ServiceName
from siskinward.state.identifiers import VmName

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping

    from siskinward.coordination.events import Effect
    from siskinward.coordination.events import VmIdentity
    from siskinward.coordination.planner import Cell
    from siskinward.state.identifiers import DomainName

Report = tuple[ServiceDemand, ...]


@frozen
class DemandSettings:
    """Intervals of the demand exchange.

    Reports are sent every ``interval_s``, and a VM's report counts for ``lifetime_s``. The demand
    is the mean of the last ``averaged_sums`` sums over the fleet.
    """

    interval_s: float = 10.0
    lifetime_s: float = 22.0
    averaged_sums: int = 3


@frozen
class DomainCapacity:
    """Requests per second that a failure domain can serve, and when this was reported."""

    capacities_per_s: dict[ServiceName, float]
    received_s: float


@frozen
class DemandRoute:
    """The grant holder of this VM's failure domain and the VM that plans; empty if unknown."""

    holder: VmName
    planner: VmName


class DemandExchange:
    """Counts look-ups of cells on one VM, and aggregates the reports that other VMs send it.

    ``capacities`` returns the requests per second that the owned targets of each service can serve.
    """

    def __init__(
        self,
        settings: DemandSettings,
        own: VmIdentity,
        route: Callable[[float], DemandRoute],
        capacities: Callable[[float], Mapping[ServiceName, float]],
        now_s: float,
    ) -> None:
        self._settings = settings
        self._own = own
        self._route = route
        self._capacities = capacities
        self._lookup_counts: dict[ServiceName, dict[Cell, int]] = {}
        self._request_counts: dict[ServiceName, int] = defaultdict(int)
        self._counted_from_s = now_s
        self._vm_reports: dict[VmName, tuple[Report, float]] = {}
        self._domain_reports: dict[DomainName, tuple[Report, float]] = {}
        self._recent_sums: deque[Report] = deque(maxlen=settings.averaged_sums)

    def record_lookup(self, service: ServiceName, cell: Cell) -> None:
        """Record one look-up."""
        self._lookup_counts.setdefault(service, defaultdict(int))[cell] += 1

    def record_request(self, service: ServiceName) -> None:
        """Record one request that a caller sent to this VM."""
        self._request_counts[service] += 1

    def demands(self) -> dict[ServiceName, dict[Cell, float]] | None:
        """Return the mean demand of all cells, or None until there are ``averaged_sums`` sums.

        Look-ups determine how the demand is distributed over cells; requests raise its total if
        there are more of them, because callers keep the answers of look-ups.
        """
        if len(self._recent_sums) < self._settings.averaged_sums:
            return None
        count = len(self._recent_sums)
        return {
            item.service: {
                cell: _compute_scale(item) * amount / count for cell, amount in item.demands.items()
            }
            for item in sum_demands(self._recent_sums)
        }

    def domain_capacities(self) -> dict[DomainName, DomainCapacity]:
        """Return the capacity of each failure domain that has reported."""
        return {
            domain: DomainCapacity({item.service: item.capacity_per_s for item in report}, at_s)
            for domain, (report, at_s) in self._domain_reports.items()
        }

    def on_timer(self, now_s: float) -> list[Effect]:
        """Send a report once per interval; on the VM that plans, add up those of all domains."""
        if now_s - self._counted_from_s < self._settings.interval_s:
            return []
        report = self._own_report(now_s)
        route = self._route(now_s)
        if route.planner != self._own.vm:
            self._recent_sums.clear()
            self._domain_reports.clear()
        if route.holder != self._own.vm:
            self._vm_reports.clear()
            return [Send(route.holder, VmDemand(pack_demands(report)))] if route.holder else []
        self._vm_reports[self._own.vm] = (report, now_s)
        total = sum_demands(
            item
            for item, at_s in self._vm_reports.values()
            if now_s - at_s <= self._settings.lifetime_s
        )
        if route.planner == self._own.vm:
            self._domain_reports[self._own.failure_domain] = (total, now_s)
            # The last report of a domain that stopped reporting still counts: its callers remain.
            self._recent_sums.append(sum_demands(item for item, _ in self._domain_reports.values()))
            return []
        return [Send(route.planner, DomainDemand(pack_demands(total)))] if route.planner else []

    def on_message(self, message: Any, sender: VmIdentity, now_s: float) -> list[Effect]:
        """Record the report of another VM; ignore a malformed one."""
        report = unpack_demands(message.content)
        is_own_domain = sender.failure_domain == self._own.failure_domain
        match message:
            case VmDemand() if is_own_domain and report is not None:
                self._vm_reports[sender.vm] = (report, now_s)
            case DomainDemand() if not is_own_domain and report is not None:
                self._domain_reports[sender.failure_domain] = (report, now_s)
        return []

    def _own_report(self, now_s: float) -> Report:
        elapsed_s = now_s - self._counted_from_s
        capacities = self._capacities(now_s)
        counts, self._lookup_counts, self._counted_from_s = self._lookup_counts, {}, now_s
        requests, self._request_counts = self._request_counts, defaultdict(int)
        return tuple(
            ServiceDemand(
                service,
                capacities.get(service, 0.0),
                {cell: count / elapsed_s for cell, count in counts.get(service, {}).items()},
                requests[service] / elapsed_s,
            )
            for service in dict.fromkeys([*capacities, *counts, *requests])
        )


def _compute_scale(item: ServiceDemand) -> float:
    lookups_per_s = sum(item.demands.values())
    return max(1.0, item.requests_per_s / lookups_per_s) if lookups_per_s > 0 else 1.0
