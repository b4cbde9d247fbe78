"""Renders the configuration and the settings of a deployment of any size on loopback."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import frozen

if TYPE_CHECKING:
    from collections.abc import Iterator

HOST = "127.0.0.1"
PLATFORM_PORT = 24000
FRONT_PORT = 24001
PEER_PORT = 25001
TARGET_PORT = 26001
DOMAINS_PER_REGION = 2.5
SERVICES = ("listings", "bookings", "archive")
SLOTS = 3


@frozen
class Layout:
    """Numbers of failure domains, VMs per domain, targets per VM and client accounts."""

    domains: int
    vms_per_domain: int
    targets_per_vm: int = 4
    accounts: int = 8

    @property
    def vms(self) -> int:
        """Number of VMs."""
        return self.domains * self.vms_per_domain

    @property
    def regions(self) -> int:
        """Number of regions."""
        return max(1, round(self.domains / DOMAINS_PER_REGION))


@frozen
class PlannedVm:
    """Name, failure domain and ports of one VM of a layout."""

    name: str
    domain: str
    front_port: int
    peer_port: int


def planned_vms(layout: Layout) -> list[PlannedVm]:
    """Return all VMs, failure domain by failure domain."""
    return [
        PlannedVm(
            f"domain-{number // layout.vms_per_domain}-entry-{number % layout.vms_per_domain}",
            f"domain-{number // layout.vms_per_domain}",
            FRONT_PORT + number,
            PEER_PORT + number,
        )
        for number in range(layout.vms)
    ]


def render_configuration(layout: Layout) -> str:
    """Return the configuration in INI format."""
    return "\n".join([*_places(layout), *_services(layout), *_targets(layout), *_accounts(layout)])


def render_settings(vm: PlannedVm, log_path: str) -> str:
    """Return the settings of one VM's process in INI format."""
    return (
        f"[node]\nvm = {vm.name}\nfailure_domain = {vm.domain}\nhost = {HOST}\n"
        f"front_port = {vm.front_port}\npeer_port = {vm.peer_port}\n"
        f"[platform]\nhost = {HOST}\nport = {PLATFORM_PORT}\n"
        f"[peers]\nshared_secret = benchmark\n[log]\npath = {log_path}\n"
    )


def _places(layout: Layout) -> Iterator[str]:
    for region in range(layout.regions):
        yield f"[region region-{region}]"
    for domain in range(layout.domains):
        yield f"[failure-domain domain-{domain}]\nregion = region-{domain % layout.regions}"
    for first in range(layout.regions):
        for second in range(first + 1, layout.regions):
            yield (
                f"[link link-{first}-{second}]\nfrom_region = region-{first}\n"
                f"to_region = region-{second}\ncapacity_bits_per_s = 4e9\n"
                "one_way_latency_ms = 20"
            )
    for vm in planned_vms(layout):
        yield (
            f"[vm {vm.name}]\nfailure_domain = {vm.domain}\nhost = {HOST}\n"
            f"front_port = {vm.front_port}\npeer_port = {vm.peer_port}"
        )


def _services(layout: Layout) -> Iterator[str]:
    for service in SERVICES:
        yield f"[service {service}]\nservice_class = read"
        yield f"[route {service}]\nservice = {service}\npath_prefix = /{service}\nmethods = GET"
        for domain in range(layout.domains):
            yield (
                f"[target-group {service}-{domain}]\nservice = {service}\n"
                f"failure_domain = domain-{domain}"
            )


def _targets(layout: Layout) -> Iterator[str]:
    per_domain = layout.targets_per_vm * layout.vms_per_domain
    for number in range(layout.domains * per_domain):
        group = f"{SERVICES[number % len(SERVICES)]}-{number // per_domain}"
        yield (
            f"[target target-{number}]\ngroup = {group}\nhost = {HOST}\n"
            f"port = {TARGET_PORT + number}\nslots = {SLOTS}\nconnection_limit = 330"
        )


def _accounts(layout: Layout) -> Iterator[str]:
    for number in range(layout.accounts):
        domain = number % layout.domains
        yield (
            f"[client-account account-{number}]\nrate_per_s = 100\nburst_tokens = 200\n"
            f"home_domain = domain-{domain}"
        )
        yield (
            f"[key key-{number}]\nclient_account = account-{number}\nkey_hash_hex = {number:064x}"
        )
