"""Checks of a configuration as a whole, beyond the values of single fields."""

from __future__ import annotations

from collections.abc import Hashable
from typing import TYPE_CHECKING

from attrs import frozen

from siskinward.state.configuration._kinds import KIND_BY_COLLECTION
from siskinward.state.configuration._references import Reference
from siskinward.state.objects import DrainKind

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Iterator

    from siskinward.state.objects import Configuration


@frozen
class Violation:
    """A rule between objects that one object violates; ``object`` is ``kind name``."""

    object: str
    field: str
    value: str
    allowed: str


@frozen
class Declarations:
    """Names and references that the sections declare, including those of invalid objects."""

    names: dict[str, frozenset[str]]
    references: tuple[Reference, ...]
    invalid_collections: frozenset[str] = frozenset()

    def are_valid(self, *collections: str) -> bool:
        """Return whether every declared object of the mappings is valid."""
        return self.invalid_collections.isdisjoint(collections)


@frozen
class _UniqueValue:
    """A value that must be unique, and the object and field that hold it."""

    value: Hashable
    object: str
    field: str
    text: str


def find_violations(configuration: Configuration, declared: Declarations) -> Iterator[Violation]:
    """Yield all violations of rules between objects."""
    yield from _dangling_references(declared)
    yield from _duplicates(_addresses(configuration), "a unique address and port")
    yield from _duplicates(_route_matches(configuration), "a unique prefix and method")
    yield from _duplicates(_key_hashes(configuration), "a unique key")
    yield from _duplicates(_client_prefixes(configuration), "a unique prefix")
    yield from _duplicates(_unique_pairs(configuration), "one object for the same pair")
    yield from _self_links(configuration)
    yield from _hedged_non_idempotent_routes(configuration)
    yield from _unreachable_services(configuration, declared)
    yield from _domains_without_vm(configuration, declared)
    yield from _limits_without_targets(configuration, declared)
    yield from _fully_drained_services(configuration, declared)


def _dangling_references(declared: Declarations) -> Iterator[Violation]:
    for reference in declared.references:
        if reference.value not in declared.names[reference.collection]:
            kind = KIND_BY_COLLECTION[reference.collection]
            allowed = f"the name of a declared {kind.name}"
            yield Violation(reference.object, reference.field, reference.value, allowed)


def _duplicates(entries: Iterable[_UniqueValue], allowed: str) -> Iterator[Violation]:
    first: dict[Hashable, _UniqueValue] = {}
    for entry in entries:
        other = first.setdefault(entry.value, entry)
        if other is not entry:
            text = f"{allowed}; [{other.object}] has the same value"
            yield Violation(entry.object, entry.field, entry.text, text)


def _addresses(configuration: Configuration) -> Iterator[_UniqueValue]:
    for vm in configuration.vms.values():
        for field, port in (("front_port", vm.front_port), ("peer_port", vm.peer_port)):
            yield _UniqueValue((vm.host, port), f"vm {vm.name}", field, f"{vm.host}:{port}")
    for target in configuration.targets.values():
        text = f"{target.host}:{target.port}"
        yield _UniqueValue((target.host, target.port), f"target {target.name}", "port", text)


def _route_matches(configuration: Configuration) -> Iterator[_UniqueValue]:
    for route in configuration.routes.values():
        for method in route.methods:
            text = f"{method} {route.path_prefix}"
            yield _UniqueValue(text, f"route {route.name}", "path_prefix", text)


def _key_hashes(configuration: Configuration) -> Iterator[_UniqueValue]:
    for key in configuration.keys.values():
        yield _UniqueValue(key.key_hash_hex, f"key {key.name}", "key_hash_hex", key.key_hash_hex)


def _client_prefixes(configuration: Configuration) -> Iterator[_UniqueValue]:
    for block in configuration.client_blocks.values():
        yield _UniqueValue(block.prefix, f"client-block {block.name}", "prefix", block.prefix)


