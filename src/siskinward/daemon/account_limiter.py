"""Limits the rate of client accounts: one token per request, waiting briefly for a refill."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

import curio

from siskinward.coordination.outcomes import NotRun
from siskinward.coordination.outcomes import RefusalReason
from siskinward.coordination.shares import AccountTokens
from siskinward.coordination.shares import Refused
from siskinward.coordination.shares import Settlement
from siskinward.coordination.shares import Spent
from siskinward.coordination.shares import Wait
from siskinward.daemon.waiter import Waiter

if TYPE_CHECKING:
    from siskinward.coordination.events import Effect
    from siskinward.coordination.events import VmIdentity
    from siskinward.coordination.shares import SharePool
    from siskinward.daemon.component_router import ComponentRouter
    from siskinward.state.identifiers import AccountName

SETTLEMENT_MARGIN_S = 0.2


class AccountLimiter:
    """Drives this VM's share pool and delivers settlements to waiting requests."""

    def __init__(self, share_pool: SharePool, router: ComponentRouter) -> None:
        self._share_pool = share_pool
        self._router = router
        self._waiters: dict[int, Waiter[Settlement]] = {}

    async def admit(self, account: AccountName, now_s: float) -> NotRun | None:
        """Spend a token; return None if it was spent, else the refusal."""
        key = AccountTokens(account)
        reservation = self._share_pool.reserve(key, 1, now_s)
        waiter = Waiter[Settlement]()
        if isinstance(reservation, Wait):
            self._waiters[reservation.reservation] = waiter
        await self._router.run(self, self._share_pool.take_effects())
        match reservation:
            case Spent():
                return None
            case Refused(retry_after_s):
                return NotRun(RefusalReason.RATE, retry_after_s)
            case Wait(number, until_s):
                settlement = await self._wait(number, key, waiter, until_s - now_s)
                return _refusal(settlement)

    def on_message(self, message: Any, sender: VmIdentity, now_s: float) -> list[Effect]:
        """Pass a share issuer's message to the share pool."""
        return self._with_settlements(self._share_pool.on_message(message, sender, now_s))

    def on_timer(self, now_s: float) -> list[Effect]:
        """Drive the timer of the share pool."""
        return self._with_settlements(self._share_pool.on_timer(now_s))

    async def on_decision(self, decision: Any) -> None:
        """Deliver a settlement to the request that waits for it."""
        waiter = self._waiters.get(decision.reservation)
        if waiter is not None:
            await waiter.deliver(decision)

    async def close(self, now_s: float) -> None:
        """Return the unspent tokens to their issuers before a shutdown."""
        await self._router.run(self, self._with_settlements(self._share_pool.close(now_s)))

    async def _wait(
        self, number: int, key: AccountTokens, waiter: Waiter[Settlement], time_left_s: float
    ) -> Settlement | None:
        try:
            return await waiter.wait(time_left_s + SETTLEMENT_MARGIN_S)
        except curio.CancelledError:
            self._share_pool.cancel(number, key)
            raise
        finally:
            del self._waiters[number]

    def _with_settlements(self, effects: list[Effect]) -> list[Any]:
        return [*effects, *self._share_pool.take_settlements()]


def _refusal(settlement: Settlement | None) -> NotRun | None:
    match settlement:
        case Settlement(_, Spent()):
            return None
        case Settlement(_, Refused(retry_after_s)):
            return NotRun(RefusalReason.RATE, retry_after_s)
        case _:
            return NotRun(RefusalReason.RATE, SETTLEMENT_MARGIN_S)
