"""Issues single requests of a client account's limit to many VMs.

Answers accounts whose requests are few at each VM, where a divided limit leaves one VM short while
another has some to spare. One VM, named by rendezvous hashing among the live ones, issues an
account's tokens at its rate, scaled by the part of all VMs that it hears: each side of a cut has an
issuer of its own, and together they issue no more than the whole. Tokens that are not used soon are
void.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define
from attrs import frozen

from siskinward.coordination.token_bucket import TokenBucket
from siskinward.state.identifiers import AccountName
from siskinward.state.identifiers import IncarnationId

if TYPE_CHECKING:
    from siskinward.coordination.steering.fleet import EntryVm
    from siskinward.coordination.steering.fleet import Fleet
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
    """Answers an ask; where ``granted`` is 0, the request may come back after ``retry_after_s``."""

    number: int
    account: AccountName
    granted: int
    retry_after_s: float


@frozen
class TokenSettings:
    """What an issuer has when the VMs change, and how long its tokens are valid.

    Another VM may have issued until then, and have used the burst: the issuer begins with no more
    than the rate earns in ``takeover_s``. ``token_life_s`` bounds how long a VM may hold tokens.
    ``slack_part`` of the requests that operators tolerate beyond a limit evens out arrivals.
    """

    takeover_s: float = 0.4
    token_life_s: float = 0.5
    slack_part: float = 0.25
    max_retry_after_s: float = 2.0


@define
class _Bucket(TokenBucket):
    """Tokens of one account; refused requests are told to come back one after the other."""

    next_return_s: float = 0.0


@define
class _Batch:
    tokens: int
    expires_at_s: float


class TokenIssuer:
    """Issues the tokens of the accounts that fall to this VM."""

    def __init__(self, settings: TokenSettings, bounds: ServingBounds, fleet: Fleet) -> None:
        self._settings = settings
        self.bounds = bounds
        self._fleet = fleet
        self._buckets: dict[AccountName, _Bucket] = {}
        self._incarnations: frozenset[IncarnationId] = frozenset()
        self._unchanged_since_s = 0.0

    def issuer_of(self, account: AccountName, now_s: float) -> EntryVm:
        """The VM that issues an account's tokens, as seen from here."""
        return self._fleet.owner_of(account, now_s)

    def is_issuer_of(self, account: AccountName, now_s: float) -> bool:
        """Whether this VM issues an account's tokens; VMs that hear others may see it otherwise."""
        return self.issuer_of(account, now_s) == self._fleet.own

    def update_membership(self, now_s: float) -> None:
        """Notice whether the live VMs have changed; call it about once a heartbeat."""
        incarnations = frozenset(vm.incarnation for vm in self._fleet.live(now_s))
        if incarnations != self._incarnations:
            self._incarnations = incarnations
            self._unchanged_since_s = now_s

    def grant(self, account: AccountPolicy, ask: TokenAsk, now_s: float) -> TokenGrant:
        """Issue up to as many tokens as are asked for."""
        self.update_membership(now_s)
        scale = min(1.0, self._fleet.unsuspected(now_s) / self._fleet.presumed_vm_count(now_s))
        bucket = self._refill(account, scale, now_s)
        granted = min(max(0, ask.wanted), int(bucket.tokens))
        bucket.tokens -= granted
        retry_after_s = 0.0 if granted else self._retry_after_s(bucket, account, scale, now_s)
        return TokenGrant(ask.number, account.name, granted, retry_after_s)

    def _refill(self, account: AccountPolicy, scale: float, now_s: float) -> _Bucket:
        rate_per_s = account.rate_per_s * scale
        at_takeover = rate_per_s * self._settings.takeover_s
        since_s = self._unchanged_since_s
        bucket = self._buckets.get(account.name)
        if bucket is None:
            bucket = self._buckets[account.name] = _Bucket(at_takeover, since_s)
        elif bucket.refilled_at_s < since_s:
            bucket.refill(rate_per_s, at_takeover, since_s)
        slack = self.bounds.quota_slack_requests * self._settings.slack_part
        bucket.refill(rate_per_s, max(1.0, (account.burst_requests + slack) * scale), now_s)
        return bucket

    def _retry_after_s(
        self, bucket: _Bucket, account: AccountPolicy, scale: float, now_s: float
    ) -> float:
        next_token_s = 1.0 / max(account.rate_per_s * scale, 1.0 / self._settings.max_retry_after_s)
        latest_s = now_s + self._settings.max_retry_after_s
        bucket.next_return_s = min(max(bucket.next_return_s, now_s) + next_token_s, latest_s)
        return bucket.next_return_s - now_s


class TokenCache:
    """The tokens that this VM holds."""

    def __init__(self, settings: TokenSettings) -> None:
        self._settings = settings
        self._batches: dict[AccountName, list[_Batch]] = {}

    def put(self, account: AccountName, tokens: int, now_s: float) -> None:
        """Take in tokens of one grant."""
        if tokens > 0:
            batch = _Batch(tokens, now_s + self._settings.token_life_s)
            self._batches.setdefault(account, []).append(batch)

    def try_take(self, account: AccountName, now_s: float) -> bool:
        """Use one token that is still valid."""
        batches = [batch for batch in self._batches.get(account, []) if now_s < batch.expires_at_s]
        if not batches:
            self._batches.pop(account, None)
            return False
        batches[0].tokens -= 1
        self._batches[account] = [batch for batch in batches if batch.tokens > 0]
        return True
