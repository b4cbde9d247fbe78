"""Calculation of the time after which a refused caller should retry."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from random import Random

    from siskinward.coordination.retries._settings import RetrySettings


class RetryAfterCalculator:
    """Computes jittered retry-after times from the time that a queue or a bucket needs."""

    def __init__(self, settings: RetrySettings, random: Random) -> None:
        self._settings = settings
        self._random = random

    def after_queue_s(self, queue_length: int, drain_per_s: float) -> float:
        """Return the jittered time in which the queue drains at its current rate."""
        if drain_per_s <= 0.0:
            return self.jittered_s(self._settings.retry_after_limit_s)
        return self.jittered_s(queue_length / drain_per_s)

    def after_bucket_s(self, missing_tokens: float, rate_per_s: float) -> float:
        """Return the jittered time in which the bucket gains the missing tokens."""
        if rate_per_s <= 0.0:
            return self.jittered_s(self._settings.retry_after_limit_s)
        return self.jittered_s(missing_tokens / rate_per_s)

    def jittered_s(self, wait_s: float) -> float:
        """Return ``wait_s``, raised or cut to the limits, plus a random fraction of it.

        The jitter only adds, so that no caller retries before ``wait_s``, unless no room is left
        for it below ``retry_after_limit_s``.
        """
        settings = self._settings
        least_s = max(wait_s, settings.retry_after_min_s)
        bounded_s = min(least_s, settings.retry_after_limit_s / (1.0 + settings.retry_after_jitter))
        return bounded_s * (1.0 + self._random.uniform(0.0, settings.retry_after_jitter))
