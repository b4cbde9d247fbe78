"""Schedule of the calls to the platform that every VM makes, with jitter and backoff."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import frozen

if TYPE_CHECKING:
    from random import Random

BACKOFF_FACTOR = 2.0


@frozen
class PollSettings:
    """Mean interval and its jitter; shortest and longest delay after failed calls."""

    interval_s: float
    retry_s: float
    backoff_limit_s: float
    jitter_share: float = 0.2


class PollSchedule:
    """Computes the delay before the next call.

    Delays are random, so that the VMs do not all call the platform at once when an outage ends.
    """

    def __init__(self, settings: PollSettings, random: Random) -> None:
        self._settings = settings
        self._random = random
        self._failure_count = 0

    def next_delay_s(self, *, has_failed: bool) -> float:
        """Return the delay before the next call; its upper bound grows while calls fail."""
        settings = self._settings
        if not has_failed:
            self._failure_count = 0
            share = self._random.uniform(-settings.jitter_share, settings.jitter_share)
            return settings.interval_s * (1.0 + share)
        self._failure_count += 1
        ceiling_s = settings.retry_s * BACKOFF_FACTOR**self._failure_count
        if ceiling_s >= settings.backoff_limit_s:
            ceiling_s = settings.backoff_limit_s
            self._failure_count -= 1
        return self._random.uniform(settings.retry_s, ceiling_s)
