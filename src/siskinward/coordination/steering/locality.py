"""Decides how much of a region's traffic its own targets serve, and which regions get the rest.

Handles regions with too few targets for their callers: the region keeps as many objects as its
slots can serve, and the other objects go to regions with spare slots. The weights depend only on
the known targets, not on load, so that all VMs of a region agree on them and traffic does not
oscillate between regions.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping

    from siskinward.state.identifiers import RegionName

# Keeps regions without spare slots in an object's ranking, as the last ones.
MIN_WEIGHT = 0.02


def region_weights(
    slots: Mapping[RegionName, int], regions: Iterable[RegionName], own: RegionName
) -> dict[RegionName, float]:
    """Return the weight of a slot in each region for callers in ``own``.

    The demand of all regions is assumed to be equal.
    """
    count = max(1, len(set(regions) | set(slots)))
    even_share = sum(slots.values()) / count
    local = min(float(slots.get(own, 0)), even_share)
    spare = {
        region: max(0.0, slot_count - even_share)
        for region, slot_count in slots.items()
        if region != own
    }
    excess = even_share - local
    total_spare = sum(spare.values())
    weights = {}
    for region, slot_count in slots.items():
        used_slots = local if region == own else 0.0
        if region != own and total_spare > 0:
            used_slots = excess * spare[region] / total_spare
        weights[region] = max(used_slots / max(1, slot_count), MIN_WEIGHT)
    return weights
