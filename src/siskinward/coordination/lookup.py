"""Lookup of the VMs that a caller should use for a service."""

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
    """``ttl_s`` is how long callers may cache an answer, ``vm_limit`` how many VMs it lists."""

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
    """VMs from best to worst, and the versions of the data that the answer is based on."""

    service: ServiceName
    vms: tuple[VmEndpoint, ...]
    ttl_s: float
    map_version: int
    assignment_version: int
    cell: Cell | None = None


class LookupTable:
    """Answer lookups from memory, starting with the assigned domain of the caller's cell.

    Its backup domains, the domain of the site and the others by latency follow. Callers of one
    cell start with the same VM; the cells are spread over the VMs of a domain.
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
        """Set the configuration."""
        self._configuration = configuration
        self._orders = {
            name: self._by_latency(configuration, name) for name in configuration.failure_domains
        }
        self._answers.clear()

    def set_client_map(self, client_map: ClientMap) -> None:
        """Set the client map."""
        self._client_map = client_map
        self._answers.clear()

    def set_assignment(self, assignment: Assignment) -> None:
        """Set the assignment of a service; versions that are not newer are ignored."""
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
        """Set the live VMs of each domain; leaving VMs are no longer listed."""
        leaving_names = set(leaving)
        self._live = {
            domain: tuple(vm for vm in vms if vm.name not in leaving_names)
            for domain, vms in live.items()
        }
        self._answers.clear()

    def set_drains(self, draining: frozenset[DomainName], closed: frozenset[DomainName]) -> None:
        """Set the failure domains that are draining and those that are closed.

        A draining domain is listed only for the cells still assigned to it. A closed one is not
        listed while another domain has live VMs.
        """
        if (draining, closed) == (self._draining, self._closed):
            return
        self._draining = draining
        self._closed = closed
        self._answers.clear()

    def answer(self, address: str, service: ServiceName) -> LookupAnswer:
        """Return the VMs that a caller at ``address`` should use for ``service``."""
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
        """Filter out closed and draining domains, except a draining one that is a cell's first.

        If none of the remaining domains has live VMs, return all.
        """
        exempt = domains[:1] if location is not None else ()
        remaining = tuple(
            name
            for name in domains
            if name not in self._closed and (name in exempt or name not in self._draining)
        )
        return remaining if any(self._live.get(name) for name in remaining) else domains

    def _domains(
        self, assignment: Assignment | None, location: ClientLocation | None
    ) -> tuple[DomainName, ...]:
        """Return the assigned domain, its backups, the site's domain, then others by latency."""
        preferred: list[DomainName | None] = []
        if location is not None:
            cell = Cell(location.site, location.bucket)
            route = None if assignment is None else assignment.routes.get(cell)
            if route is not None:
                preferred = [route.domain, route.domain_backup, route.region_backup]
            site = self._configuration.sites.get(location.site)
            if site is not None:
                preferred.append(site.failure_domain)
        known = [name for name in preferred if name is not None and name in self._orders]
        nearest = known[0] if known else self._own.failure_domain
        return tuple(dict.fromkeys([*known, *self._orders[nearest]]))

    @staticmethod
    def _by_latency(configuration: Configuration, home: DomainName) -> tuple[DomainName, ...]:
        latencies_s = domain_latencies_s(configuration, home)
        return tuple(sorted(latencies_s, key=lambda name: (latencies_s[name], name)))
