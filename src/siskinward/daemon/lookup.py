"""Serves look-ups of the VMs that a caller should use, from memory."""

from __future__ import annotations

import ipaddress
from collections import defaultdict
from typing import TYPE_CHECKING

from attrs import frozen

from siskinward.coordination.lookup import LookupSettings
from siskinward.coordination.lookup import LookupTable
from siskinward.coordination.lookup import VmEndpoint
from siskinward.state.client_map import BlockSite
from siskinward.state.client_map import ClientMap
from siskinward.state.identifiers import ServiceName
from siskinward.transport.clock import read_clock_s

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from siskinward.coordination.events import VmIdentity
    from siskinward.coordination.planner import Assignment
    from siskinward.coordination.planner import Cell
    from siskinward.daemon.metrics import NodeMetrics
    from siskinward.daemon.serving_state import ServingState
    from siskinward.state.identifiers import DomainName
    from siskinward.state.objects import ClientBlock
    from siskinward.state.objects import Vm

TICKETS_LIMIT = 64


@frozen
class LookupAnswer:
    """HTTP status and JSON content of the response to a look-up."""

    status: int
    content: dict[str, object]


class LookupService:
    """Keeps the look-up table current and answers from it, without a call to another process."""

    def __init__(
        self,
        own: VmIdentity,
        settings: LookupSettings,
        issue_tickets: Callable[[int, float], list[str]],
        metrics: NodeMetrics,
        on_lookup: Callable[[ServiceName, Cell], None],
    ) -> None:
        self._own = own
        self._settings = settings
        self._issue_tickets = issue_tickets
        self._metrics = metrics
        self._on_lookup = on_lookup
        self._assignments: dict[ServiceName, Assignment] = {}
        self._state: ServingState | None = None
        self._table: LookupTable | None = None
        self._blocks: dict[str, ClientBlock] = {}
        self._client_map: ClientMap | None = None
        self._has_published_map = False

    def on_configuration(self, state: ServingState) -> None:
        """Apply a configuration; rebuild its client map only if the client blocks changed."""
        self._state = state
        if self._table is None:
            self._table = LookupTable(self._settings, self._own, state.configuration)
            for assignment in self._assignments.values():
                self._table.set_assignment(assignment)
            if self._client_map is not None:
                self._table.set_client_map(self._client_map)
        else:
            self._table.set_configuration(state.configuration)
        blocks = state.configuration.client_blocks
        if blocks != self._blocks and not self._has_published_map:
            self._blocks = blocks
            pairs = [BlockSite(block.prefix, block.site) for block in blocks.values()]
            built = ClientMap.from_blocks(state.version, pairs)
            if built.is_ok():
                self._table.set_client_map(built.ok)

    def on_client_map(self, client_map: ClientMap) -> None:
        """Apply a published client map; from then on the configuration's blocks are ignored."""
        self._has_published_map = True
        self._client_map = client_map
        if self._table is not None:
            self._table.set_client_map(client_map)

    def on_assignment(self, assignment: Assignment) -> None:
        """Apply a newer assignment of a service's cells."""
        self._assignments[assignment.service] = assignment
        if self._table is not None:
            self._table.set_assignment(assignment)

    def on_drains(self, draining: frozenset[DomainName], closed: frozenset[DomainName]) -> None:
        """Update the failure domains that are draining, and those whose drain is complete."""
        if self._table is not None:
            self._table.set_drains(draining, closed)

    def on_live_vms(self, live: Iterable[Vm]) -> None:
        """Update the live VMs that answers may name."""
        if self._table is None:
            return
        by_domain: dict[DomainName, list[VmEndpoint]] = defaultdict(list)
        for vm in live:
            by_domain[vm.failure_domain].append(VmEndpoint(vm.name, vm.host, vm.front_port))
        self._table.set_live_vms(by_domain, ())

    async def answer(self, query: dict[str, list[str]], peer: str) -> LookupAnswer:
        """Answer a query for ``service``, ``client`` (default: the caller's IP) and ``tickets``."""
        self._metrics.lookups.inc()
        if self._state is None or self._table is None:
            return _refusal(503, "no-configuration")
        service = ServiceName(query.get("service", [""])[0])
        if service not in self._state.configuration.services:
            return _refusal(404, "no-route")
        try:
            address = str(ipaddress.ip_address(query.get("client", [peer])[0]))
            ticket_count = min(max(int(query.get("tickets", ["0"])[0]), 0), TICKETS_LIMIT)
        except ValueError:
            return _refusal(400, "malformed")
        found = self._table.answer(address, service)
        if found.cell is not None:
            self._on_lookup(service, found.cell)
        content: dict[str, object] = {
            "vms": [{"vm": vm.name, "host": vm.host, "port": vm.port} for vm in found.vms],
            "ttl_s": found.ttl_s,
            "tickets": self._issue_tickets(ticket_count, read_clock_s()),
            "version": self._state.version,
        }
        return LookupAnswer(200, content)


def _refusal(status: int, reason: str) -> LookupAnswer:
    return LookupAnswer(status, {"refused": reason, "outcome": "not-run"})
