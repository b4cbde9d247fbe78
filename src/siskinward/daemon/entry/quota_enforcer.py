"""Enforces client accounts' limits over all VMs, by issued tokens or by this VM's share."""

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
    from siskinward.transport.peer_datagram_socket import PeerDatagramSocket


@frozen
class QuotaSettings:
    """How tokens are requested from an account's issuer.

    An ask covers the demand of ``prefetch_s`` and is sent up to ``max_asks`` times. An issuer that
    answers none of them is not asked again for ``pause_s``. While its heartbeats still arrive,
    requests of its accounts are refused, with ``pause_s`` as the time to retry after.
    """

    prefetch_s: float = 0.2
    max_asks: int = 2
    ask_timeout_s: float = 0.15
    pause_s: float = 0.3


@frozen
class WithinQuota:
    """The request may run."""


@frozen
class OverQuota:
    """The account has used up its limit; retry after ``retry_after_s``.

    ``issuer`` is the VM that refused, or None if the issuer did not answer.
    """

    retry_after_s: float
    issuer: VmName | None


@define(eq=False)
class _PendingAsk:
    grant: TokenGrant | None = None
    is_answered: curio.Event = field(factory=curio.Event)


class QuotaEnforcer:
    """Decides whether a request is within the limit of its client account."""

    def __init__(
        self, settings: QuotaSettings, steering: Steering, datagrams: PeerDatagramSocket
    ) -> None:
        self._settings = settings
        self._steering = steering
        self._datagrams = datagrams
        self._cache = TokenCache(steering.settings.tokens)
        self._asks: dict[int, _PendingAsk] = {}
        self._paused_until_s: dict[IncarnationId, float] = {}
        self._numbers = count(1)

    async def try_take(self, account: AccountPolicy) -> WithinQuota | OverQuota:
        """Take a token for one request of an account."""
        if account.rate_per_s <= 0:
            return WithinQuota()
        shares = self._steering.shares
        shares.record_arrival(account.name)
        if self._cache.try_take(account.name, read_clock_s()):
            return WithinQuota()
        issuer = self._steering.issuer.issuer_of(account.name, read_clock_s())
        grant = await self._fetch_tokens(account, issuer)
        now_s = read_clock_s()
        if grant is None:
            return self._take_from_share(account, issuer, now_s)
        if grant.granted:
            return WithinQuota()
        return OverQuota(grant.retry_after_s, issuer.vm)

    def _take_from_share(
        self, account: AccountPolicy, issuer: EntryVm, now_s: float
    ) -> WithinQuota | OverQuota:
        """Take a token from this VM's share while the issuer is suspected to be unreachable.

        An issuer that still runs stops issuing this VM's share after the same silence, so the
        limit holds.
        """
        shares = self._steering.shares
        since_s = self._steering.fleet.suspected_since_s(issuer.vm, now_s)
        if since_s is None:
            return OverQuota(self._settings.pause_s, None)
        if shares.try_take(account, since_s, now_s):
            return WithinQuota()
        return OverQuota(shares.retry_after_s(account), None)

    def refund(self, account: AccountPolicy) -> None:
        """Return the token of a request that did not run."""
        self._cache.put(account.name, 1, read_clock_s())

    async def on_ask(self, ask: TokenAsk, host: str) -> None:
        """Answer another VM's ask if this VM considers itself the account's issuer."""
        grant = self._grant(ask, read_clock_s())
        if grant is not None:
            await self._datagrams.send(encode_token_message(grant), [host])

    async def on_grant(self, grant: TokenGrant) -> None:
        """Record a grant; discard it if its ask has timed out."""
        ask = self._asks.pop(grant.number, None)
        if ask is not None:
            ask.grant = grant
            self._cache_surplus(grant)
            await ask.is_answered.set()

    def _grant(self, ask: TokenAsk, now_s: float) -> TokenGrant | None:
        index = self._steering.index
        account = index.account(ask.account) if index else None
        if account is None or not self._steering.issuer.is_issuer_of(account.name, now_s):
            return None
        return self._steering.issuer.grant(account, ask, now_s)

    async def _fetch_tokens(self, account: AccountPolicy, issuer: EntryVm) -> TokenGrant | None:
        """Get tokens from the account's issuer; None if it does not answer."""
        now_s = read_clock_s()
        demand_per_s = self._steering.shares.demand_per_s(account.name)
        wanted = 1 + int(demand_per_s * self._settings.prefetch_s)
        ask = TokenAsk(next(self._numbers), account.name, wanted)
        if issuer == self._steering.fleet.own:
            grant = self._steering.issuer.grant(account, ask, now_s)
            self._cache_surplus(grant)
            return grant
        if now_s < self._paused_until_s.get(issuer.incarnation, 0.0):
            return None
        return await self._ask(issuer, ask)

    def _cache_surplus(self, grant: TokenGrant) -> None:
        """Cache all tokens of a grant but the first, which the asking request uses."""
        self._cache.put(grant.account, grant.granted - 1, read_clock_s())

    async def _ask(self, issuer: EntryVm, ask: TokenAsk) -> TokenGrant | None:
        pending_ask = self._asks[ask.number] = _PendingAsk()
        try:
            for _ in range(self._settings.max_asks):
                await self._datagrams.send(encode_token_message(ask), [issuer.host])
                async with curio.ignore_after(self._settings.ask_timeout_s):
                    await pending_ask.is_answered.wait()
                if pending_ask.grant is not None:
                    return pending_ask.grant
        finally:
            self._asks.pop(ask.number, None)
        now_s = read_clock_s()
        paused = {name: end_s for name, end_s in self._paused_until_s.items() if end_s > now_s}
        self._paused_until_s = {**paused, issuer.incarnation: now_s + self._settings.pause_s}
        return None
