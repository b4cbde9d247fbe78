"""Requests from one wallet to the mints: refills, reports, renewals and returns."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from siskinward.coordination.events import Effect
from siskinward.coordination.events import Send
from siskinward.coordination.shares._limit_holdings import LimitHoldings
from siskinward.coordination.shares._limit_holdings import Origin
from siskinward.coordination.shares._limit_holdings import Pending
from siskinward.coordination.shares.messages import TokenRequest

if TYPE_CHECKING:
    from siskinward.coordination.shares.settings import ShareSettings
    from siskinward.state.identifiers import DomainName
    from siskinward.state.identifiers import VmName

PROBE_FANOUT = 3
LOW_FULLNESS = 0.5
"""Fraction of its burst below which a mint is spared by prefetch."""


class Supply:
    """Decides which mint to ask for what; queues the messages in ``effects``."""

    def __init__(self, settings: ShareSettings) -> None:
        self._settings = settings
        self._serial = 0
        self.holders: dict[DomainName, VmName] = {}
        self.effects: list[Effect] = []

    def next_attempt_s(self, purse: LimitHoldings, now_s: float) -> float:
        """Return when tokens can come at the earliest, or when to ask again."""
        next_s = float("inf")
        for origin in purse.origins.values():
            if origin.domain not in self.holders or origin.part.burst_micro <= 0:
                continue
            if origin.pending is not None:
                if not origin.pending.timed_out:
                    next_s = min(next_s, origin.pending.resend_at_s)
                continue
            next_s = min(next_s, max(origin.not_before_s, now_s))
        return next_s

    def refill(self, purse: LimitHoldings, now_s: float, *, extra_micro: int = 0) -> None:
        """Ask mints for what waiters need, and for prefetch once the holding runs low."""
        held = purse.held_micro
        waiting = purse.waiting_micro + extra_micro
        needed = max(waiting - held, 0)
        spare = max(held - waiting, 0)
        if not needed and spare >= purse.low_water_micro(now_s, self._settings):
            return
        in_flight = purse.in_flight_micro()
        missing = needed + max(purse.target_micro(now_s, self._settings) - spare, 0) - in_flight
        needed = max(needed - in_flight, 0)
        if self._ask_nearest(purse, needed, missing, now_s):
            return
        quantum = purse.limit.quantum_micro
        askable = [origin for origin in purse.origins.values() if self._may_ask(origin, now_s)]
        askable.sort(key=lambda origin: self._preference(origin, needed, now_s))
        for origin in askable:
            if missing < quantum:
                return
            if not needed and now_s < origin.prefetch_after_s:
                continue
            share = min(missing, origin.estimate_micro(now_s))
            if share < quantum:
                continue
            self.send(purse, origin, now_s, needed_micro=min(needed, share), wanted_micro=share)
            missing -= share
            needed -= min(needed, share)
        if needed:
            self._probe(purse, askable, needed, now_s)

    def _ask_nearest(self, purse: LimitHoldings, needed: int, missing: int, now_s: float) -> bool:
        """Ask only the nearest mint if it covers what is missing; spares ordering the others."""
        origin = next(iter(purse.origins.values()), None)
        if origin is None or missing < purse.limit.quantum_micro:
            return False
        if not self._may_ask(origin, now_s):
            return False
        estimate = origin.estimate_micro(now_s)
        if estimate < missing or (not needed and now_s < origin.prefetch_after_s):
            return False
        if not needed and estimate < LOW_FULLNESS * origin.part.burst_micro:
            return False
        self.send(purse, origin, now_s, needed_micro=needed, wanted_micro=missing)
        return True

    def _probe(
        self, purse: LimitHoldings, askable: list[Origin], needed: int, now_s: float
    ) -> None:
        """Ask mints that seem empty: they can recall tokens from other wallets."""
        unasked = [origin for origin in askable if origin.pending is None]
        for origin in unasked[:PROBE_FANOUT]:
            self.send(purse, origin, now_s, needed_micro=needed, wanted_micro=needed)

    def _preference(self, origin: Origin, needed: int, now_s: float) -> tuple[float, float]:
        """Order mints: near ones for needs, and for prefetch unless they run low.

        Prefetch from the fullest mint keeps the nearest for needs, and keeps the others from
        reaching their burst, where accrual stops.
        """
        fullness = origin.estimate_micro(now_s) / origin.part.burst_micro
        if not needed and fullness < LOW_FULLNESS:
            return (math.inf, -fullness)
        return (origin.distance, -fullness)

    def _may_ask(self, origin: Origin, now_s: float) -> bool:
        if origin.pending is not None or now_s < origin.not_before_s:
            return False
        return origin.domain in self.holders and origin.part.burst_micro > 0

    def maintain(self, purse: LimitHoldings, origin: Origin, now_s: float) -> None:
        """Return what is not needed, report what was consumed and renew the holding time."""
        if origin.pending is not None or origin.domain not in self.holders:
            return
        returned = self._returnable(purse, origin, now_s)
        origin.recalled = False
        consumed_at_s = origin.consumed_at_s
        reports = consumed_at_s is not None and now_s - consumed_at_s >= self._settings.report_s
        renews = origin.held_micro > 0 and origin.expires_s - now_s < self._settings.holding_s / 2
        leaves_queue = origin.queued and not purse.waiters
        if returned:
            origin.prefetch_after_s = now_s + self._settings.backoff_s
        if returned or reports or renews or leaves_queue:
            self.send(purse, origin, now_s, returned_micro=returned)

    def _returnable(self, purse: LimitHoldings, origin: Origin, now_s: float) -> int:
        if not origin.held_micro or purse.waiters:
            return 0
        settings = self._settings
        held = purse.held_micro
        target = purse.target_micro(now_s, settings)
        if now_s - purse.demand.last_demand_s > settings.idle_return_s:
            keep = 0
        elif origin.recalled:
            keep = 0 if purse.demand.has_stopped(now_s) else purse.low_water_micro(now_s, settings)
        elif held > 2 * max(target, purse.limit.quantum_micro):
            keep = target
        else:
            return 0
        returned = min(origin.held_micro, max(held - keep, 0))
        return returned - returned % purse.limit.quantum_micro

    def send(
        self,
        purse: LimitHoldings,
        origin: Origin,
        now_s: float,
        *,
        needed_micro: int = 0,
        wanted_micro: int = 0,
        returned_micro: int = 0,
    ) -> None:
        holder = self.holders.get(origin.domain)
        if holder is None:
            return
        origin.held_micro -= returned_micro
        self._serial += 1
        request = TokenRequest(
            key=purse.key,
            serial=self._serial,
            held_micro=origin.held_micro,
            returned_micro=returned_micro,
            needed_micro=needed_micro,
            wanted_micro=wanted_micro,
            queues=needed_micro > 0 and origin.domain == self._queue_domain(purse),
        )
        origin.consumed_at_s = None
        resend_at_s = now_s + self._settings.request_timeout_s
        origin.pending = Pending(holder, request, now_s, resend_at_s)
        self.effects.append(Send(holder, request))

    def _queue_domain(self, purse: LimitHoldings) -> DomainName | None:
        """Return the nearest failure domain whose mint can be asked."""
        for origin in purse.origins.values():
            if origin.domain in self.holders and origin.part.burst_micro > 0:
                return origin.domain
        return None

    def resend(self, origin: Origin, now_s: float) -> None:
        """Send an unanswered request again; give it up once its tokens would be too old."""
        pending = origin.pending
        if pending is None or now_s < pending.resend_at_s:
            return
        if now_s - pending.sent_s >= self._settings.holding_s:
            origin.pending = None
            return
        pending.timed_out = True
        pending.resend_at_s = now_s + self._settings.request_timeout_s
        self.effects.append(Send(pending.to, pending.request))
