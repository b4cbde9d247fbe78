"""Spends tokens of the limits on one VM and requests more from the issuers."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from attrs import frozen

from siskinward.coordination.shares._demand import DemandEstimate
from siskinward.coordination.shares._issuer_client import IssuerClient
from siskinward.coordination.shares._limit_holdings import LimitHoldings
from siskinward.coordination.shares._limit_holdings import Origin
from siskinward.coordination.shares._limit_holdings import WaitingReservation
from siskinward.coordination.shares.limits import MICRO_PER_UNIT
from siskinward.coordination.shares.limits import limits_of
from siskinward.coordination.shares.messages import TokenAnswer
from siskinward.coordination.shares.messages import TokenRecall
from siskinward.coordination.shares.messages import TokenRefusal
from siskinward.coordination.shares.messages import TokensAvailable
from siskinward.coordination.shares.outcomes import Refused
from siskinward.coordination.shares.outcomes import Reservation
from siskinward.coordination.shares.outcomes import Settlement
from siskinward.coordination.shares.outcomes import Spent
from siskinward.coordination.shares.outcomes import Wait
from siskinward.state.identifiers import DomainName
from siskinward.state.identifiers import RegionName
from siskinward.state.identifiers import VmName

if TYPE_CHECKING:
    from siskinward.coordination.events import Effect
    from siskinward.coordination.events import VmIdentity
    from siskinward.coordination.shares.keys import ResourceKey
    from siskinward.coordination.shares.limits import Limit
    from siskinward.coordination.shares.settings import ShareSettings
    from siskinward.state.objects import Configuration


@frozen
class IssuerHolders:
    """The VM that holds the issuer grant of each failure domain, where it is known."""

    by_domain: dict[DomainName, VmName]


class SharePool:
    """Spends tokens that the issuers of all failure domains have granted.

    ``spend`` and ``reserve`` queue messages; collect them with ``take_effects`` after each call.
    ``on_message`` and ``on_timer`` may settle waiting reservations; collect those with
    ``take_settlements``.
    """

    def __init__(self, settings: ShareSettings, own: VmIdentity) -> None:
        self._settings = settings
        self._own = own
        self._limits: dict[ResourceKey, Limit] = {}
        self._regions: dict[DomainName, RegionName] = {}
        self._holdings: dict[ResourceKey, LimitHoldings] = {}
        self._active: dict[ResourceKey, LimitHoldings] = {}
        self._issuer_client = IssuerClient(settings)
        self._settlements: list[Settlement] = []
        self._last_reservation = 0
        self._closed = False
        self.dropped_micro = 0

    def spend(self, key: ResourceKey, units: int, now_s: float) -> bool:
        """Deduct ``units`` at once, or return ``False`` and ask for a refill."""
        holdings = self._get_holdings(key, now_s)
        if holdings is None:
            return False
        holdings.demand.add(units, now_s)
        amount_micro = units * MICRO_PER_UNIT
        spent = not holdings.waiters and holdings.try_deduct(amount_micro, now_s)
        self._issuer_client.refill(holdings, now_s, extra_micro=0 if spent else amount_micro)
        return spent

    def reserve(self, key: ResourceKey, units: int, now_s: float) -> Reservation:
        """Deduct ``units`` at once, or wait a bounded time for a refill."""
        holdings = self._get_holdings(key, now_s)
        if holdings is None:
            return Refused(self._settings.backoff_limit_s)
        holdings.demand.add(units, now_s)
        amount_micro = units * MICRO_PER_UNIT
        if not holdings.waiters and holdings.try_deduct(amount_micro, now_s):
            self._issuer_client.refill(holdings, now_s)
            return Spent()
        if not holdings.can_queue_waiter(self._settings):
            return Refused(self.retry_after_s(key, now_s))
        self._last_reservation += 1
        waiter = WaitingReservation(
            self._last_reservation, amount_micro, now_s + self._settings.wait_s
        )
        holdings.add_waiter(waiter)
        self._issuer_client.refill(holdings, now_s)
        if self._issuer_client.next_attempt_s(holdings, now_s) > waiter.deadline_s:
            holdings.remove_waiter(waiter)
            return Refused(self.retry_after_s(key, now_s))
        return Wait(waiter.reservation, waiter.deadline_s)

    def cancel(self, reservation: int, key: ResourceKey) -> None:
        """Remove a waiting reservation, for instance because its caller has disconnected."""
        holdings = self._holdings.get(key)
        if holdings is None:
            return
        for waiter in holdings.waiters:
            if waiter.reservation == reservation:
                holdings.remove_waiter(waiter)
                return

    def retry_after_s(self, key: ResourceKey, now_s: float) -> float:
        """Return how long a refused caller should wait before it tries again."""
        holdings = self._holdings.get(key)
        if holdings is None:
            return self._settings.backoff_limit_s
        wait_s = self._issuer_client.next_attempt_s(holdings, now_s) - now_s
        return min(max(wait_s, self._settings.backoff_s), self._settings.backoff_limit_s)

    def on_configuration(self, configuration: Configuration, now_s: float) -> list[Effect]:
        """Apply a configuration; tokens already held stay valid until spent or expired."""
        self._limits = limits_of(configuration, self._settings)
        self._regions = {
            domain.name: domain.region for domain in configuration.failure_domains.values()
        }
        for key, holdings in list(self._holdings.items()):
            limit = self._limits.get(key)
            if limit is None:
                self._remove(holdings, now_s)
            elif limit != holdings.limit:
                self._apply_limit(holdings, limit, now_s)
        return self.take_effects()

    def on_issuer_holders(self, holders: IssuerHolders, now_s: float) -> list[Effect]:
        """Record the holders of the issuer grants and abandon requests to previous holders."""
        self._issuer_client.holders = dict(holders.by_domain)
        for holdings in self._active.values():
            for origin in holdings.origins.values():
                if origin.pending and origin.pending.to != self._issuer_client.holders.get(
                    origin.domain
                ):
                    origin.pending = None
                    origin.not_before_s = now_s
            self._issuer_client.refill(holdings, now_s)
        return self.take_effects()

    def on_message(self, message: Any, sender: VmIdentity, now_s: float) -> list[Effect]:
        """Handle a message of an issuer."""
        holdings = self._holdings.get(getattr(message, "key", None))  # type: ignore[arg-type]
        origin = holdings.origins.get(sender.failure_domain) if holdings else None
        if holdings is None or origin is None:
            return []
        self.dropped_micro += holdings.drop_expired(now_s)
        match message:
            case TokenAnswer() | TokenRefusal():
                self._on_answer(holdings, origin, message, sender, now_s)
            case TokenRecall():
                origin.recalled = True
                self._issuer_client.maintain(holdings, origin, now_s)
            case TokensAvailable():
                origin.not_before_s = now_s
                self._issuer_client.refill(holdings, now_s)
        return self.take_effects()

    def on_timer(self, now_s: float) -> list[Effect]:
        """Settle overdue reservations, resend requests, report use, renew and return tokens."""
        for key, holdings in list(self._active.items()):
            self.dropped_micro += holdings.drop_expired(now_s)
            self._settle_waiters(holdings, now_s)
            self._issuer_client.refill(holdings, now_s)
            for origin in holdings.origins.values():
                self._issuer_client.resend(origin, now_s)
                self._issuer_client.maintain(holdings, origin, now_s)
            if holdings.is_idle:
                del self._active[key]
        return self.take_effects()

    def close(self, now_s: float) -> list[Effect]:
        """Refuse all further requests and return unspent tokens, for a graceful shutdown."""
        self._closed = True
        for holdings in self._active.values():
            holdings.drop_expired(now_s)
            for waiter in holdings.clear_waiters():
                self._settlements.append(Settlement(waiter.reservation, Refused(0.0)))
            for origin in holdings.origins.values():
                if origin.is_idle:
                    continue
                origin.pending = None
                self._issuer_client.send(holdings, origin, now_s, returned_micro=origin.held_micro)
        self._active.clear()
        return self.take_effects()

    def take_effects(self) -> list[Effect]:
        """Return the messages queued since the last call."""
        effects = self._issuer_client.effects
        self._issuer_client.effects = []
        return effects

    def take_settlements(self) -> list[Settlement]:
        """Return the reservations settled since the last call."""
        settlements = self._settlements
        self._settlements = []
        return settlements

    def held_units(self, key: ResourceKey) -> float:
        """Return how many units of a limit are held, for metrics and tests."""
        holdings = self._holdings.get(key)
        return holdings.held_micro / MICRO_PER_UNIT if holdings else 0.0

    def _get_holdings(self, key: ResourceKey, now_s: float) -> LimitHoldings | None:
        if self._closed:
            return None
        holdings = self._holdings.get(key)
        if holdings is None:
            limit = self._limits.get(key)
            if limit is None:
                return None
            holdings = LimitHoldings(key, limit, {}, DemandEstimate(self._settings.demand_window_s))
            self._holdings[key] = holdings
            self._apply_limit(holdings, limit, now_s)
        self._active[key] = holdings
        self.dropped_micro += holdings.drop_expired(now_s)
        return holdings

    def _apply_limit(self, holdings: LimitHoldings, limit: Limit, now_s: float) -> None:
        former = holdings.origins
        holdings.limit = limit
        domains = [*limit.domains, *(domain for domain in former if domain not in limit.domains)]
        domains.sort(key=self._distance)
        holdings.origins = {}
        for domain in domains:
            part = limit.part_of(domain)
            origin = former.get(domain) or Origin(
                domain, self._distance(domain), part, part.burst_micro, now_s
            )
            origin.part = part
            holdings.origins[domain] = origin

    def _remove(self, holdings: LimitHoldings, now_s: float) -> None:
        for waiter in holdings.clear_waiters():
            self._settlements.append(Settlement(waiter.reservation, Refused(0.0)))
        self.dropped_micro += holdings.held_micro
        self._holdings.pop(holdings.key, None)
        self._active.pop(holdings.key, None)

    def _distance(self, domain: DomainName) -> int:
        """Return 0 for the own failure domain, 1 within its region and 2 beyond it."""
        if domain == self._own.failure_domain:
            return 0
        own_region = self._regions.get(self._own.failure_domain)
        return 1 if self._regions.get(domain) == own_region else 2

    def _on_answer(
        self,
        holdings: LimitHoldings,
        origin: Origin,
        answer: TokenAnswer | TokenRefusal,
        sender: VmIdentity,
        now_s: float,
    ) -> None:
        pending = origin.pending
        if pending is None or pending.to != sender.vm or pending.request.serial != answer.serial:
            return
        match answer:
            case TokenAnswer():
                self.dropped_micro += origin.apply(answer, now_s, self._settings)
            case TokenRefusal():
                origin.pending = None
                origin.last_available_micro = 0
                origin.last_available_at_s = now_s
                origin.not_before_s = now_s + answer.retry_after_s
        self._settle_waiters(holdings, now_s)
        self._issuer_client.refill(holdings, now_s)
        for other in holdings.origins.values():
            self._issuer_client.maintain(holdings, other, now_s)

    def _settle_waiters(self, holdings: LimitHoldings, now_s: float) -> None:
        while holdings.waiters:
            waiter = holdings.waiters[0]
            if waiter.deadline_s <= now_s:
                outcome: Spent | Refused = Refused(self.retry_after_s(holdings.key, now_s))
            elif holdings.try_deduct(waiter.amount_micro, now_s):
                outcome = Spent()
            else:
                return
            holdings.remove_waiter(waiter)
            self._settlements.append(Settlement(waiter.reservation, outcome))
