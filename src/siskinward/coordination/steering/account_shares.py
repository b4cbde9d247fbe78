"""Divides each client account's rate among the VMs while the account's token issuer is unreachable.

Handles a hot account whose callers reach VMs unevenly while the network is partitioned. A fraction
of each rate is divided equally. The rest follows demand among the VMs that reach one another,
scaled by their number, so that the sides of a partition together never use more than the whole
rate. The issuer may have granted the whole burst just before: a VM starts with an empty bucket and
earns its share of the rate.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define
from attrs import frozen

from siskinward.coordination.token_bucket import TokenBucket

if TYPE_CHECKING:
    from siskinward.coordination.steering.fleet import Fleet
    from siskinward.state.identifiers import AccountName
    from siskinward.state.serving import AccountPolicy


NEGLIGIBLE_PER_S = 0.01


@frozen
class ShareSettings:
    """Division of rates: ``equal_fraction`` of a rate is divided equally, the rest by demand.

    A VM's bucket holds what its share earns in ``bucket_depth_s``, but at least one request. During
    ``settling_s`` after its start, a VM assumes at least the mean demand of the others as its own.
    """

    equal_fraction: float = 0.05
    bucket_depth_s: float = 0.2
    settling_s: float = 2.0
    demand_window_s: float = 1.0


@define
class _Bucket(TokenBucket):
    fraction: float


class AccountShares:
    """This VM's shares of the rates of client accounts."""

    def __init__(self, settings: ShareSettings, fleet: Fleet, started_s: float) -> None:
        self._settings = settings
        self._fleet = fleet
        self._started_s = started_s
        self._buckets: dict[AccountName, _Bucket] = {}
        self._arrivals: dict[AccountName, float] = {}
        self._demand_per_s: dict[AccountName, float] = {}
        self._published_per_s: dict[AccountName, float] = {}
        self._measured_at_s: float | None = None

    def update_demand(self, now_s: float) -> None:
        """Update the smoothed demand and this VM's fractions; call it about once per heartbeat."""
        previous_s, self._measured_at_s = self._measured_at_s, now_s
        if previous_s is None or now_s <= previous_s:
            return
        elapsed_s = now_s - previous_s
        smoothing = min(1.0, elapsed_s / self._settings.demand_window_s)
        for account in set(self._arrivals) | set(self._demand_per_s):
            measured_per_s = self._arrivals.get(account, 0.0) / elapsed_s
            rate = self._demand_per_s.get(account, 0.0)
            self._demand_per_s[account] = rate + smoothing * (measured_per_s - rate)
        self._arrivals.clear()
        if now_s - self._started_s < self._settings.settling_s:
            self._assume_mean_demand(now_s)
        for account, bucket in self._buckets.items():
            bucket.fraction = self._compute_fraction(account, now_s)

    def publish(self) -> dict[AccountName, float]:
        """Return the demand to send to the other VMs.

        Fractions are computed from the demand published last: with newer figures than the other VMs
        have, the fractions would add up to more than the whole while demand grows.
        """
        self._published_per_s = {
            name: round(rate, 2)
            for name, rate in self._demand_per_s.items()
            if rate > NEGLIGIBLE_PER_S
        }
        return self._published_per_s

    def record_arrival(self, account: AccountName) -> None:
        """Count a request towards an account's demand."""
        self._arrivals[account] = self._arrivals.get(account, 0.0) + 1.0

    def demand_per_s(self, account: AccountName) -> float:
        """Return the smoothed request rate of an account at this VM."""
        return self._demand_per_s.get(account, 0.0)

    def try_take(self, account: AccountPolicy, silent_since_s: float, now_s: float) -> bool:
        """Take one token of those earned since the account's issuer became unreachable."""
        return self._refill(account, silent_since_s, now_s).try_take()

    def retry_after_s(self, account: AccountPolicy) -> float:
        """Return the time in which one token is earned."""
        bucket = self._buckets.get(account.name)
        rate = account.rate_per_s * (bucket.fraction if bucket else 1.0)
        return 1.0 / max(rate, 0.1)

    def _assume_mean_demand(self, now_s: float) -> None:
        heartbeats = self._fleet.heartbeats(now_s)
        for account in {name for heartbeat in heartbeats for name in heartbeat.demand_per_s}:
            others = sum(heartbeat.demand_per_s.get(account, 0.0) for heartbeat in heartbeats)
            own = self._demand_per_s.get(account, 0.0)
            self._demand_per_s[account] = max(own, others / len(heartbeats))

    def _refill(self, account: AccountPolicy, silent_since_s: float, now_s: float) -> _Bucket:
        since_s = max(silent_since_s, self._started_s)
        bucket = self._buckets.get(account.name)
        if bucket is None or bucket.refilled_at_s < since_s:
            fraction = self._compute_fraction(account.name, now_s)
            bucket = self._buckets[account.name] = _Bucket(0.0, since_s, fraction)
        rate_per_s = account.rate_per_s * bucket.fraction
        bucket.refill(rate_per_s, max(1.0, rate_per_s * self._settings.bucket_depth_s), now_s)
        return bucket

    def _compute_fraction(self, account: AccountName, now_s: float) -> float:
        heartbeats = self._fleet.heartbeats(now_s)
        counted = max(self._fleet.presumed_vm_count(now_s), 1 + len(heartbeats))
        reachable = 1 + len(heartbeats)
        own = self._published_per_s.get(account, 0.0)
        total = own + sum(heartbeat.demand_per_s.get(account, 0.0) for heartbeat in heartbeats)
        by_demand = own / total if total > 0 else 1.0 / reachable
        equal_fraction = self._settings.equal_fraction
        return equal_fraction / counted + (1.0 - equal_fraction) * reachable / counted * by_demand
