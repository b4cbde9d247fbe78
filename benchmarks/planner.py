"""Measures planning time and drain time of the shift planner, and the time of a look-up.

Run with ``python benchmarks/planner.py``. The baseline moves a whole failure domain at once.
"""

from __future__ import annotations

import time
from math import ceil
from random import Random

from siskinward.coordination.events import VmIdentity
from siskinward.coordination.lookup import LookupSettings
from siskinward.coordination.lookup import LookupTable
from siskinward.coordination.lookup import VmEndpoint
from siskinward.coordination.planner import Assignment
from siskinward.coordination.planner import Cell
from siskinward.coordination.planner import PlannerSettings
from siskinward.coordination.planner import ShiftPlanner
from siskinward.coordination.planner import ShiftStep
from siskinward.state.client_map import BUCKET_COUNT
from siskinward.state.client_map import BlockSite
from siskinward.state.client_map import ClientMap
from siskinward.state.identifiers import DomainName
from siskinward.state.identifiers import IncarnationId
from siskinward.state.identifiers import RegionName
from siskinward.state.identifiers import ServiceName
from siskinward.state.identifiers import VmName
from siskinward.state.objects import Configuration
from siskinward.state.objects import Drain
from siskinward.state.objects import DrainKind
from siskinward.state.objects import FailureDomain
from siskinward.state.objects import Link
from siskinward.state.objects import RegionLimit
from siskinward.state.objects import ShiftCap
from siskinward.state.objects import Site

SERVICE = ServiceName("listings")
SHARE_LIMIT = 0.1
INTERVAL_S = 60.0
STEP_S = 5.0
UTILISATION = 0.5
DOMAIN_CAPACITY_PER_S = 1000.0
LOOKUPS = 20_000
LOOKUP_BLOCKS = 50_000
VMS_PER_DOMAIN = 30
# Regions, failure domains and sites: at present, and at the two-year size.
SIZES = ((3, 6, 6), (8, 20, 120))


def make_configuration(regions: int, domains: int, sites: int) -> Configuration:
    """Return domains and sites assigned round robin, with a link between any two regions."""
    region_names = [RegionName(f"region-{number}") for number in range(regions)]
    domain_names = [DomainName(f"domain-{number}") for number in range(domains)]
    region_of = {name: region_names[i % regions] for i, name in enumerate(domain_names)}
    counts = {name: list(region_of.values()).count(name) for name in region_names}
    return Configuration(
        failure_domains={name: FailureDomain(name, region_of[name]) for name in domain_names},
        sites={f"site-{i}": Site(f"site-{i}", domain_names[i % domains]) for i in range(sites)},
        links={
            f"{one}-{two}": Link(f"{one}-{two}", one, two, 4e9, 12.0)
            for one in region_names
            for two in region_names
            if one < two
        },
        region_limits={
            name: RegionLimit(name, name, SERVICE, counts[name] * DOMAIN_CAPACITY_PER_S)
            for name in region_names
        },
        shift_caps={"cap": ShiftCap("cap", SERVICE, SHARE_LIMIT, INTERVAL_S)},
    )


def measure_drain(configuration: Configuration, kind: DrainKind, subject: str) -> None:
    """Drain ``subject`` and print the time it took, its estimate and its bound."""
    random = Random(1)
    demands = make_demands(configuration, random)
    settings = PlannerSettings()
    planner = ShiftPlanner(settings, SERVICE, configuration, Assignment(SERVICE, 0), 0.0)
    plan_ms = []
    largest_step = now_s = 0.0
    while True:
        planner.on_demand(demands, now_s)
        for domain in configuration.failure_domains:
            planner.on_capacity(domain, DOMAIN_CAPACITY_PER_S, now_s)
        start = time.perf_counter()
        step = planner.step(now_s)
        plan_ms.append((time.perf_counter() - start) * 1000)
        assert isinstance(step, ShiftStep)
        moved = sum(move.demand_per_s for move in step.moves)
        largest_step = max(largest_step, moved / sum(demands.values()))
        if now_s == 0.0:
            planner.on_drains([Drain("drain", kind, subject)])
            remaining_per_s = planner.progress(now_s)[0].remaining_per_s
        elif now_s == STEP_S:
            estimate_s = now_s + planner.progress(now_s)[0].finish_in_s
        elif planner.progress(now_s)[0].is_finished or now_s > 3600:
            break
        now_s += STEP_S
    window_s = INTERVAL_S + settings.answer_ttl_s + settings.publish_s
    share = remaining_per_s / sum(demands.values())
    bound_s = (ceil(share / SHARE_LIMIT) - 1) * window_s + window_s - INTERVAL_S
    plan_ms.sort()
    print(
        f"{len(configuration.failure_domains)} {kind.value} {share:.3f} {now_s:.0f}"
        f" {estimate_s:.0f} {bound_s:.0f} {largest_step:.3f} {share / SHARE_LIMIT:.2f}"
        f" {plan_ms[len(plan_ms) // 2]:.1f}"
    )


def make_demands(configuration: Configuration, random: Random) -> dict[Cell, float]:
    """Return uneven demand of all cells that adds up to ``UTILISATION`` of the total capacity."""
    raw = {
        Cell(site, bucket): 0.5 + random.random()
        for site in configuration.sites
        for bucket in range(BUCKET_COUNT)
    }
    total = UTILISATION * DOMAIN_CAPACITY_PER_S * len(configuration.failure_domains)
    scale = total / sum(raw.values())
    return {cell: demand * scale for cell, demand in raw.items()}


def measure_lookups(configuration: Configuration) -> None:
    """Print the time of a look-up, with an empty and with a filled answer cache."""
    random = Random(2)
    sites = sorted(configuration.sites)
    blocks = [
        BlockSite(f"{i >> 16 & 255}.{i >> 8 & 255}.{i & 255}.0/24", random.choice(sites))
        for i in random.sample(range(1 << 24), LOOKUP_BLOCKS)
    ]
    own_domain = next(iter(configuration.failure_domains))
    own = VmIdentity(VmName("vm"), own_domain, IncarnationId("a"))
    table = LookupTable(LookupSettings(), own, configuration)
    table.set_live_vms(
        {
            domain: [
                VmEndpoint(VmName(f"{domain}-{n}"), "192.0.2.1", 80) for n in range(VMS_PER_DOMAIN)
            ]
            for domain in configuration.failure_domains
        },
        leaving=[],
    )
    table.set_client_map(ClientMap.from_blocks(1, blocks).ok)
    addresses = [block.prefix.replace(".0/24", ".7") for block in random.choices(blocks, k=LOOKUPS)]
    for label in ("first", "kept"):
        start = time.perf_counter()
        for address in addresses:
            table.answer(address, SERVICE)
        mean_us = (time.perf_counter() - start) / LOOKUPS * 1e6
        print(f"lookup_us {label} {mean_us:.2f}")


def main() -> None:
    """Print one line for each drain, then the time of a look-up at the target size."""
    print("domains drain share took_s estimate_s bound_s step_share at_once/cap plan_ms")
    for regions, domains, sites in SIZES:
        configuration = make_configuration(regions, domains, sites)
        measure_drain(configuration, DrainKind.FAILURE_DOMAIN, "domain-0")
        measure_drain(configuration, DrainKind.REGION, "region-0")
    measure_lookups(make_configuration(*SIZES[-1]))


if __name__ == "__main__":
    main()
