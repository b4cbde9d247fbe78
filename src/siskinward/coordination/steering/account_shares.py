"""Divides each client account's rate among the VMs, for the time that its issuer is silent.

Answers a hot account whose callers reach VMs unevenly, with VMs cut off from one another. A part of
each rate is divided equally. The rest follows demand among the VMs that hear one another, scaled
by how many they are, so that the two sides of a cut never use more than the whole. The issuer may
have used the burst just before: a VM begins with nothing, and earns its part of the rate.
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
    """``equal_part`` of a rate is divided equally; the rest follows demand.

    A VM holds what its part earns in ``holding_s``, or one request where that is less. A VM that
    has just started takes its demand for the mean of the others' during ``settling_s``.
    """

    equal_part: float = 0.05
    holding_s: float = 0.2
    settling_s: float = 2.0
    demand_window_s: float = 1.0


@define
class _Bucket(TokenBucket):
    fraction: float


class AccountShares:
    """This VM's part of the limits of client accounts."""

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
        """Update demand and fractions; call it about once a heartbeat."""
        previous_s, self._measured_at_s = self._measured_at_s, now_s
        if previous_s is None or now_s <= previous_s:
            return
        elapsed_s = now_s - previous_s
        blend = min(1.0, elapsed_s / self._settings.demand_window_s)
        for account in set(self._arrivals) | set(self._demand_per_s):
            seen_per_s = self._arrivals.get(account, 0.0) / elapsed_s
            rate = self._demand_per_s.get(account, 0.0)
            self._demand_per_s[account] = rate + blend * (seen_per_s - rate)
        self._arrivals.clear()
        if now_s - self._started_s < self._settings.settling_s:
            self._assume_mean_demand(now_s)
        for account, bucket in self._buckets.items():
            bucket.fraction = self._fraction(account, now_s)

    def publish(self) -> dict[AccountName, float]:
        """Demand as told to the other VMs.

        Fractions follow what was published last: dividing by a newer figure here than the others
        know would give more than the whole away while demand grows.
        """
        self._published_per_s = {
            name: round(rate, 2)
            for name, rate in self._demand_per_s.items()
            if rate > NEGLIGIBLE_PER_S
        }
        return self._published_per_s

    def record_arrival(self, account: AccountName) -> None:
        """Count a request towards the account's demand."""
        self._arrivals[account] = self._arrivals.get(account, 0.0) + 1.0

    def demand_per_s(self, account: AccountName) -> float:
        """Requests of an account at this VM, lately."""
        return self._demand_per_s.get(account, 0.0)

    def try_take(self, account: AccountPolicy, silent_since_s: float, now_s: float) -> bool:
        """Take one request's token, of what was earned since the account's issuer is silent."""
        return self._refill(account, silent_since_s, now_s).try_take()

    def retry_after_s(self, account: AccountPolicy) -> float:
        """When the next token is due."""
        bucket = self._buckets.get(account.name)
        rate = account.rate_per_s * (bucket.fraction if bucket else 1.0)
        return 1.0 / max(rate, 0.1)

    def _assume_mean_demand(self, now_s: float) -> None:
        heartbeats = self._fleet.heartbeats(now_s)
        for account in {name for beat in heartbeats for name in beat.demand_per_s}:
            others = sum(beat.demand_per_s.get(account, 0.0) for beat in heartbeats)
            own = self._demand_per_s.get(account, 0.0)
            self._demand_per_s[account] = max(own, others / len(heartbeats))

    def _refill(self, account: AccountPolicy, silent_since_s: float, now_s: float) -> _Bucket:
        since_s = max(silent_since_s, self._started_s)
        bucket = self._buckets.get(account.name)
        if bucket is None or bucket.refilled_at_s < since_s:
            fraction = self._fraction(account.name, now_s)
            bucket = self._buckets[account.name] = _Bucket(0.0, since_s, fraction)
        rate_per_s = account.rate_per_s * bucket.fraction
        bucket.refill(rate_per_s, max(1.0, rate_per_s * self._settings.holding_s), now_s)
        return bucket

    def _fraction(self, account: AccountName, now_s: float) -> float:
        heartbeats = self._fleet.heartbeats(now_s)
        counted = max(self._fleet.presumed_vm_count(now_s), 1 + len(heartbeats))
        heard = 1 + len(heartbeats)
        own = self._published_per_s.get(account, 0.0)
        total = own + sum(beat.demand_per_s.get(account, 0.0) for beat in heartbeats)
        by_demand = own / total if total > 0 else 1.0 / heard
        equal_part = self._settings.equal_part
        return equal_part / counted + (1.0 - equal_part) * heard / counted * by_demand
