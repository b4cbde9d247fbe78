"""Checks of the whole set of objects, beyond the values of single fields."""

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
class Fault:
    """A fault of one object within the whole set; ``object`` is ``kind name``."""

    object: str
    field: str
    value: str
    allowed: str


@frozen
class Declared:
    """What the sections declare, whether or not every object is valid."""

    names: dict[str, frozenset[str]]
    references: tuple[Reference, ...]
    faulty_collections: frozenset[str] = frozenset()

    def is_whole(self, *collections: str) -> bool:
        """Tell whether every declared object of the mappings is valid."""
        return self.faulty_collections.isdisjoint(collections)


@frozen
class _Entry:
    """A value that must be unique, and the object and field that hold it."""

    value: Hashable
    object: str
    field: str
    text: str


def find_faults(configuration: Configuration, declared: Declared) -> Iterator[Fault]:
    """Yield all faults of the set."""
    yield from _dangling_references(declared)
    yield from _duplicates(_addresses(configuration), "an address and port of its own")
    yield from _duplicates(_route_matches(configuration), "a prefix and method of its own")
    yield from _duplicates(_key_hashes(configuration), "a key of its own")
    yield from _duplicates(_client_prefixes(configuration), "a prefix of its own")
    yield from _duplicates(_pairs(configuration), "one object for the same pair")
    yield from _self_links(configuration)
    yield from _hedged_writes(configuration)
    yield from _unreachable_services(configuration, declared)
    yield from _domains_without_vm(configuration, declared)
    yield from _limits_without_targets(configuration, declared)
    yield from _emptied_services(configuration, declared)


def _dangling_references(declared: Declared) -> Iterator[Fault]:
    for reference in declared.references:
        if reference.value not in declared.names[reference.collection]:
            kind = KIND_BY_COLLECTION[reference.collection]
            allowed = f"the name of a declared {kind.name}"
            yield Fault(reference.object, reference.field, reference.value, allowed)


def _duplicates(entries: Iterable[_Entry], allowed: str) -> Iterator[Fault]:
    first: dict[Hashable, _Entry] = {}
    for entry in entries:
        other = first.setdefault(entry.value, entry)
        if other is not entry:
            text = f"{allowed}; [{other.object}] has the same"
            yield Fault(entry.object, entry.field, entry.text, text)


def _addresses(configuration: Configuration) -> Iterator[_Entry]:
    for vm in configuration.vms.values():
        for field, port in (("front_port", vm.front_port), ("peer_port", vm.peer_port)):
            yield _Entry((vm.host, port), f"vm {vm.name}", field, f"{vm.host}:{port}")
    for target in configuration.targets.values():
        text = f"{target.host}:{target.port}"
        yield _Entry((target.host, target.port), f"target {target.name}", "port", text)


def _route_matches(configuration: Configuration) -> Iterator[_Entry]:
    for route in configuration.routes.values():
        for method in route.methods:
            text = f"{method} {route.path_prefix}"
            yield _Entry(text, f"route {route.name}", "path_prefix", text)


def _key_hashes(configuration: Configuration) -> Iterator[_Entry]:
    for key in configuration.keys.values():
        yield _Entry(key.key_hash_hex, f"key {key.name}", "key_hash_hex", key.key_hash_hex)


def _client_prefixes(configuration: Configuration) -> Iterator[_Entry]:
    for block in configuration.client_blocks.values():
        yield _Entry(block.prefix, f"client-block {block.name}", "prefix", block.prefix)


def _pairs(configuration: Configuration) -> Iterator[_Entry]:
    for group in configuration.target_groups.values():
        text = f"{group.service} in {group.failure_domain}"
        yield _Entry(("group", text), f"target-group {group.name}", "failure_domain", text)
    for link in configuration.links.values():
        ends = frozenset((link.from_region, link.to_region))
        text = f"{link.from_region} to {link.to_region}"
        yield _Entry(("link", ends), f"link {link.name}", "to_region", text)
    for limit in configuration.region_limits.values():
        text = f"{limit.service} in {limit.region}"
        yield _Entry(("limit", text), f"region-limit {limit.name}", "service", text)
    for cap in configuration.shift_caps.values():
        yield _Entry(("cap", cap.service), f"shift-cap {cap.name}", "service", cap.service)


def _self_links(configuration: Configuration) -> Iterator[Fault]:
    for link in configuration.links.values():
        if link.from_region == link.to_region:
            yield Fault(f"link {link.name}", "to_region", link.to_region, "another region")


def _hedged_writes(configuration: Configuration) -> Iterator[Fault]:
    for route in configuration.routes.values():
        service = configuration.services.get(route.service)
        if service is not None and service.hedged and not route.idempotent:
            allowed = f"yes, since [service {service.name}] is hedged"
            yield Fault(f"route {route.name}", "idempotent", "no", allowed)


def _unreachable_services(configuration: Configuration, declared: Declared) -> Iterator[Fault]:
    routed = {route.service for route in configuration.routes.values()}
    filled = {target.group for target in configuration.targets.values()}
    grouped = {g.service for g in configuration.target_groups.values() if g.name in filled}
    for service in configuration.services.values():
        if service.name not in routed and declared.is_whole("routes"):
            yield Fault(f"service {service.name}", "", "", "at least one route to the service")
        if service.name not in grouped and declared.is_whole("target_groups", "targets"):
            allowed = "at least one target group of the service with a target"
            yield Fault(f"service {service.name}", "", "", allowed)


def _domains_without_vm(configuration: Configuration, declared: Declared) -> Iterator[Fault]:
    if not declared.is_whole("vms"):
        return
    served = {vm.failure_domain for vm in configuration.vms.values()}
    used = {group.failure_domain for group in configuration.target_groups.values()}
    used |= {site.failure_domain for site in configuration.sites.values()}
    for name in sorted(used - served):
        if name in configuration.failure_domains:
            yield Fault(f"failure-domain {name}", "", "", "at least one VM in the failure domain")


def _limits_without_targets(configuration: Configuration, declared: Declared) -> Iterator[Fault]:
    if not declared.is_whole("target_groups", "failure_domains"):
        return
    domains = configuration.failure_domains
    held = {
        (domains[group.failure_domain].region, group.service)
        for group in configuration.target_groups.values()
        if group.failure_domain in domains
    }
    for limit in configuration.region_limits.values():
        if (limit.region, limit.service) not in held:
            allowed = f"a service with a target group in region {limit.region}"
            yield Fault(f"region-limit {limit.name}", "service", limit.service, allowed)


def _emptied_services(configuration: Configuration, declared: Declared) -> Iterator[Fault]:
    """Yield services whose targets are all under drains, which last until they are cancelled."""
    if not declared.is_whole("target_groups", "targets", "failure_domains"):
        return
    drained = {(drain.kind, drain.subject) for drain in configuration.drains.values()}
    filled = set()
    kept = set()
    for target in configuration.targets.values():
        group = configuration.target_groups.get(target.group)
        domain = configuration.failure_domains.get(group.failure_domain) if group else None
        if group is None or domain is None:
            continue
        filled.add(group.service)
        places = {
            (DrainKind.TARGET, target.name),
            (DrainKind.FAILURE_DOMAIN, domain.name),
            (DrainKind.REGION, domain.region),
        }
        if drained.isdisjoint(places):
            kept.add(group.service)
    for service in sorted(filled - kept):
        allowed = "at least one target that no drain empties"
        yield Fault(f"service {service}", "", "", allowed)
