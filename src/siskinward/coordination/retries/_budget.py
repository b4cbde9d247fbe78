"""Retry budget of one service on one VM, which keeps retries a fraction of first attempts."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from siskinward.coordination.retries._settings import RetrySettings

RETRY_COST_TOKENS = 1.0


class RetryBudget:
    """A bucket that gains a fraction of a token per first attempt; a retry or hedge costs one.

    Each VM's budget grows only with its own first attempts. So, without any message between VMs,
    the retries of the fleet stay within the same fraction of its first attempts, plus the tokens
    that the budgets start with.
    """

    def __init__(self, settings: RetrySettings) -> None:
        self._settings = settings
        self._tokens = settings.budget_limit_tokens

    @property
    def tokens(self) -> float:
        """Return the number of tokens left."""
        return self._tokens

    def on_first_attempt(self) -> None:
        """Add the tokens that the first attempt of a request earns."""
        tokens = self._tokens + self._settings.earned_tokens_per_request
        self._tokens = min(tokens, self._settings.budget_limit_tokens)

    def try_spend(self) -> bool:
        """Deduct the cost of one retry or hedge; return False if there are too few tokens."""
        if self._tokens < RETRY_COST_TOKENS:
            return False
        self._tokens -= RETRY_COST_TOKENS
        return True
