"""Tables derived from one configuration version; replaced as a whole on activation."""

from __future__ import annotations

from attrs import frozen

from siskinward.state.identifiers import DomainName
from siskinward.state.identifiers import ServiceName
from siskinward.state.key_table import KeyTable
from siskinward.state.objects import Configuration
from siskinward.state.objects import Target
from siskinward.state.route_table import RouteTable


@frozen
class ServingState:
    """The active configuration, with the tables derived from it."""

    version: int
    configuration: Configuration
    keys: KeyTable
    routes: RouteTable
    domain_targets: dict[DomainName, dict[ServiceName, tuple[Target, ...]]]

    def targets_of(self, domain: DomainName, service: ServiceName) -> tuple[Target, ...]:
        """Return the targets of a service in a failure domain."""
        return self.domain_targets.get(domain, {}).get(service, ())


def create_serving_state(version: int, configuration: Configuration) -> ServingState:
    """Derive the tables of a configuration."""
    grouped: dict[DomainName, dict[ServiceName, tuple[Target, ...]]] = {}
    for target in configuration.targets.values():
        group = configuration.target_groups[target.group]
        services = grouped.setdefault(group.failure_domain, {})
        services[group.service] = (*services.get(group.service, ()), target)
    return ServingState(
        version=version,
        configuration=configuration,
        keys=KeyTable(configuration),
        routes=RouteTable(configuration),
        domain_targets=grouped,
    )
