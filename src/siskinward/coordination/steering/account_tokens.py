"""Issues tokens of a client account's limit, one per request, to the VMs that ask for them.

Handles accounts with few requests at each VM, where a divided limit would leave one VM short while
another has tokens to spare. One VM, selected by rendezvous hashing among the live ones, issues an
account's tokens at the account's rate. Unused tokens expire soon.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define
from attrs import frozen

from siskinward.coordination.steering.fleet_buckets import FleetBuckets
from siskinward.coordination.steering.fleet_buckets import FleetLimit
from siskinward.state.identifiers import AccountName

if TYPE_CHECKING:
    from siskinward.coordination.steering.fleet import EntryVm
    from siskinward.coordination.steering.fleet import Fleet
    from siskinward.coordination.steering.fleet_buckets import FleetBucket
    from siskinward.state.serving import AccountPolicy
    from siskinward.state.serving import ServingBounds


@frozen
class TokenAsk:
    """Asks an account's issuer for tokens."""

    number: int
    account: AccountName
    wanted: int


@frozen
class TokenGrant:
    """Answers a ``TokenAsk``; if ``granted`` is 0, the caller may retry after ``retry_after_s``."""

    number: int
    account: AccountName
    granted: int
    retry_after_s: float


@frozen
class TokenSettings:
    """Tokens of an issuer after a takeover, and the lifetime of tokens.

    After a takeover the issuer has no more tokens than the rate earns in ``takeover_s``.
    ``token_ttl_s`` bounds how long a VM may hold tokens. The bucket holds the burst and, to absorb
    uneven arrivals, ``slack_fraction`` of the requests that operators tolerate beyond a limit.
    Rejected callers are told to retry after at most ``max_retry_after_s``.
    """

    takeover_s: float = 0.4
    token_ttl_s: float = 0.5
    slack_fraction: float = 0.25
    max_retry_after_s: float = 2.0


@define
class _Batch:
    tokens: int
    expires_at_s: float


class TokenIssuer:
    """Issues the tokens of the accounts that this VM is the issuer of."""

    def __init__(self, settings: TokenSettings, bounds: ServingBounds, fleet: Fleet) -> None:
        self._settings = settings
        self.bounds = bounds
        self._fleet = fleet
        self._buckets = FleetBuckets(settings.takeover_s, fleet)

    def issuer_of(self, account: AccountName, now_s: float) -> EntryVm:
        """Return the VM that issues an account's tokens, by this VM's view of the live VMs."""
        return self._fleet.owner_of(account, now_s)

    def is_issuer_of(self, account: AccountName, now_s: float) -> bool:
        """Return whether this VM issues an account's tokens; VMs with another view may disagree."""
        return self.issuer_of(account, now_s) == self._fleet.own

    def update_membership(self, now_s: float) -> None:
        """Check whether the live VMs have changed; call it about once per heartbeat."""
        self._buckets.update_membership(now_s)

    def grant(self, account: AccountPolicy, ask: TokenAsk, now_s: float) -> TokenGrant:
        """Issue tokens, at most as many as wanted."""
        self.update_membership(now_s)
        bucket = self._buckets.refill(account.name, self._limit_of(account), now_s)
        granted = min(max(0, ask.wanted), int(bucket.tokens))
        bucket.tokens -= granted
        retry_after_s = 0.0 if granted else self._retry_after_s(bucket, account, now_s)
        return TokenGrant(ask.number, account.name, granted, retry_after_s)

    def _limit_of(self, account: AccountPolicy) -> FleetLimit:
        slack = self.bounds.quota_slack_requests * self._settings.slack_fraction
        return FleetLimit(account.rate_per_s, account.burst_requests + slack)

    def _retry_after_s(self, bucket: FleetBucket, account: AccountPolicy, now_s: float) -> float:
        rate_per_s = account.rate_per_s * self._buckets.scale(now_s)
        next_token_s = 1.0 / max(rate_per_s, 1.0 / self._settings.max_retry_after_s)
        latest_s = now_s + self._settings.max_retry_after_s
        bucket.next_retry_s = min(max(bucket.next_retry_s, now_s) + next_token_s, latest_s)
        return bucket.next_retry_s - now_s


class TokenCache:
    """The tokens that were granted to this VM and not used yet."""

    def __init__(self, settings: TokenSettings) -> None:
        self._settings = settings
        self._batches: dict[AccountName, list[_Batch]] = {}

    def put(self, account: AccountName, tokens: int, now_s: float) -> None:
        """Add the tokens of one grant."""
        if tokens > 0:
            batch = _Batch(tokens, now_s + self._settings.token_ttl_s)
            self._batches.setdefault(account, []).append(batch)

    def try_take(self, account: AccountName, now_s: float) -> bool:
        """Take one token that has not expired; return whether there was one."""
        batches = [batch for batch in self._batches.get(account, []) if now_s < batch.expires_at_s]
        if not batches:
            self._batches.pop(account, None)
            return False
        batches[0].tokens -= 1
        self._batches[account] = [batch for batch in batches if batch.tokens > 0]
        return True
