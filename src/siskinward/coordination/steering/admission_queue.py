"""Orders requests that wait for capacity at a service's targets, and rejects the excess.

Handles load beyond all slots: a request waits only while it can still be answered within its
latency objective. Otherwise it is rejected on arrival, so that its caller can retry later.
"""

from __future__ import annotations

from collections import deque

from attrs import define
from attrs import frozen

from siskinward.state.identifiers import AccountName


@frozen
class QueueSettings:
    """Limits of the queue, and of the retry times that rejected callers get.

    ``max_wait_fraction`` is the fraction of the latency objective that a request may spend waiting.
    The rate of starts is measured over the last ``rate_window_s``. At most ``limit`` requests wait.
    """

    max_wait_fraction: float = 0.4
    min_retry_after_s: float = 0.25
    max_retry_after_s: float = 2.0
    rate_window_s: float = 2.0
    limit: int = 64


@frozen
class QueueEntry:
    """One waiting request; a smaller ``priority`` is more urgent."""

    number: int
    account: AccountName | None
    priority: int
    arrived_s: float
    start_by_s: float


@frozen
class Queued:
    """The request may wait until ``start_by_s``."""

    entry: QueueEntry


@frozen
class Rejected:
    """The request cannot be started in time."""

    retry_after_s: float


@define
class _StartTimes:
    times: deque[float]

    def rate_per_s(self, now_s: float, window_s: float) -> float:
        while self.times and self.times[0] <= now_s - window_s:
            self.times.popleft()
        return len(self.times) / window_s


class AdmissionQueue:
    """The waiting requests of one service at this VM."""

    def __init__(self, settings: QueueSettings) -> None:
        self._settings = settings
        self._entries: dict[int, QueueEntry] = {}
        self._last_number = 0
        self._starts = _StartTimes(deque())

    @property
    def waiting(self) -> int:
        """Number of waiting requests."""
        return len(self._entries)

    def record_start(self, now_s: float) -> None:
        """Count a request that was sent to a target, towards the rate of starts."""
        self._starts.times.append(now_s)

    def try_enqueue(
        self,
        account: AccountName | None,
        *,
        priority: int,
        objective_s: float,
        arrived_s: float,
        deadline_s: float,
        now_s: float,
    ) -> Queued | Rejected:
        """Add a request that found no capacity, or reject it if it would start too late."""
        max_wait_s = objective_s * self._settings.max_wait_fraction
        start_by_s = min(arrived_s + max_wait_s, deadline_s)
        ahead = sum(entry.priority <= priority for entry in self._entries.values())
        wait_s = self._expected_wait_s(ahead, now_s)
        if now_s + wait_s >= start_by_s or self.waiting >= self._settings.limit:
            return Rejected(self._retry_after_s(now_s))
        self._last_number += 1
        entry = QueueEntry(self._last_number, account, priority, arrived_s, start_by_s)
        self._entries[entry.number] = entry
        return Queued(entry)

    def remove(self, entry: QueueEntry) -> None:
        """Remove a request that was started, timed out or cancelled."""
        self._entries.pop(entry.number, None)

    def in_order(self) -> list[QueueEntry]:
        """Return the waiting requests in the order in which to try to start them."""
        return sorted(self._entries.values(), key=lambda entry: (entry.priority, entry.start_by_s))

    def create_rejection(self, now_s: float) -> Rejected:
        """Return the rejection of a request that can no longer be started in time."""
        return Rejected(self._retry_after_s(now_s))

    def _expected_wait_s(self, ahead: int, now_s: float) -> float:
        rate_per_s = self._starts.rate_per_s(now_s, self._settings.rate_window_s)
        return ahead / rate_per_s if rate_per_s > 0 else 0.0

    def _retry_after_s(self, now_s: float) -> float:
        backlog_s = self._expected_wait_s(self.waiting + 1, now_s)
        settings = self._settings
        return min(max(backlog_s, settings.min_retry_after_s), settings.max_retry_after_s)
