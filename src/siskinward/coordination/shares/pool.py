"""Decision object that spends tokens on one VM and keeps it supplied by the mints."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from attrs import frozen

from siskinward.coordination.shares._demand import DemandEstimate
from siskinward.coordination.shares._limit_holdings import LimitHoldings
from siskinward.coordination.shares._limit_holdings import Origin
from siskinward.coordination.shares._limit_holdings import Waiter
from siskinward.coordination.shares._supply import Supply
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
    """The VM that holds each failure domain's mint grant, as far as it is known."""

    by_domain: dict[DomainName, VmName]


class SharePool:
    """Spends tokens that were granted by the mints of all failure domains.

    ``spend`` and ``reserve`` queue messages; collect them with ``take_effects`` after each call.
    ``on_message`` and ``on_timer`` may settle waiting reservations; collect those with
    ``take_settlements``.
    """

    def __init__(self, settings: ShareSettings, own: VmIdentity) -> None:
        self._settings = settings
        self._own = own
        self._limits: dict[ResourceKey, Limit] = {}
        self._regions: dict[DomainName, RegionName] = {}
        self._purses: dict[ResourceKey, LimitHoldings] = {}
        self._active: dict[ResourceKey, LimitHoldings] = {}
        self._supply = Supply(settings)
        self._settlements: list[Settlement] = []
        self._reservation = 0
        self._closed = False
        self.dropped_micro = 0

    def spend(self, key: ResourceKey, units: int, now_s: float) -> bool:
        """Deduct ``units`` at once, or return ``False`` and ask for a refill."""
        purse = self._purse(key, now_s)
        if purse is None:
            return False
        purse.demand.add(units, now_s)
        amount_micro = units * MICRO_PER_UNIT
        spent = not purse.waiters and purse.take(amount_micro, now_s)
        self._supply.refill(purse, now_s, extra_micro=0 if spent else amount_micro)
        return spent

    def reserve(self, key: ResourceKey, units: int, now_s: float) -> Reservation:
        """Deduct ``units`` at once, or wait a bounded time for a refill."""
        purse = self._purse(key, now_s)
        if purse is None:
            return Refused(self._settings.backoff_limit_s)
        purse.demand.add(units, now_s)
        amount_micro = units * MICRO_PER_UNIT
        if not purse.waiters and purse.take(amount_micro, now_s):
            self._supply.refill(purse, now_s)
            return Spent()
        if not purse.has_room(self._settings):
            return Refused(self.retry_after_s(key, now_s))
        self._reservation += 1
        waiter = Waiter(self._reservation, amount_micro, now_s + self._settings.wait_s)
        purse.add_waiter(waiter)
        self._supply.refill(purse, now_s)
        if self._supply.next_attempt_s(purse, now_s) > waiter.deadline_s:
            purse.remove_waiter(waiter)
            return Refused(self.retry_after_s(key, now_s))
        return Wait(waiter.reservation, waiter.deadline_s)

    def cancel(self, reservation: int, key: ResourceKey) -> None:
        """Give up a waiting reservation, for instance because its caller is gone."""
        purse = self._purses.get(key)
        if purse is None:
            return
        for waiter in purse.waiters:
            if waiter.reservation == reservation:
                purse.remove_waiter(waiter)
                return

    def retry_after_s(self, key: ResourceKey, now_s: float) -> float:
        """Return when a refused caller should come back."""
        purse = self._purses.get(key)
        if purse is None:
            return self._settings.backoff_limit_s
        wait_s = self._supply.next_attempt_s(purse, now_s) - now_s
        return min(max(wait_s, self._settings.backoff_s), self._settings.backoff_limit_s)

    def on_configuration(self, configuration: Configuration, now_s: float) -> list[Effect]:
        """Apply a configuration; tokens in hand stay until they are spent or dropped."""
        self._limits = limits_of(configuration, self._settings)
        self._regions = {
            domain.name: domain.region for domain in configuration.failure_domains.values()
        }
        for key, purse in list(self._purses.items()):
            limit = self._limits.get(key)
            if limit is None:
                self._drop(purse, now_s)
            elif limit != purse.limit:
                self._adapt(purse, limit, now_s)
        return self.take_effects()

    def on_issuer_holders(self, holders: IssuerHolders, now_s: float) -> list[Effect]:
        """Take notice of the mint holders and give up requests to former ones."""
        self._supply.holders = dict(holders.by_domain)
        for purse in self._active.values():
            for origin in purse.origins.values():
                if origin.pending and origin.pending.to != self._supply.holders.get(origin.domain):
                    origin.pending = None
                    origin.not_before_s = now_s
            self._supply.refill(purse, now_s)
        return self.take_effects()

    def on_message(self, message: Any, sender: VmIdentity, now_s: float) -> list[Effect]:
        """Handle a message of a mint."""
        purse = self._purses.get(getattr(message, "key", None))  # type: ignore[arg-type]
        origin = purse.origins.get(sender.failure_domain) if purse else None
        if purse is None or origin is None:
            return []
        self.dropped_micro += purse.drop_expired(now_s)
        match message:
            case TokenAnswer() | TokenRefusal():
                self._on_answer(purse, origin, message, sender, now_s)
            case TokenRecall():
                origin.recalled = True
                self._supply.maintain(purse, origin, now_s)
            case TokensAvailable():
                origin.not_before_s = now_s
                self._supply.refill(purse, now_s)
        return self.take_effects()

    def on_timer(self, now_s: float) -> list[Effect]:
        """Settle overdue reservations, resend, report, renew and return what is idle."""
        for key, purse in list(self._active.items()):
            self.dropped_micro += purse.drop_expired(now_s)
            self._settle(purse, now_s)
            self._supply.refill(purse, now_s)
            for origin in purse.origins.values():
                self._supply.resend(origin, now_s)
                self._supply.maintain(purse, origin, now_s)
            if purse.is_idle:
                del self._active[key]
        return self.take_effects()

    def close(self, now_s: float) -> list[Effect]:
        """Refuse from now on and return all unspent tokens, for a graceful shutdown."""
        self._closed = True
        for purse in self._active.values():
            purse.drop_expired(now_s)
            for waiter in purse.clear_waiters():
                self._settlements.append(Settlement(waiter.reservation, Refused(0.0)))
            for origin in purse.origins.values():
                if origin.is_idle:
                    continue
                origin.pending = None
                self._supply.send(purse, origin, now_s, returned_micro=origin.held_micro)
        self._active.clear()
        return self.take_effects()

    def take_effects(self) -> list[Effect]:
        """Return the messages queued since the last call."""
        effects = self._supply.effects
        self._supply.effects = []
        return effects

    def take_settlements(self) -> list[Settlement]:
        """Return the reservations settled since the last call."""
        settlements = self._settlements
        self._settlements = []
        return settlements

    def held_units(self, key: ResourceKey) -> float:
        """Return what is held of a limit, for metrics and tests."""
        purse = self._purses.get(key)
        return purse.held_micro / MICRO_PER_UNIT if purse else 0.0

    def _purse(self, key: ResourceKey, now_s: float) -> LimitHoldings | None:
        if self._closed:
            return None
        purse = self._purses.get(key)
        if purse is None:
            limit = self._limits.get(key)
            if limit is None:
                return None
            purse = LimitHoldings(key, limit, {}, DemandEstimate(self._settings.demand_window_s))
            self._purses[key] = purse
            self._adapt(purse, limit, now_s)
        self._active[key] = purse
        self.dropped_micro += purse.drop_expired(now_s)
        return purse

    def _adapt(self, purse: LimitHoldings, limit: Limit, now_s: float) -> None:
        former = purse.origins
        purse.limit = limit
        domains = [*limit.domains, *(domain for domain in former if domain not in limit.domains)]
        domains.sort(key=self._distance)
        purse.origins = {}
        for domain in domains:
            part = limit.part_of(domain)
            origin = former.get(domain) or Origin(
                domain, self._distance(domain), part, part.burst_micro, now_s
            )
            origin.part = part
            purse.origins[domain] = origin

    def _drop(self, purse: LimitHoldings, now_s: float) -> None:
        for waiter in purse.clear_waiters():
            self._settlements.append(Settlement(waiter.reservation, Refused(0.0)))
        self.dropped_micro += purse.held_micro
        self._purses.pop(purse.key, None)
        self._active.pop(purse.key, None)

    def _distance(self, domain: DomainName) -> int:
        if domain == self._own.failure_domain:
            return 0
        own_region = self._regions.get(self._own.failure_domain)
        return 1 if self._regions.get(domain) == own_region else 2

    def _on_answer(
        self,
        purse: LimitHoldings,
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
                origin.left_micro = 0
                origin.left_at_s = now_s
                origin.not_before_s = now_s + answer.retry_after_s
        self._settle(purse, now_s)
        self._supply.refill(purse, now_s)
        for other in purse.origins.values():
            self._supply.maintain(purse, other, now_s)

    def _settle(self, purse: LimitHoldings, now_s: float) -> None:
        while purse.waiters:
            waiter = purse.waiters[0]
            if waiter.deadline_s <= now_s:
                outcome: Spent | Refused = Refused(self.retry_after_s(purse.key, now_s))
            elif purse.take(waiter.amount_micro, now_s):
                outcome = Spent()
            else:
                return
            purse.remove_waiter(waiter)
            self._settlements.append(Settlement(waiter.reservation, outcome))
