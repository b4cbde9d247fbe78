"""Answers callers that ask which VM to use, from memory."""

from __future__ import annotations

import ipaddress
from typing import TYPE_CHECKING

import curio
from attrs import frozen

from siskinward.state.identifiers import ServiceName

if TYPE_CHECKING:
    from collections.abc import Callable

    from siskinward.daemon.metrics import NodeMetrics
    from siskinward.daemon.serving_state import ServingState
    from siskinward.state.identifiers import DomainName
    from siskinward.state.objects import Vm

TICKETS_LIMIT = 64
VMS_LIMIT = 4
LEAVING_TTL_S = 1.0


@frozen
class LookupAnswer:
    """An HTTP status and the JSON content of a look-up's answer."""

    status: int
    content: dict[str, object]


class LookupService:
    """Orders live VMs for a client's address: those of its site's failure domain first."""

    def __init__(
        self,
        current_state: Callable[[], ServingState | None],
        live_vms: Callable[[float], list[Vm]],
        mint_tickets: Callable[[int, float], list[str]],
        closed_domains: Callable[[], frozenset[DomainName]],
        ttl_s: float,
        metrics: NodeMetrics,
    ) -> None:
        self._current_state = current_state
        self._live_vms = live_vms
        self._mint_tickets = mint_tickets
        self._closed_domains = closed_domains
        self._ttl_s = ttl_s
        self._metrics = metrics

    async def answer(self, query: dict[str, list[str]], peer: str) -> LookupAnswer:
        """Answer ``service``, ``client`` (default: the caller's address) and ``tickets``."""
        self._metrics.lookups.inc()
        state = self._current_state()
        if state is None:
            return _refusal(503, "no-configuration")
        service = ServiceName(query.get("service", [""])[0])
        if service not in state.configuration.services:
            return _refusal(404, "no-route")
        try:
            address = ipaddress.ip_address(query.get("client", [peer])[0])
            ticket_count = min(int(query.get("tickets", ["0"])[0]), TICKETS_LIMIT)
        except ValueError:
            return _refusal(400, "malformed")
        domain = _domain_of(state, address)
        now_s = await curio.clock()
        closed = self._closed_domains()
        vms = sorted(
            self._live_vms(now_s),
            key=lambda vm: (vm.failure_domain in closed, _distance(state, vm, domain)),
        )
        content: dict[str, object] = {
            "vms": [_vm_content(vm) for vm in vms[:VMS_LIMIT]],
            "ttl_s": self._ttl_s,
            "tickets": self._mint_tickets(ticket_count, now_s),
            "version": state.version,
        }
        return LookupAnswer(200, content)


def _refusal(status: int, reason: str) -> LookupAnswer:
    return LookupAnswer(status, {"refused": reason, "outcome": "not-run"})


def _domain_of(
    state: ServingState, address: ipaddress.IPv4Address | ipaddress.IPv6Address
) -> DomainName | None:
    for block in state.configuration.client_blocks.values():
        if address in ipaddress.ip_network(block.prefix):
            return state.configuration.sites[block.site].failure_domain
    return None


def _distance(state: ServingState, vm: Vm, domain: DomainName | None) -> int:
    if domain is None or vm.failure_domain == domain:
        return 0
    domains = state.configuration.failure_domains
    return 1 if domains[vm.failure_domain].region == domains[domain].region else 2


def _vm_content(vm: Vm) -> dict[str, object]:
    return {"vm": vm.name, "host": vm.host, "port": vm.front_port}