def _unique_pairs(configuration: Configuration) -> Iterator[_UniqueValue]:
    for group in configuration.target_groups.values():
        text = f"{group.service} in {group.failure_domain}"
        yield _UniqueValue(("group", text), f"target-group {group.name}", "failure_domain", text)
    for link in configuration.links.values():
        ends = frozenset((link.from_region, link.to_region))
        text = f"{link.from_region} to {link.to_region}"
        yield _UniqueValue(("link", ends), f"link {link.name}", "to_region", text)
    for limit in configuration.region_limits.values():
        text = f"{limit.service} in {limit.region}"
        yield _UniqueValue(("limit", text), f"region-limit {limit.name}", "service", text)
    for cap in configuration.shift_caps.values():
        yield _UniqueValue(("cap", cap.service), f"shift-cap {cap.name}", "service", cap.service)


def _self_links(configuration: Configuration) -> Iterator[Violation]:
    for link in configuration.links.values():
        if link.from_region == link.to_region:
            yield Violation(f"link {link.name}", "to_region", link.to_region, "another region")


def _hedged_non_idempotent_routes(configuration: Configuration) -> Iterator[Violation]:
    for route in configuration.routes.values():
        service = configuration.services.get(route.service)
        if service is not None and service.hedged and not route.idempotent:
            allowed = f"yes, since [service {service.name}] is hedged"
            yield Violation(f"route {route.name}", "idempotent", "no", allowed)


def _unreachable_services(
    configuration: Configuration, declared: Declarations
) -> Iterator[Violation]:
    routed_services = {route.service for route in configuration.routes.values()}
    nonempty_groups = {target.group for target in configuration.targets.values()}
    services_with_targets = {
        g.service for g in configuration.target_groups.values() if g.name in nonempty_groups
    }
    for service in configuration.services.values():
        if service.name not in routed_services and declared.are_valid("routes"):
            yield Violation(f"service {service.name}", "", "", "at least one route to the service")
        if service.name not in services_with_targets and declared.are_valid(
            "target_groups", "targets"
        ):
            allowed = "at least one target group of the service with a target"
            yield Violation(f"service {service.name}", "", "", allowed)


def _domains_without_vm(
    configuration: Configuration, declared: Declarations
) -> Iterator[Violation]:
    if not declared.are_valid("vms"):
        return
    domains_with_vms = {vm.failure_domain for vm in configuration.vms.values()}
    used_domains = {group.failure_domain for group in configuration.target_groups.values()}
    used_domains |= {site.failure_domain for site in configuration.sites.values()}
    for name in sorted(used_domains - domains_with_vms):
        if name in configuration.failure_domains:
            yield Violation(
                f"failure-domain {name}", "", "", "at least one VM in the failure domain"
            )


def _limits_without_targets(
    configuration: Configuration, declared: Declarations
) -> Iterator[Violation]:
    if not declared.are_valid("target_groups", "failure_domains"):
        return
    domains = configuration.failure_domains
    declared_pairs = {
        (domains[group.failure_domain].region, group.service)
        for group in configuration.target_groups.values()
        if group.failure_domain in domains
    }
    for limit in configuration.region_limits.values():
        if (limit.region, limit.service) not in declared_pairs:
            allowed = f"a service with a target group in region {limit.region}"
            yield Violation(f"region-limit {limit.name}", "service", limit.service, allowed)


def _fully_drained_services(
    configuration: Configuration, declared: Declarations
) -> Iterator[Violation]:
    """Yield services whose targets are all under drains; a drain lasts until it is cancelled."""
    if not declared.are_valid("target_groups", "targets", "failure_domains"):
        return
    drained_scopes = {(drain.kind, drain.subject) for drain in configuration.drains.values()}
    services_with_targets = set()
    undrained_services = set()
    for target in configuration.targets.values():
        group = configuration.target_groups.get(target.group)
        domain = configuration.failure_domains.get(group.failure_domain) if group else None
        if group is None or domain is None:
            continue
        services_with_targets.add(group.service)
        scopes = {
            (DrainKind.TARGET, target.name),
            (DrainKind.FAILURE_DOMAIN, domain.name),
            (DrainKind.REGION, domain.region),
        }
        if drained_scopes.isdisjoint(scopes):
            undrained_services.add(group.service)
    for service in sorted(services_with_targets - undrained_services):
        allowed = "at least one target that no drain empties"
        yield Violation(f"service {service}", "", "", allowed)
