"""Retry ledger of one service at one VM: retries stay a fraction of first attempts."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from siskinward.coordination.retries._settings import RetrySettings

RETRY_COST_TOKENS = 1.0


class RetryBudget:
    """Earns a fraction of a token per first attempt; each retry and each hedge costs one.

    Every VM earns from its own first attempts, so the fleet's retries stay below the same
    fraction of its first attempts plus the tokens that the ledgers start with, with no message.
    """

    def __init__(self, settings: RetrySettings) -> None:
        self._settings = settings
        self._tokens = settings.ledger_limit_tokens

    @property
    def tokens(self) -> float:
        """Tokens left."""
        return self._tokens

    def on_first_attempt(self) -> None:
        """Earn for a request's first attempt."""
        tokens = self._tokens + self._settings.earned_tokens_per_request
        self._tokens = min(tokens, self._settings.ledger_limit_tokens)

    def spend(self) -> bool:
        """Pay for one retry or hedge, if there is a token."""
        if self._tokens < RETRY_COST_TOKENS:
            return False
        self._tokens -= RETRY_COST_TOKENS
        return True
