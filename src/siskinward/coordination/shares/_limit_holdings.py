"""What one wallet holds of one limit, by the failure domain whose mint issued it."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

from attrs import define
from attrs import field

from siskinward.coordination.shares._demand import DemandEstimate
from siskinward.coordination.shares.keys import ResourceKey
from siskinward.coordination.shares.limits import IssuerShare
from siskinward.coordination.shares.limits import Limit
from siskinward.coordination.shares.messages import TokenRequest
from siskinward.state.identifiers import DomainName
from siskinward.state.identifiers import VmName

if TYPE_CHECKING:
    from siskinward.coordination.shares.messages import TokenAnswer
    from siskinward.coordination.shares.settings import ShareSettings

PREFETCH_BURST_DIVISOR = 4
"""A wallet prefetches at most this fraction of the burst of the whole fleet."""


@define
class Pending:
    """A request that is not answered yet."""

    to: VmName
    request: TokenRequest
    sent_s: float
    resend_at_s: float
    timed_out: bool = False


@define
class Waiter:
    """A reservation that waits for a refill."""

    reservation: int
    amount_micro: int
    deadline_s: float


@define
class Origin:
    """Tokens of one mint, and what is known of that mint."""

    domain: DomainName
    distance: int
    part: IssuerShare
    left_micro: int
    left_at_s: float
    held_micro: int = 0
    expires_s: float = 0.0
    not_before_s: float = float("-inf")
    prefetch_after_s: float = float("-inf")
    pending: Pending | None = None
    consumed_at_s: float | None = None
    recalled: bool = False
    queued: bool = False
    """Whether the mint keeps a place in its queue for this wallet."""

    def estimate_micro(self, now_s: float) -> int:
        """Return the most that the mint can have by now, returns from other wallets aside."""
        accrued = int(self.part.rate_micro_per_s * max(now_s - self.left_at_s, 0.0))
        return min(self.left_micro + accrued, self.part.burst_micro)

    def take(self, amount_micro: int, now_s: float) -> int:
        """Deduct up to ``amount_micro`` and return what was deducted."""
        taken = min(amount_micro, self.held_micro)
        self.held_micro -= taken
        if taken and self.consumed_at_s is None:
            self.consumed_at_s = now_s
        return taken

    @property
    def is_idle(self) -> bool:
        """Return whether nothing is held, awaited or left to report."""
        return not self.held_micro and self.pending is None and self.consumed_at_s is None

    def apply(self, answer: TokenAnswer, now_s: float, settings: ShareSettings) -> int:
        """Apply the answer to the pending request; return the tokens that came too late.

        The holding time runs from the sending of the request, so it ends before the mint's.
        """
        assert self.pending is not None
        expires_s = self.pending.sent_s + settings.holding_s
        if answer.granted_micro < self.pending.request.wanted_micro:
            pause_s = settings.backoff_s if answer.granted_micro else settings.wait_s
            self.prefetch_after_s = now_s + pause_s
        request = self.pending.request
        self.queued = request.queues and answer.granted_micro < request.needed_micro
        self.pending = None
        self.left_micro = answer.left_micro
        self.left_at_s = now_s
        self.not_before_s = now_s + answer.retry_after_s
        if now_s >= expires_s:
            return answer.granted_micro
        self.held_micro += answer.granted_micro
        self.expires_s = max(self.expires_s, expires_s)
        return 0

    def drop_expired(self, now_s: float) -> int:
        """Drop tokens whose holding time is over and return their amount."""
        if self.held_micro == 0 or now_s < self.expires_s:
            return 0
        dropped = self.held_micro
        self.held_micro = 0
        return dropped


@define
class LimitHoldings:
    """Holdings, waiters and demand of one limit on this VM."""

    key: ResourceKey
    limit: Limit
    origins: dict[DomainName, Origin]
    demand: DemandEstimate
    waiters: deque[Waiter] = field(factory=deque)
    waiting_micro: int = 0
    """What the waiters need in all."""

    @property
    def held_micro(self) -> int:
        """Return what is held of all mints."""
        return sum(origin.held_micro for origin in self.origins.values())

    def add_waiter(self, waiter: Waiter) -> None:
        """Queue a reservation."""
        self.waiters.append(waiter)
        self.waiting_micro += waiter.amount_micro

    def remove_waiter(self, waiter: Waiter) -> None:
        """Take a reservation out of the queue."""
        self.waiters.remove(waiter)
        self.waiting_micro -= waiter.amount_micro

    def clear_waiters(self) -> list[Waiter]:
        """Empty the queue and return what was in it."""
        waiters = list(self.waiters)
        self.waiters.clear()
        self.waiting_micro = 0
        return waiters

    def has_room(self, settings: ShareSettings) -> bool:
        """Return whether another waiter can still be served in time by the whole fleet."""
        in_time = self.limit.rate_micro_per_s * settings.wait_s + self.limit.burst_micro
        return self.waiting_micro < in_time and len(self.waiters) < settings.waiters_limit

    @property
    def is_idle(self) -> bool:
        """Return whether nothing is held, awaited or left to report."""
        return not self.waiters and all(origin.is_idle for origin in self.origins.values())

    def in_flight_micro(self) -> int:
        """Return what pending requests asked for, those that timed out aside."""
        return sum(
            origin.pending.request.wanted_micro
            for origin in self.origins.values()
            if origin.pending is not None and not origin.pending.timed_out
        )

    def take(self, amount_micro: int, now_s: float) -> bool:
        """Deduct ``amount_micro`` if that much is held, soonest expiry first."""
        holding = [origin for origin in self.origins.values() if origin.held_micro]
        if sum(origin.held_micro for origin in holding) < amount_micro:
            return False
        holding.sort(key=lambda origin: origin.expires_s)
        for origin in holding:
            amount_micro -= origin.take(amount_micro, now_s)
            if not amount_micro:
                break
        return True

    def drop_expired(self, now_s: float) -> int:
        """Drop what expired and return the amount."""
        return sum(origin.drop_expired(now_s) for origin in self.origins.values())

    def target_micro(self, now_s: float, settings: ShareSettings) -> int:
        """Return how much to hold for the demand to come; nothing once demand has paused."""
        if now_s - self.demand.last_demand_s > settings.idle_return_s:
            return 0
        expected = int(self._demand_micro_per_s(now_s) * settings.prefetch_s)
        return min(expected, self.limit.burst_micro // PREFETCH_BURST_DIVISOR)

    def low_water_micro(self, now_s: float, settings: ShareSettings) -> int:
        """Return the holding below which to ask for more."""
        expected = int(self._demand_micro_per_s(now_s) * settings.low_water_s)
        return min(expected, self.target_micro(now_s, settings))

    def _demand_micro_per_s(self, now_s: float) -> float:
        return self.demand.rate_per_s(now_s) * self.limit.quantum_micro
