"""Settings of retries, hedges and retry-after times."""

from __future__ import annotations

from attrs import frozen


@frozen
class RetrySettings:
    """Bounds on retries and hedges, and limits of retry-after times.

    A retry budget earns ``earned_tokens_per_request`` for each first attempt.
    """

    attempt_limit: int = 3
    earned_tokens_per_request: float = 0.1
    budget_limit_tokens: float = 20.0
    backoff_s: float = 0.01
    backoff_limit_s: float = 0.2
    min_time_left_s: float = 0.005
    hedge_quantile: float = 0.95
    hedge_samples: int = 256
    hedge_min_samples: int = 32
    retry_after_min_s: float = 0.05
    retry_after_limit_s: float = 30.0
    retry_after_jitter: float = 0.5
