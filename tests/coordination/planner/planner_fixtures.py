"""Configuration for planner tests: three regions, two domains each, one site per domain."""

from __future__ import annotations

from siskinward.coordination.planner import Cell
from siskinward.state.identifiers import DomainName
from siskinward.state.identifiers import RegionName
from siskinward.state.identifiers import ServiceName
from siskinward.state.objects import Configuration
from siskinward.state.objects import FailureDomain
from siskinward.state.objects import Link
from siskinward.state.objects import RegionLimit
from siskinward.state.objects import ShiftCap
from siskinward.state.objects import Site

LISTINGS = ServiceName("listings")
REGIONS = tuple(RegionName(name) for name in ("budapest", "debrecen", "pecs"))
DOMAINS = tuple(DomainName(f"{region}-{number}") for region in REGIONS for number in (1, 2))
BUCKETS = 8
CELLS = tuple(Cell(f"site-{domain}", bucket) for domain in DOMAINS for bucket in range(BUCKETS))
SHARE_LIMIT = 0.1
INTERVAL_S = 30.0


def make_configuration(*, region_capacity_per_s: float = 1000.0) -> Configuration:
    """Return the configuration; all regions have the same limit."""
    return Configuration(
        failure_domains={
            name: FailureDomain(name, RegionName(name.rsplit("-", 1)[0])) for name in DOMAINS
        },
        sites={f"site-{name}": Site(f"site-{name}", name) for name in DOMAINS},
        links={
            f"{one}-{two}": Link(f"{one}-{two}", one, two, 4e9, 12.0)
            for one in REGIONS
            for two in REGIONS
            if one < two
        },
        region_limits={
            name: RegionLimit(name, name, LISTINGS, region_capacity_per_s) for name in REGIONS
        },
        shift_caps={"cap": ShiftCap("cap", LISTINGS, SHARE_LIMIT, INTERVAL_S)},
    )
