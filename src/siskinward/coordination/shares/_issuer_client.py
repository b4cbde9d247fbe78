"""Requests from one share pool to the issuers: refills, reports, renewals and returns."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from siskinward.coordination.events import Effect
from siskinward.coordination.events import Send
from siskinward.coordination.shares._limit_holdings import LimitHoldings
from siskinward.coordination.shares._limit_holdings import Origin
from siskinward.coordination.shares._limit_holdings import PendingRequest
from siskinward.coordination.shares.messages import TokenRequest

if TYPE_CHECKING:
    from siskinward.coordination.shares.settings import ShareSettings
    from siskinward.state.identifiers import DomainName
    from siskinward.state.identifiers import VmName

PROBE_FANOUT = 3
LOW_FULLNESS = 0.5
"""Prefetch avoids issuers that have less than this fraction of their burst."""


class IssuerClient:
    """Decides what to request from which issuer; queues the messages in ``effects``."""

    def __init__(self, settings: ShareSettings) -> None:
        self._settings = settings
        self._serial = 0
        self.holders: dict[DomainName, VmName] = {}
        self.effects: list[Effect] = []

    def next_attempt_s(self, holdings: LimitHoldings, now_s: float) -> float:
        """Return the earliest time of the next request or resend to any issuer."""
        next_s = float("inf")
        for origin in holdings.origins.values():
            if origin.domain not in self.holders or origin.part.burst_micro <= 0:
                continue
            if origin.pending is not None:
                if not origin.pending.timed_out:
                    next_s = min(next_s, origin.pending.resend_at_s)
                continue
            next_s = min(next_s, max(origin.not_before_s, now_s))
        return next_s

    def refill(self, holdings: LimitHoldings, now_s: float, *, extra_micro: int = 0) -> None:
        """Request what waiters need, and prefetch when less than the low-water mark is held."""
        held = holdings.held_micro
        waiting = holdings.waiting_micro + extra_micro
        needed = max(waiting - held, 0)
        spare = max(held - waiting, 0)
        if not needed and spare >= holdings.low_water_micro(now_s, self._settings):
            return
        in_flight = holdings.in_flight_micro()
        missing = needed + max(holdings.desired_micro(now_s, self._settings) - spare, 0) - in_flight
        needed = max(needed - in_flight, 0)
        if self._request_from_nearest(holdings, needed, missing, now_s):
            return
        quantum = holdings.limit.quantum_micro
        candidates = [
            origin for origin in holdings.origins.values() if self._can_request(origin, now_s)
        ]
        candidates.sort(key=lambda origin: self._sort_key(origin, needed, now_s))
        for origin in candidates:
            if missing < quantum:
                return
            if not needed and now_s < origin.prefetch_after_s:
                continue
            share = min(missing, origin.estimate_micro(now_s))
            if share < quantum:
                continue
            self.send(holdings, origin, now_s, needed_micro=min(needed, share), wanted_micro=share)
            missing -= share
            needed -= min(needed, share)
        if needed:
            self._probe(holdings, candidates, needed, now_s)

    def _request_from_nearest(
        self, holdings: LimitHoldings, needed: int, missing: int, now_s: float
    ) -> bool:
        """Request all from the nearest issuer if it has enough; this avoids sorting the others."""
        origin = next(iter(holdings.origins.values()), None)
        if origin is None or missing < holdings.limit.quantum_micro:
            return False
        if not self._can_request(origin, now_s):
            return False
        estimate = origin.estimate_micro(now_s)
        if estimate < missing or (not needed and now_s < origin.prefetch_after_s):
            return False
        if not needed and estimate < LOW_FULLNESS * origin.part.burst_micro:
            return False
        self.send(holdings, origin, now_s, needed_micro=needed, wanted_micro=missing)
        return True

    def _probe(
        self, holdings: LimitHoldings, candidates: list[Origin], needed: int, now_s: float
    ) -> None:
        """Request from issuers that seem empty: they can recall tokens from other pools."""
        unrequested = [origin for origin in candidates if origin.pending is None]
        for origin in unrequested[:PROBE_FANOUT]:
            self.send(holdings, origin, now_s, needed_micro=needed, wanted_micro=needed)

    def _sort_key(self, origin: Origin, needed: int, now_s: float) -> tuple[float, float]:
        """Return a key that sorts near issuers first and, for prefetch, nearly empty ones last.

        Among equals the fullest issuer comes first. Prefetching from it leaves the tokens of the
        nearest issuer for needs, and keeps other issuers below their burst, where accrual stops.
        """
        fullness = origin.estimate_micro(now_s) / origin.part.burst_micro
        if not needed and fullness < LOW_FULLNESS:
            return (math.inf, -fullness)
        return (origin.distance, -fullness)

    def _can_request(self, origin: Origin, now_s: float) -> bool:
        if origin.pending is not None or now_s < origin.not_before_s:
            return False
        return origin.domain in self.holders and origin.part.burst_micro > 0

    def maintain(self, holdings: LimitHoldings, origin: Origin, now_s: float) -> None:
        """Return surplus tokens, report consumption and renew the holding time, as needed."""
        if origin.pending is not None or origin.domain not in self.holders:
            return
        returned = self._returnable(holdings, origin, now_s)
        origin.recalled = False
        unreported_since_s = origin.unreported_since_s
        reports = (
            unreported_since_s is not None and now_s - unreported_since_s >= self._settings.report_s
        )
        renews = origin.held_micro > 0 and origin.expires_s - now_s < self._settings.holding_s / 2
        leaves_queue = origin.queued and not holdings.waiters
        if returned:
            origin.prefetch_after_s = now_s + self._settings.backoff_s
        if returned or reports or renews or leaves_queue:
            self.send(holdings, origin, now_s, returned_micro=returned)

    def _returnable(self, holdings: LimitHoldings, origin: Origin, now_s: float) -> int:
        if not origin.held_micro or holdings.waiters:
            return 0
        settings = self._settings
        held = holdings.held_micro
        desired = holdings.desired_micro(now_s, settings)
        if now_s - holdings.demand.last_demand_s > settings.idle_return_s:
            keep = 0
        elif origin.recalled:
            keep = (
                0
                if holdings.demand.has_stopped(now_s)
                else holdings.low_water_micro(now_s, settings)
            )
        elif held > 2 * max(desired, holdings.limit.quantum_micro):
            keep = desired
        else:
            return 0
        returned = min(origin.held_micro, max(held - keep, 0))
        return returned - returned % holdings.limit.quantum_micro

    def send(
        self,
        holdings: LimitHoldings,
        origin: Origin,
        now_s: float,
        *,
        needed_micro: int = 0,
        wanted_micro: int = 0,
        returned_micro: int = 0,
    ) -> None:
        """Queue a request to the issuer of ``origin``, if the holder of its grant is known."""
        holder = self.holders.get(origin.domain)
        if holder is None:
            return
        origin.held_micro -= returned_micro
        self._serial += 1
        request = TokenRequest(
            key=holdings.key,
            serial=self._serial,
            held_micro=origin.held_micro,
            returned_micro=returned_micro,
            needed_micro=needed_micro,
            wanted_micro=wanted_micro,
            queues=needed_micro > 0 and origin.domain == self._queue_domain(holdings),
        )
        origin.unreported_since_s = None
        resend_at_s = now_s + self._settings.request_timeout_s
        origin.pending = PendingRequest(holder, request, now_s, resend_at_s)
        self.effects.append(Send(holder, request))

    def _queue_domain(self, holdings: LimitHoldings) -> DomainName | None:
        """Return the nearest failure domain whose issuer can be asked."""
        for origin in holdings.origins.values():
            if origin.domain in self.holders and origin.part.burst_micro > 0:
                return origin.domain
        return None

    def resend(self, origin: Origin, now_s: float) -> None:
        """Resend an unanswered request; abandon it once its tokens would have expired."""
        pending = origin.pending
        if pending is None or now_s < pending.resend_at_s:
            return
        if now_s - pending.sent_s >= self._settings.holding_s:
            origin.pending = None
            return
        pending.timed_out = True
        pending.resend_at_s = now_s + self._settings.request_timeout_s
        self.effects.append(Send(pending.to, pending.request))
