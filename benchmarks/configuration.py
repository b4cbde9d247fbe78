"""Measures parsing, rendering, comparing and updating a configuration of growing size.

Usage: ``python -m benchmarks.configuration [CLIENT_BLOCKS ...]``
"""

from __future__ import annotations

import configparser
import ipaddress
import resource
import sys
import time
from typing import TYPE_CHECKING
from typing import Any

import attrs

from siskinward.state.configuration import apply_delta
from siskinward.state.configuration import diff_configurations
from siskinward.state.configuration import parse_configuration
from siskinward.state.configuration import render_configuration
from siskinward.state.configuration import render_delta
from siskinward.state.identifiers import AccountName
from siskinward.state.identifiers import DomainName
from siskinward.state.identifiers import RegionName
from siskinward.state.identifiers import ServiceName
from siskinward.state.identifiers import TargetName
from siskinward.state.identifiers import VmName
from siskinward.state.key_table import hash_key
from siskinward.state.objects import ClientAccount
from siskinward.state.objects import ClientBlock
from siskinward.state.objects import Configuration
from siskinward.state.objects import FailureDomain
from siskinward.state.objects import Key
from siskinward.state.objects import Region
from siskinward.state.objects import Route
from siskinward.state.objects import Service
from siskinward.state.objects import ServiceClass
from siskinward.state.objects import Site
from siskinward.state.objects import Target
from siskinward.state.objects import TargetGroup
from siskinward.state.objects import Vm

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

REGIONS = 8
DOMAINS = 20
VMS = 590
SITES = 120
SERVICES = 3
TARGETS = 2360
ACCOUNTS = 100
KEYS = 200
DEFAULT_CLIENT_BLOCKS = (0, 10_000, 40_000)
BYTES_PER_KIB = 1024


def build_configuration(client_blocks: int) -> Configuration:
    """Return a configuration of the two-year size with the given number of client blocks."""
    domains = [DomainName(f"domain-{n}") for n in range(DOMAINS)]
    services = [ServiceName(f"service-{n}") for n in range(SERVICES)]
    groups = [TargetGroup(f"{s}-{d}", s, d) for s in services for d in domains]
    accounts = [AccountName(f"account-{n}") for n in range(ACCOUNTS)]
    return Configuration(
        regions=_named(Region(RegionName(f"region-{n}")) for n in range(REGIONS)),
        failure_domains=_named(
            FailureDomain(d, RegionName(f"region-{n % REGIONS}")) for n, d in enumerate(domains)
        ),
        vms=_named(
            Vm(VmName(f"vm-{n}"), domains[n % DOMAINS], _host(n), 7000, 7001) for n in range(VMS)
        ),
        services=_named(Service(s, ServiceClass.READ) for s in services),
        routes=_named(Route(s, s, f"/{s}", ("GET",)) for s in services),
        target_groups=_named(groups),
        targets=_named(
            Target(TargetName(f"t-{n}"), groups[n % len(groups)].name, _host(n), 7002, 3, 330)
            for n in range(TARGETS)
        ),
        client_accounts=_named(ClientAccount(a, 100.0, 200) for a in accounts),
        keys=_named(
            Key(f"key-{n}", accounts[n % ACCOUNTS], hash_key(f"key-{n}").hex()) for n in range(KEYS)
        ),
        sites=_named(Site(f"site-{n}", domains[n % DOMAINS]) for n in range(SITES)),
        client_blocks=_named(_client_block(n) for n in range(client_blocks)),
    )


def main() -> None:
    """Print times, ratio to a bare INI parse, and peak memory for each size."""
    sizes = [int(argument) for argument in sys.argv[1:]] or DEFAULT_CLIENT_BLOCKS
    print("blocks  objects   bytes  bare_s  parse_s  ratio  render_s  diff_s  delta_s  peak_mib")
    for size in sizes:
        _measure(size)


def _measure(client_blocks: int) -> None:
    configuration = build_configuration(client_blocks)
    objects = sum(len(items) for items in attrs.asdict(configuration, recurse=False).values())
    text, render_s = _timed(lambda: render_configuration(configuration))
    _, bare_s = _timed(lambda: configparser.RawConfigParser().read_string(text))
    parsed, parse_s = _timed(lambda: parse_configuration(text, "benchmark").ok)
    assert parsed == configuration
    changed = _withdraw_one_key(parsed)
    changes, diff_s = _timed(lambda: diff_configurations(parsed, changed))
    delta = render_delta(changes)
    applied, delta_s = _timed(lambda: apply_delta(parsed, delta, "benchmark").ok)
    assert applied == changed
    peak_mib = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / BYTES_PER_KIB
    print(
        f"{client_blocks:6} {objects:8} {len(text):7} {bare_s:7.3f} {parse_s:8.3f} "
        f"{parse_s / bare_s:6.2f} {render_s:9.3f} {diff_s:7.3f} {delta_s:8.5f} {peak_mib:9.1f}"
    )


def _withdraw_one_key(configuration: Configuration) -> Configuration:
    keys = dict(configuration.keys)
    keys.popitem()
    return attrs.evolve(configuration, keys=keys)


def _timed(call: Callable[[], Any]) -> tuple[Any, float]:
    started_s = time.perf_counter()
    value = call()
    return value, time.perf_counter() - started_s


def _named(items: Iterable[Any]) -> dict[Any, Any]:
    return {item.name: item for item in items}


def _host(number: int) -> str:
    return str(ipaddress.IPv4Address(0x0A000000 + number))


def _client_block(number: int) -> ClientBlock:
    prefix = f"{ipaddress.IPv4Address(0x20000000 + (number << 8))}/24"
    return ClientBlock(f"block-{number}", prefix, f"site-{number % SITES}", 1.0)


if __name__ == "__main__":
    main()
