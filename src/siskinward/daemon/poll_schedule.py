"""Pace of calls to the platform that every VM makes: spread out, and slower while they fail."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import frozen

if TYPE_CHECKING:
    from random import Random

BACKOFF_FACTOR = 2.0


@frozen
class PollSettings:
    """Mean interval and how far single ones lie from it; shortest and longest after failures."""

    interval_s: float
    retry_s: float
    backoff_limit_s: float
    jitter_share: float = 0.2


class PollSchedule:
    """Tells how long to wait before the next call.

    VMs that saw the same outage end draw different times, so that the platform is not met by all
    of them at once.
    """

    def __init__(self, settings: PollSettings, random: Random) -> None:
        self._settings = settings
        self._random = random
        self._failure_count = 0

    def next_delay_s(self, *, has_failed: bool) -> float:
        """Return the time until the next call, given what became of the last one."""
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
