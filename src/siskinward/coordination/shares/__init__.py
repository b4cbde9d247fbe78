"""Fleet-wide rate limits, enforced by issuers that grant tokens to a share pool on each VM."""

from __future__ import annotations

from siskinward.coordination.shares.issuer import ShareIssuer
from siskinward.coordination.shares.keys import AccountTokens
from siskinward.coordination.shares.keys import LinkBytes
from siskinward.coordination.shares.keys import ResourceKey
from siskinward.coordination.shares.keys import RetryTokens
from siskinward.coordination.shares.keys import ShiftShare
from siskinward.coordination.shares.messages import ISSUER_MESSAGES
from siskinward.coordination.shares.messages import MESSAGES
from siskinward.coordination.shares.messages import POOL_MESSAGES
from siskinward.coordination.shares.outcomes import Refused
from siskinward.coordination.shares.outcomes import Reservation
from siskinward.coordination.shares.outcomes import Settlement
from siskinward.coordination.shares.outcomes import Spent
from siskinward.coordination.shares.outcomes import Wait
from siskinward.coordination.shares.pool import IssuerHolders
from siskinward.coordination.shares.pool import SharePool
from siskinward.coordination.shares.settings import ShareSettings

__all__ = [
    "ISSUER_MESSAGES",
    "MESSAGES",
    "POOL_MESSAGES",
    "AccountTokens",
    "IssuerHolders",
    "LinkBytes",
    "Refused",
    "Reservation",
    "ResourceKey",
    "RetryTokens",
    "Settlement",
    "ShareIssuer",
    "SharePool",
    "ShareSettings",
    "ShiftShare",
    "Spent",
    "Wait",
]
