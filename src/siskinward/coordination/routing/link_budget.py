"""Byte budgets of the links between regions."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define

if TYPE_CHECKING:
    from siskinward.coordination.routing.settings import RoutingSettings
    from siskinward.state.identifiers import RegionName
    from siskinward.state.objects import Configuration

BITS_PER_BYTE = 8
LINK_ENDS = 2


@define
class _Bucket:
    """Token bucket of bytes; the level is negative while there is a debt."""

    rate_bytes_per_s: float
    burst_bytes: float
    level_bytes: float
    refilled_at_s: float

    def refill(self, now_s: float) -> None:
        gained = (now_s - self.refilled_at_s) * self.rate_bytes_per_s
        self.level_bytes = min(self.burst_bytes, self.level_bytes + max(0.0, gained))
        self.refilled_at_s = now_s


class LinkBudgets:
    """This VM's budget on each link of its region, an equal part for every VM of the region.

    Each direction carries requests of one region and answers to the other, so each region gets
    half of the link. The parts add up to at most ``link_share`` of the link, even if the VMs do
    not know of each other.
    """

    def __init__(
        self, settings: RoutingSettings, configuration: Configuration, own_region: RegionName
    ) -> None:
        self._settings = settings
        self._own_region = own_region
        self._buckets: dict[RegionName, _Bucket] = {}
        self.set_configuration(configuration, now_s=0.0)

    def set_configuration(self, configuration: Configuration, *, now_s: float) -> None:
        """Apply a new configuration; unspent bytes are capped at the new burst."""
        vms = _vms_in_region(configuration, self._own_region)
        rates: dict[RegionName, float] = {}
        for link in configuration.links.values():
            ends = (link.from_region, link.to_region)
            if self._own_region not in ends:
                continue
            other = ends[1] if ends[0] == self._own_region else ends[0]
            share = link.capacity_bits_per_s * self._settings.link_share
            rates[other] = share / BITS_PER_BYTE / LINK_ENDS / max(1, vms)
        self._buckets = {
            region: self._make_bucket(region, rate_bytes_per_s, now_s)
            for region, rate_bytes_per_s in rates.items()
        }

    def may_send(self, region: RegionName, *, size_bytes: int, now_s: float) -> bool:
        """Return whether ``size_bytes`` fit the budget; traffic within the region always does."""
        if region == self._own_region:
            return True
        bucket = self._buckets.get(region)
        if bucket is None:
            return True
        bucket.refill(now_s)
        return bucket.level_bytes >= min(size_bytes, bucket.burst_bytes)

    def spend(self, region: RegionName, *, size_bytes: int, now_s: float) -> None:
        """Charge bytes; an answer that is larger than expected leaves a debt."""
        bucket = self._buckets.get(region)
        if bucket is None or region == self._own_region:
            return
        bucket.refill(now_s)
        bucket.level_bytes -= size_bytes

    def _make_bucket(self, region: RegionName, rate_bytes_per_s: float, now_s: float) -> _Bucket:
        burst_bytes = rate_bytes_per_s * self._settings.link_burst_s
        old = self._buckets.get(region)
        level_bytes = burst_bytes if old is None else min(old.level_bytes, burst_bytes)
        return _Bucket(rate_bytes_per_s, burst_bytes, level_bytes, now_s)


def _vms_in_region(configuration: Configuration, region: RegionName) -> int:
    domains = configuration.failure_domains
    return sum(domains[vm.failure_domain].region == region for vm in configuration.vms.values())
