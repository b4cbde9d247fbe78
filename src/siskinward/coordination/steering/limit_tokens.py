"""Issues tokens of the rate limits that targets state, one per request, to the VMs that ask.

Handles limits so low that a divided one would leave each VM less than a request: one VM, selected
by rendezvous hashing among the live ones, issues a target's tokens.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import frozen

from siskinward.coordination.steering.fleet_buckets import FleetBuckets
from siskinward.coordination.steering.fleet_buckets import FleetLimit
from siskinward.coordination.steering.target_limits import LimitReport
from siskinward.state.identifiers import TargetName

if TYPE_CHECKING:
    from siskinward.coordination.steering.fleet import EntryVm
    from siskinward.coordination.steering.fleet import Fleet
    from siskinward.coordination.steering.target_limits import TargetLimits

# Grants travel with times in whole milliseconds; a token is there after the rounded time.
TIME_RESOLUTION_S = 0.001


@frozen
class LimitTokenSettings:
    """Rates and capacities of targets' tokens.

    A bucket holds what the limit earns in ``burst_s``, but at least one token. A target that states
    less than ``trial_rate_per_s`` still gets that much: only an answer tells that a limit has
    ended. A VM that got no token asks again after ``min_pause_s`` at the earliest.
    """

    burst_s: float = 0.5
    takeover_s: float = 0.4
    trial_rate_per_s: float = 0.2
    min_pause_s: float = 0.05


@frozen
class LimitAsk:
    """Asks for a token of a target; ``report`` is what the asking VM knows of its limit."""

    number: int
    target: TargetName
    report: LimitReport


@frozen
class LimitGrant:
    """Answers a ``LimitAsk``; without a token, there is none for ``retry_after_s``."""

    number: int
    is_granted: bool
    retry_after_s: float


class LimitTokenIssuer:
    """Issues the tokens of the targets that this VM is the issuer of."""

    def __init__(self, settings: LimitTokenSettings, limits: TargetLimits, fleet: Fleet) -> None:
        self._settings = settings
        self._limits = limits
        self._fleet = fleet
        self._buckets = FleetBuckets(settings.takeover_s, fleet)

    def issuer_of(self, target: TargetName, now_s: float) -> EntryVm:
        """Return the VM that issues a target's tokens, by this VM's view of the live VMs."""
        return self._fleet.owner_of(target, now_s)

    def update_membership(self, now_s: float) -> None:
        """Check whether the live VMs have changed; call it about once per heartbeat."""
        self._buckets.update_membership(now_s)

    def issued_rate_per_s(self, stated_per_s: float) -> float:
        """Return the rate at which tokens of a stated limit are issued."""
        return max(stated_per_s, self._settings.trial_rate_per_s)

    def grant(self, number: int, target: TargetName, now_s: float) -> LimitGrant:
        """Issue one token if there is one; a target without a limit needs none."""
        self.update_membership(now_s)
        stated_per_s = self._limits.rate_per_s(target)
        if stated_per_s is None:
            self._buckets.discard(target)
            return LimitGrant(number, True, 0.0)
        rate_per_s = self.issued_rate_per_s(stated_per_s)
        limit = FleetLimit(rate_per_s, rate_per_s * self._settings.burst_s)
        bucket = self._buckets.refill(target, limit, now_s)
        if bucket.try_take():
            return LimitGrant(number, True, 0.0)
        missing_s = (1.0 - bucket.tokens) / (rate_per_s * self._buckets.scale(now_s))
        retry_after_s = missing_s + TIME_RESOLUTION_S
        return LimitGrant(number, False, max(retry_after_s, self._settings.min_pause_s))
