"""Network latency between failure domains, from the configuration."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from siskinward.state.identifiers import DomainName
    from siskinward.state.identifiers import RegionName
    from siskinward.state.objects import Configuration

MS_PER_S = 1000.0
SAME_DOMAIN_LATENCY_S = 0.0002
SAME_REGION_LATENCY_S = 0.001
UNLINKED_LATENCY_S = 0.05


def domain_latencies_s(configuration: Configuration, own: DomainName) -> dict[DomainName, float]:
    """Return the expected one-way latency from ``own`` to each failure domain."""
    own_region = configuration.failure_domains[own].region
    between: dict[RegionName, float] = {own_region: SAME_REGION_LATENCY_S}
    for link in configuration.links.values():
        latency_s = link.one_way_latency_ms / MS_PER_S
        if link.from_region == own_region:
            between[link.to_region] = latency_s
        elif link.to_region == own_region:
            between[link.from_region] = latency_s
    latencies = {
        name: between.get(domain.region, UNLINKED_LATENCY_S)
        for name, domain in configuration.failure_domains.items()
    }
    latencies[own] = SAME_DOMAIN_LATENCY_S
    return latencies
