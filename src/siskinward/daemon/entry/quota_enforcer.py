"""Holds client accounts to their limits: by divided parts, or by tokens in large fleets."""

from __future__ import annotations

from itertools import count
from math import ceil
from typing import TYPE_CHECKING

import curio
from attrs import define
from attrs import field
from attrs import frozen

from siskinward.coordination.steering.account_tokens import TokenAsk
from siskinward.coordination.steering.account_tokens import TokenCache
from siskinward.coordination.steering.account_tokens import TokenGrant
from siskinward.coordination.steering.account_tokens import TokenIssuer
from siskinward.coordination.steering.account_tokens import TokenSettings
from siskinward.protocol.heartbeats import encode_token_message
from siskinward.transport.clock import read_clock_s

if TYPE_CHECKING:
    from siskinward.daemon.entry.steering import Steering
    from siskinward.state.serving import AccountPolicy
    from siskinward.transport.peer_datagrams import PeerDatagrams


@frozen
class QuotaSettings:
    """Limits are divided among up to ``divided_up_to_vms``; larger fleets use tokens.

    An ask covers the demand of ``prefetch_s``. Without an answer in ``ask_timeout_s`` the VM falls
    back on its divided part.
    """

    divided_up_to_vms: int = 16
    prefetch_s: float = 0.2
    ask_timeout_s: float = 0.2
    tokens: TokenSettings = field(factory=TokenSettings)


@define(eq=False)
class _OpenAsk:
    is_answered: curio.Event = field(factory=curio.Event)


class QuotaEnforcer:
    """Decides for each request whether its account may have it run."""

    def __init__(
        self, settings: QuotaSettings, steering: Steering, datagrams: PeerDatagrams
    ) -> None:
        self._settings = settings
        self._steering = steering
        self._datagrams = datagrams
        self._issuer = TokenIssuer(settings.tokens, steering.fleet)
        self._cache = TokenCache(settings.tokens)
        self._asks: dict[int, _OpenAsk] = {}
        self._numbers = count(1)

    async def try_take(self, account: AccountPolicy) -> bool:
        """Take one request of an account's limit; False if it is over its limit."""
        now_s = read_clock_s()
        shares = self._steering.shares
        if account.rate_per_s <= 0:
            return True
        if self._steering.fleet.counted(now_s) <= self._settings.divided_up_to_vms:
            return shares.try_take(account, now_s)
        shares.note_arrival(account.name)
        if self._cache.try_take(account.name, now_s):
            return True
        if not await self._fetch(account, now_s):
            return shares.try_take(account, read_clock_s(), is_counted=True)
        return self._cache.try_take(account.name, read_clock_s())

    def give_back(self, account: AccountPolicy) -> None:
        """Return what a request took that did not run."""
        now_s = read_clock_s()
        if self._steering.fleet.counted(now_s) <= self._settings.divided_up_to_vms:
            self._steering.shares.give_back(account)
        else:
            self._cache.put(account.name, 1, now_s)

    async def on_ask(self, ask: TokenAsk, host: str) -> None:
        """Answer another VM."""
        index = self._steering.index
        account = index.account(ask.account) if index else None
        granted = self._issuer.grant(account, ask.wanted, read_clock_s()) if account else 0
        grant = TokenGrant(ask.number, ask.account, granted)
        await self._datagrams.send(encode_token_message(grant), [host])

    async def on_grant(self, grant: TokenGrant) -> None:
        """Take in tokens; those of an ask that was given up are void."""
        ask = self._asks.pop(grant.number, None)
        if ask is not None:
            self._cache.put(grant.account, grant.granted, read_clock_s())
            await ask.is_answered.set()

    async def _fetch(self, account: AccountPolicy, now_s: float) -> bool:
        """Get tokens from the account's issuer; False if that did not answer."""
        demand_per_s = self._steering.shares.demand_per_s(account.name)
        wanted = 1 + ceil(demand_per_s * self._settings.prefetch_s)
        issuer = self._issuer.issuer_of(account.name, now_s)
        if issuer.vm == self._steering.fleet.own.vm:
            self._cache.put(account.name, self._issuer.grant(account, wanted, now_s), now_s)
            return True
        number = next(self._numbers)
        ask = self._asks[number] = _OpenAsk()
        message = encode_token_message(TokenAsk(number, account.name, wanted))
        await self._datagrams.send(message, [issuer.host])
        try:
            async with curio.timeout_after(self._settings.ask_timeout_s):
                await ask.is_answered.wait()
        except curio.TaskTimeout:
            return False
        finally:
            self._asks.pop(number, None)
        return True
