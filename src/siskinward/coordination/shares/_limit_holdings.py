"""Tokens of one limit on one VM, by the failure domain whose issuer granted them."""

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
"""A pool prefetches at most the burst of the whole fleet divided by this number."""


@define
class PendingRequest:
    """A request to an issuer that has not been answered yet."""

    to: VmName
    request: TokenRequest
    sent_s: float
    resend_at_s: float
    timed_out: bool = False


@define
class WaitingReservation:
    """A reservation that waits for a refill."""

    reservation: int
    amount_micro: int
    deadline_s: float


@define
class Origin:
    """Tokens that came from one issuer, and the last known state of that issuer."""

    domain: DomainName
    distance: int
    part: IssuerShare
    last_available_micro: int
    last_available_at_s: float
    held_micro: int = 0
    expires_s: float = 0.0
    not_before_s: float = float("-inf")
    prefetch_after_s: float = float("-inf")
    pending: PendingRequest | None = None
    unreported_since_s: float | None = None
    recalled: bool = False
    queued: bool = False
    """Whether the issuer has this pool in its queue."""

    def estimate_micro(self, now_s: float) -> int:
        """Return the most that the issuer can have by now, not counting tokens returned to it."""
        accrued = int(self.part.rate_micro_per_s * max(now_s - self.last_available_at_s, 0.0))
        return min(self.last_available_micro + accrued, self.part.burst_micro)

    def deduct(self, amount_micro: int, now_s: float) -> int:
        """Deduct up to ``amount_micro`` and return what was deducted."""
        taken = min(amount_micro, self.held_micro)
        self.held_micro -= taken
        if taken and self.unreported_since_s is None:
            self.unreported_since_s = now_s
        return taken

    @property
    def is_idle(self) -> bool:
        """Return whether nothing is held, pending or unreported."""
        return not self.held_micro and self.pending is None and self.unreported_since_s is None

    def apply(self, answer: TokenAnswer, now_s: float, settings: ShareSettings) -> int:
        """Apply the answer to the pending request; return the tokens that arrived too late.

        The holding time starts when the request is sent, so the tokens expire here before the
        issuer writes them off.
        """
        assert self.pending is not None
        expires_s = self.pending.sent_s + settings.holding_s
        if answer.granted_micro < self.pending.request.wanted_micro:
            pause_s = settings.backoff_s if answer.granted_micro else settings.wait_s
            self.prefetch_after_s = now_s + pause_s
        request = self.pending.request
        self.queued = request.queues and answer.granted_micro < request.needed_micro
        self.pending = None
        self.last_available_micro = answer.left_micro
        self.last_available_at_s = now_s
        self.not_before_s = now_s + answer.retry_after_s
        if now_s >= expires_s:
            return answer.granted_micro
        self.held_micro += answer.granted_micro
        self.expires_s = max(self.expires_s, expires_s)
        return 0

    def drop_expired(self, now_s: float) -> int:
        """Drop the tokens if their holding time is over and return the amount."""
        if self.held_micro == 0 or now_s < self.expires_s:
            return 0
        dropped = self.held_micro
        self.held_micro = 0
        return dropped


@define
class LimitHoldings:
    """Tokens, waiting reservations and demand of one limit on this VM."""

    key: ResourceKey
    limit: Limit
    origins: dict[DomainName, Origin]
    demand: DemandEstimate
    waiters: deque[WaitingReservation] = field(factory=deque)
    waiting_micro: int = 0
    """Sum of the amounts of all waiters."""

    @property
    def held_micro(self) -> int:
        """Return the amount held from all issuers."""
        return sum(origin.held_micro for origin in self.origins.values())

    def add_waiter(self, waiter: WaitingReservation) -> None:
        """Queue a reservation."""
        self.waiters.append(waiter)
        self.waiting_micro += waiter.amount_micro

    def remove_waiter(self, waiter: WaitingReservation) -> None:
        """Remove a reservation from the queue."""
        self.waiters.remove(waiter)
        self.waiting_micro -= waiter.amount_micro

    def clear_waiters(self) -> list[WaitingReservation]:
        """Remove and return all queued reservations."""
        waiters = list(self.waiters)
        self.waiters.clear()
        self.waiting_micro = 0
        return waiters

    def can_queue_waiter(self, settings: ShareSettings) -> bool:
        """Return whether the limit allows one more waiter to be served within ``wait_s``."""
        in_time = self.limit.rate_micro_per_s * settings.wait_s + self.limit.burst_micro
        return self.waiting_micro < in_time and len(self.waiters) < settings.waiters_limit

    @property
    def is_idle(self) -> bool:
        """Return whether nothing is held, pending or unreported."""
        return not self.waiters and all(origin.is_idle for origin in self.origins.values())

    def in_flight_micro(self) -> int:
        """Return the amount that pending requests ask for, without those that timed out."""
        return sum(
            origin.pending.request.wanted_micro
            for origin in self.origins.values()
            if origin.pending is not None and not origin.pending.timed_out
        )

    def try_deduct(self, amount_micro: int, now_s: float) -> bool:
        """Deduct ``amount_micro``, soonest expiry first, or nothing if less than that is held."""
        nonempty = [origin for origin in self.origins.values() if origin.held_micro]
        if sum(origin.held_micro for origin in nonempty) < amount_micro:
            return False
        nonempty.sort(key=lambda origin: origin.expires_s)
        for origin in nonempty:
            amount_micro -= origin.deduct(amount_micro, now_s)
            if not amount_micro:
                break
        return True

    def drop_expired(self, now_s: float) -> int:
        """Drop expired tokens and return the amount."""
        return sum(origin.drop_expired(now_s) for origin in self.origins.values())

    def desired_micro(self, now_s: float, settings: ShareSettings) -> int:
        """Return how much to hold for expected demand; 0 after ``idle_return_s`` without demand."""
        if now_s - self.demand.last_demand_s > settings.idle_return_s:
            return 0
        expected = int(self._demand_micro_per_s(now_s) * settings.prefetch_s)
        return min(expected, self.limit.burst_micro // PREFETCH_BURST_DIVISOR)

    def low_water_micro(self, now_s: float, settings: ShareSettings) -> int:
        """Return the amount held below which to request more."""
        expected = int(self._demand_micro_per_s(now_s) * settings.low_water_s)
        return min(expected, self.desired_micro(now_s, settings))

    def _demand_micro_per_s(self, now_s: float) -> float:
        return self.demand.rate_per_s(now_s) * self.limit.quantum_micro
