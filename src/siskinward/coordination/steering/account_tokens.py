"""Issues single requests of a client account's limit to many VMs.

Answers fleets so large that an equal or proportional part of a limit is less than a request. One
VM, named by rendezvous hashing among the live ones, issues an account's tokens at its rate, scaled
by the part of all VMs that it hears: each side of a cut has an issuer of its own, and together they
issue no more than the whole. Tokens that are not used soon are void.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define
from attrs import frozen

from siskinward.state.identifiers import AccountName

if TYPE_CHECKING:
    from siskinward.coordination.steering.fleet import EntryVm
    from siskinward.coordination.steering.fleet import Fleet
    from siskinward.state.serving import AccountPolicy


@frozen
class TokenAsk:
    """Asks an account's issuer for tokens."""

    number: int
    account: AccountName
    wanted: int


@frozen
class TokenGrant:
    """Answers an ask; ``granted`` may be 0."""

    number: int
    account: AccountName
    granted: int


@frozen
class TokenSettings:
    """An issuer begins with what the rate earns in ``takeover_s``: its predecessor had the burst.

    ``token_life_s`` bounds how long a VM may hold tokens.
    """

    takeover_s: float = 0.8
    token_life_s: float = 0.5


@define
class _Bucket:
    tokens: float
    refilled_at_s: float


@define
class _Batch:
    tokens: int
    expires_at_s: float


class TokenIssuer:
    """Issues the tokens of the accounts that fall to this VM."""

    def __init__(self, settings: TokenSettings, fleet: Fleet) -> None:
        self._settings = settings
        self._fleet = fleet
        self._buckets: dict[AccountName, _Bucket] = {}

    def issuer_of(self, account: AccountName, now_s: float) -> EntryVm:
        """The VM that issues an account's tokens, as seen from here."""
        return self._fleet.owner_of(account, now_s)

    def grant(self, account: AccountPolicy, wanted: int, now_s: float) -> int:
        """Issue up to ``wanted`` tokens."""
        scale = len(self._fleet.live(now_s)) / self._fleet.counted(now_s)
        rate_per_s = account.rate_per_s * min(1.0, scale)
        capacity = max(1.0, account.burst_requests * min(1.0, scale))
        bucket = self._buckets.get(account.name)
        if bucket is None:
            tokens = rate_per_s * self._settings.takeover_s
            bucket = self._buckets[account.name] = _Bucket(tokens, now_s)
        elapsed_s = max(0.0, now_s - bucket.refilled_at_s)
        bucket.tokens = min(capacity, bucket.tokens + rate_per_s * elapsed_s)
        bucket.refilled_at_s = now_s
        granted = min(max(0, wanted), int(bucket.tokens))
        bucket.tokens -= granted
        return granted


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
