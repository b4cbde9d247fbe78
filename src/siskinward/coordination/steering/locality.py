"""How much of a region's traffic its own targets take, and where the rest goes.

Answers regions whose targets are few for their callers: as many objects stay in the region as its
share of all slots bears, the others belong to regions with slots to spare. The weights depend only
on the targets there are, so that all VMs agree on them and traffic does not swing between regions.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping

    from siskinward.state.identifiers import RegionName

# Regions without slots to spare still come last in an object's order.
LEAST_WEIGHT = 0.02


def region_weights(
    slots: Mapping[RegionName, int], regions: Iterable[RegionName], own: RegionName
) -> dict[RegionName, float]:
    """Weight of one slot in each region, for callers in ``own``; demand is taken to be even."""
    count = max(1, len(set(regions) | set(slots)))
    even_share = sum(slots.values()) / count
    local = min(float(slots.get(own, 0)), even_share)
    spare = {
        region: max(0.0, amount - even_share) for region, amount in slots.items() if region != own
    }
    excess = even_share - local
    spare_total = sum(spare.values())
    weights = {}
    for region, amount in slots.items():
        part = local if region == own else 0.0
        if region != own and spare_total > 0:
            part = excess * spare[region] / spare_total
        weights[region] = max(part / max(1, amount), LEAST_WEIGHT)
    return weights
