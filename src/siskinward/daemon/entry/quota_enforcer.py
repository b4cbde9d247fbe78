"""Enforces client accounts' limits over all VMs, by issued tokens or by this VM's share."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import field
from attrs import frozen

from siskinward.coordination.steering.account_tokens import TokenAsk
from siskinward.coordination.steering.account_tokens import TokenCache
from siskinward.coordination.steering.account_tokens import TokenGrant
from siskinward.daemon.entry.peer_asks import AskSettings
from siskinward.daemon.entry.peer_asks import PeerAsks
from siskinward.protocol.heartbeats import encode_token_message
from siskinward.state.identifiers import VmName
from siskinward.transport.clock import read_clock_s

if TYPE_CHECKING:
    from siskinward.coordination.steering.fleet import EntryVm
    from siskinward.daemon.entry.steering import Steering
    from siskinward.state.serving import AccountPolicy
    from siskinward.transport.peer_datagram_socket import PeerDatagramSocket


@frozen
class QuotaSettings:
    """How tokens are requested from an account's issuer.

    An ask covers the demand of ``prefetch_s``. While the heartbeats of an issuer that does not
    answer still arrive, requests of its accounts are refused, with the pause of ``asks`` as the
    time to retry after.
    """

    prefetch_s: float = 0.2
    asks: AskSettings = field(factory=AskSettings)


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


class QuotaEnforcer:
    """Decides whether a request is within the limit of its client account."""

    def __init__(
        self, settings: QuotaSettings, steering: Steering, datagrams: PeerDatagramSocket
    ) -> None:
        self._settings = settings
        self._steering = steering
        self._datagrams = datagrams
        self._cache = TokenCache(steering.settings.tokens)
        self._asks: PeerAsks[TokenGrant] = PeerAsks(settings.asks, datagrams)

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
            return OverQuota(self._settings.asks.pause_s, None)
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
        if await self._asks.on_answer(grant.number, grant):
            self._cache_surplus(grant)

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
        ask = TokenAsk(self._asks.next_number(), account.name, wanted)
        if issuer == self._steering.fleet.own:
            grant = self._steering.issuer.grant(account, ask, now_s)
            self._cache_surplus(grant)
            return grant
        return await self._asks.ask(issuer, ask.number, encode_token_message(ask))

    def _cache_surplus(self, grant: TokenGrant) -> None:
        """Cache all tokens of a grant but the first, which the asking request uses."""
        self._cache.put(grant.account, grant.granted - 1, read_clock_s())
