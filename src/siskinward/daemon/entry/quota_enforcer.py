"""Holds client accounts to their limits over all VMs, by divided parts and by issued tokens."""

from __future__ import annotations

from itertools import count
from typing import TYPE_CHECKING

import curio
from attrs import define
from attrs import field
from attrs import frozen

from siskinward.coordination.steering.account_tokens import TokenAsk
from siskinward.coordination.steering.account_tokens import TokenCache
from siskinward.coordination.steering.account_tokens import TokenGrant
from siskinward.protocol.heartbeats import encode_token_message
from siskinward.state.identifiers import VmName
from siskinward.transport.clock import read_clock_s

if TYPE_CHECKING:
    from siskinward.coordination.steering.fleet import EntryVm
    from siskinward.daemon.entry.steering import Steering
    from siskinward.state.identifiers import IncarnationId
    from siskinward.state.serving import AccountPolicy
    from siskinward.transport.peer_datagrams import PeerDatagrams


@frozen
class QuotaSettings:
    """An ask covers the demand of ``prefetch_s``; it is sent up to ``asks`` times.

    An issuer that has not answered them is not asked again for ``pause_s``, and accounts wait that
    long where the issuer's heartbeats still arrive.
    """

    prefetch_s: float = 0.2
    asks: int = 2
    ask_timeout_s: float = 0.15
    pause_s: float = 0.3


@frozen
class WithinQuota:
    """The request may run."""


@frozen
class OverQuota:
    """The account has used its limit up; a token is due after ``retry_after_s``.

    ``issuer`` is the VM that said so, or None where the issuer did not answer.
    """

    retry_after_s: float
    issuer: VmName | None


@define(eq=False)
class _OpenAsk:
    grant: TokenGrant | None = None
    is_answered: curio.Event = field(factory=curio.Event)


class QuotaEnforcer:
    """Decides for each request whether its account may have it run."""

    def __init__(
        self, settings: QuotaSettings, steering: Steering, datagrams: PeerDatagrams
    ) -> None:
        self._settings = settings
        self._steering = steering
        self._datagrams = datagrams
        self._cache = TokenCache(steering.settings.tokens)
        self._asks: dict[int, _OpenAsk] = {}
        self._paused_until_s: dict[IncarnationId, float] = {}
        self._numbers = count(1)

    async def try_take(self, account: AccountPolicy) -> WithinQuota | OverQuota:
        """Take one request of an account's limit."""
        if account.rate_per_s <= 0:
            return WithinQuota()
        shares = self._steering.shares
        shares.note_arrival(account.name)
        if self._cache.try_take(account.name, read_clock_s()):
            return WithinQuota()
        issuer = self._steering.issuer.issuer_of(account.name, read_clock_s())
        grant = await self._fetch(account, issuer)
        now_s = read_clock_s()
        if grant is None:
            return self._take_own_part(account, issuer, now_s)
        if grant.granted:
            return WithinQuota()
        return OverQuota(grant.retry_after_s, issuer.vm)

    def _take_own_part(
        self, account: AccountPolicy, issuer: EntryVm, now_s: float
    ) -> WithinQuota | OverQuota:
        """Use this VM's part; the issuer counts this VM as cut off as soon as it is suspected."""
        shares = self._steering.shares
        since_s = self._steering.fleet.suspected_since_s(issuer.vm, now_s)
        if since_s is None:
            return OverQuota(self._settings.pause_s, None)
        if shares.try_take(account, since_s, now_s):
            return WithinQuota()
        return OverQuota(shares.retry_after_s(account), None)

    def refund(self, account: AccountPolicy) -> None:
        """Return what a request took that did not run."""
        self._cache.put(account.name, 1, read_clock_s())

    async def on_ask(self, ask: TokenAsk, host: str) -> None:
        """Answer another VM, unless another issuer is known here."""
        grant = self._grant(ask, read_clock_s())
        if grant is not None:
            await self._datagrams.send(encode_token_message(grant), [host])

    async def on_grant(self, grant: TokenGrant) -> None:
        """Take in tokens; those of an ask that was given up are void."""
        ask = self._asks.pop(grant.number, None)
        if ask is not None:
            ask.grant = grant
            self._keep_spare(grant)
            await ask.is_answered.set()

    def _grant(self, ask: TokenAsk, now_s: float) -> TokenGrant | None:
        index = self._steering.index
        account = index.account(ask.account) if index else None
        if account is None or not self._steering.issuer.is_issuer_of(account.name, now_s):
            return None
        return self._steering.issuer.grant(account, ask, now_s)

    async def _fetch(self, account: AccountPolicy, issuer: EntryVm) -> TokenGrant | None:
        """Get tokens from the account's issuer; None if that does not answer."""
        now_s = read_clock_s()
        demand_per_s = self._steering.shares.demand_per_s(account.name)
        wanted = 1 + int(demand_per_s * self._settings.prefetch_s)
        ask = TokenAsk(next(self._numbers), account.name, wanted)
        if issuer == self._steering.fleet.own:
            grant = self._steering.issuer.grant(account, ask, now_s)
            self._keep_spare(grant)
            return grant
        if now_s < self._paused_until_s.get(issuer.incarnation, 0.0):
            return None
        return await self._ask(issuer, ask)

    def _keep_spare(self, grant: TokenGrant) -> None:
        """Keep what a grant holds beyond the request that asked, which has the first token."""
        self._cache.put(grant.account, grant.granted - 1, read_clock_s())

    async def _ask(self, issuer: EntryVm, ask: TokenAsk) -> TokenGrant | None:
        open_ask = self._asks[ask.number] = _OpenAsk()
        try:
            for _ in range(self._settings.asks):
                await self._datagrams.send(encode_token_message(ask), [issuer.host])
                async with curio.ignore_after(self._settings.ask_timeout_s):
                    await open_ask.is_answered.wait()
                if open_ask.grant is not None:
                    return open_ask.grant
        finally:
            self._asks.pop(ask.number, None)
        now_s = read_clock_s()
        paused = {name: end_s for name, end_s in self._paused_until_s.items() if end_s > now_s}
        self._paused_until_s = {**paused, issuer.incarnation: now_s + self._settings.pause_s}
        return None
