"""Answers callers that ask which VMs to use."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import frozen

from siskinward.coordination.planner import Cell
from siskinward.coordination.topology import domain_latencies_s
from siskinward.state.identifiers import ServiceName
from siskinward.state.identifiers import VmName

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping

    from siskinward.coordination.events import VmIdentity
    from siskinward.coordination.planner import Assignment
    from siskinward.state.client_map import ClientLocation
    from siskinward.state.client_map import ClientMap
    from siskinward.state.identifiers import DomainName
    from siskinward.state.objects import Configuration


@frozen
class LookupSettings:
    """``ttl_s`` is how long callers may keep an answer, ``vm_limit`` how many VMs it names."""

    ttl_s: float = 10.0
    vm_limit: int = 6


@frozen
class VmEndpoint:
    """A VM that callers may use."""

    name: VmName
    host: str
    port: int


@frozen
class LookupAnswer:
    """VMs from best to worst, and the versions that the answer rests on."""

    service: ServiceName
    vms: tuple[VmEndpoint, ...]
    ttl_s: float
    map_version: int
    assignment_version: int
    cell: Cell | None = None


class LookupTable:
    """Answers from memory: the client's cell, its assigned domain, then its reserved ones.

    Callers of one cell start with the same VM; cells spread over the VMs of a domain.
    """

    def __init__(
        self, settings: LookupSettings, own: VmIdentity, configuration: Configuration
    ) -> None:
        self._settings = settings
        self._own = own
        self._client_map: ClientMap | None = None
        self._assignments: dict[ServiceName, Assignment] = {}
        self._live: dict[DomainName, tuple[VmEndpoint, ...]] = {}
        self._draining: frozenset[DomainName] = frozenset()
        self._closed: frozenset[DomainName] = frozenset()
        self._answers: dict[tuple[ServiceName, ClientLocation | None], LookupAnswer] = {}
        self.set_configuration(configuration)

    def set_configuration(self, configuration: Configuration) -> None:
        """Take in a new configuration."""
        self._configuration = configuration
        self._orders = {
            name: self._by_latency(configuration, name) for name in configuration.failure_domains
        }
        self._answers.clear()

    def set_client_map(self, client_map: ClientMap) -> None:
        """Take in a new version of the client map."""
        self._client_map = client_map
        self._answers.clear()

    def set_assignment(self, assignment: Assignment) -> None:
        """Take in a new assignment of a service; older versions are ignored."""
        known = self._assignments.get(assignment.service)
        if known is not None and assignment.version <= known.version:
            return
        self._assignments[assignment.service] = assignment
        self._answers.clear()

    def set_live_vms(
        self,
        live: Mapping[DomainName, Iterable[VmEndpoint]],
        leaving: Iterable[VmName],
    ) -> None:
        """Set the live VMs of each domain; leaving ones are named no more."""
        gone = set(leaving)
        self._live = {
            domain: tuple(vm for vm in vms if vm.name not in gone) for domain, vms in live.items()
        }
        self._answers.clear()

    def set_drains(self, draining: frozenset[DomainName], closed: frozenset[DomainName]) -> None:
        """Set the failure domains that are being drained, and those that are done with.

        A draining domain is named only to cells that are still there, a closed one to nobody as
        long as another domain has live VMs.
        """
        if (draining, closed) == (self._draining, self._closed):
            return
        self._draining = draining
        self._closed = closed
        self._answers.clear()

    def answer(self, address: str, service: ServiceName) -> LookupAnswer:
        """The VMs that a caller at ``address`` should use for ``service``."""
        location = None if self._client_map is None else self._client_map.locate(address)
        known = self._answers.get((service, location))
        if known is None:
            known = self._answers[(service, location)] = self._make_answer(service, location)
        return known

    def _make_answer(self, service: ServiceName, location: ClientLocation | None) -> LookupAnswer:
        assignment = self._assignments.get(service)
        vms: list[VmEndpoint] = []
        offset = 0 if location is None else location.bucket
        for domain in self._open_domains(self._domains(assignment, location), location):
            live = self._live.get(domain, ())
            start = offset % len(live) if live else 0
            vms.extend(live[start:] + live[:start])
        return LookupAnswer(
            service=service,
            vms=tuple(vms[: self._settings.vm_limit]),
            ttl_s=self._settings.ttl_s,
            map_version=0 if self._client_map is None else self._client_map.version,
            assignment_version=0 if assignment is None else assignment.version,
            cell=None if location is None else Cell(location.site, location.bucket),
        )

    def _open_domains(
        self, domains: tuple[DomainName, ...], location: ClientLocation | None
    ) -> tuple[DomainName, ...]:
        """Leave out drained domains: all for callers without a cell, else all but the first."""
        kept = domains[:1] if location is not None else ()
        found = tuple(
            name
            for name in domains
            if name not in self._closed and (name in kept or name not in self._draining)
        )
        return found if any(self._live.get(name) for name in found) else domains

    def _domains(
        self, assignment: Assignment | None, location: ClientLocation | None
    ) -> tuple[DomainName, ...]:
        """Assigned domain, reserved domains, then the others from near to far."""
        first: list[DomainName | None] = []
        if location is not None:
            cell = Cell(location.site, location.bucket)
            route = None if assignment is None else assignment.routes.get(cell)
            if route is not None:
                first = [route.domain, route.domain_backup, route.region_backup]
            site = self._configuration.sites.get(location.site)
            if site is not None:
                first.append(site.failure_domain)
        known = [name for name in first if name is not None and name in self._orders]
        nearest = known[0] if known else self._own.failure_domain
        return tuple(dict.fromkeys([*known, *self._orders[nearest]]))

    @staticmethod
    def _by_latency(configuration: Configuration, home: DomainName) -> tuple[DomainName, ...]:
        latencies_s = domain_latencies_s(configuration, home)
        return tuple(sorted(latencies_s, key=lambda name: (latencies_s[name], name)))
