"""Main class of the demand exchange.

VMs report to the grant holder of their failure domain, which sends the domain's sums to the VM
that plans, so that this one takes a message for each domain and interval.
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
    """Reports are sent every ``interval_s``; the mean of ``mean_count`` sums is the demand."""

    interval_s: float = 10.0
    lifetime_s: float = 22.0
    mean_count: int = 3


@frozen
class DomainCapacity:
    """What a failure domain can serve a second, and when it was told."""

    capacities_per_s: dict[ServiceName, float]
    received_s: float


@frozen
class DemandRoute:
    """The grant holder of the own failure domain and the VM that plans; empty if not known."""

    holder: VmName
    planner: VmName


class DemandExchange:
    """Counts look-ups of cells on one VM, and collects the counts that other VMs send it.

    ``capacities`` tells what the owned targets of each service can serve a second.
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
        self._counts: dict[ServiceName, dict[Cell, int]] = {}
        self._request_counts: dict[ServiceName, int] = defaultdict(int)
        self._counted_from_s = now_s
        self._vms: dict[VmName, tuple[Report, float]] = {}
        self._domains: dict[DomainName, tuple[Report, float]] = {}
        self._sums: deque[Report] = deque(maxlen=settings.mean_count)

    def record_lookup(self, service: ServiceName, cell: Cell) -> None:
        """Count one look-up."""
        self._counts.setdefault(service, defaultdict(int))[cell] += 1

    def record_request(self, service: ServiceName) -> None:
        """Count one request that a caller sent to this VM."""
        self._request_counts[service] += 1

    def demands(self) -> dict[ServiceName, dict[Cell, float]] | None:
        """Mean demand of all cells; None until it was measured for the whole time.

        Look-ups tell how the demand is spread, requests how high it is.
        """
        if len(self._sums) < self._settings.mean_count:
            return None
        count = len(self._sums)
        return {
            item.service: {
                cell: _scale(item) * amount / count for cell, amount in item.demands.items()
            }
            for item in sum_demands(self._sums)
        }

    def domain_capacities(self) -> dict[DomainName, DomainCapacity]:
        """Capacity of the failure domains that have reported."""
        return {
            domain: DomainCapacity({item.service: item.capacity_per_s for item in report}, at_s)
            for domain, (report, at_s) in self._domains.items()
        }

    def on_timer(self, now_s: float) -> list[Effect]:
        """Report once an interval."""
        if now_s - self._counted_from_s < self._settings.interval_s:
            return []
        report = self._own_report(now_s)
        route = self._route(now_s)
        if route.planner != self._own.vm:
            self._sums.clear()
            self._domains.clear()
        if route.holder != self._own.vm:
            self._vms.clear()
            return [Send(route.holder, VmDemand(pack_demands(report)))] if route.holder else []
        self._vms[self._own.vm] = (report, now_s)
        total = sum_demands(
            item for item, at_s in self._vms.values() if now_s - at_s <= self._settings.lifetime_s
        )
        if route.planner == self._own.vm:
            self._domains[self._own.failure_domain] = (total, now_s)
            # The last report of a silent domain counts on: its callers are still there.
            self._sums.append(sum_demands(item for item, _ in self._domains.values()))
            return []
        return [Send(route.planner, DomainDemand(pack_demands(total)))] if route.planner else []

    def on_message(self, message: Any, sender: VmIdentity, now_s: float) -> list[Effect]:
        """Take a report of another VM."""
        report = unpack_demands(message.content)
        is_own_domain = sender.failure_domain == self._own.failure_domain
        match message:
            case VmDemand() if is_own_domain and report is not None:
                self._vms[sender.vm] = (report, now_s)
            case DomainDemand() if not is_own_domain and report is not None:
                self._domains[sender.failure_domain] = (report, now_s)
        return []

    def _own_report(self, now_s: float) -> Report:
        elapsed_s = now_s - self._counted_from_s
        capacities = self._capacities(now_s)
        counts, self._counts, self._counted_from_s = self._counts, {}, now_s
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


def _scale(item: ServiceDemand) -> float:
    lookups_per_s = sum(item.demands.values())
    return max(1.0, item.requests_per_s / lookups_per_s) if lookups_per_s > 0 else 1.0
