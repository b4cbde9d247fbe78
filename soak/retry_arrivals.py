"""Counts the retries that reach a service's targets, as the platform's rule counts them."""

from __future__ import annotations

from bisect import bisect_left
from bisect import bisect_right
from math import inf
from typing import TYPE_CHECKING

from attrs import frozen

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Sequence

    from siskinward.platform.standins import ArrivalRecord
    from siskinward.state.serving import ServingBounds


@frozen
class RetryWindow:
    """The arrivals beyond the first of each request in a window, and how many are allowed."""

    end_s: float
    retries: int
    allowed: float

    @property
    def excess(self) -> float:
        """Arrivals beyond those allowed; negative if the window keeps the budget."""
        return self.retries - self.allowed


def worst_window(
    sent_s: Iterable[float], arrivals: Iterable[ArrivalRecord], bounds: ServingBounds
) -> RetryWindow:
    """Return the window with the largest excess; rejected arrivals count, too.

    ``sent_s`` are the times at which callers sent the service's requests.
    """
    return worst_window_of_times(sent_s, retry_times_s(arrivals), bounds)


def worst_window_of_times(
    sent_s: Iterable[float], retries_s: Iterable[float], bounds: ServingBounds
) -> RetryWindow:
    """Return the window with the largest excess, from the times of requests and of retries.

    The requests of a window are its own, those of the window before it or of the one half a window
    before it, whichever are most.
    """
    sent = sorted(sent_s)
    retries = sorted(retries_s)
    window_s = bounds.retry_window_s
    worst = RetryWindow(0.0, 0, inf)
    for end_s in retries:
        requests = max(
            _count_until(sent, end_s - earlier_s, window_s)
            for earlier_s in (0.0, window_s / 2, window_s)
        )
        allowed = bounds.retry_ratio * requests + bounds.retry_slack_requests
        window = RetryWindow(end_s, _count_until(retries, end_s, window_s), allowed)
        worst = max(worst, window, key=lambda item: item.excess)
    return worst


def retry_times_s(arrivals: Iterable[ArrivalRecord]) -> list[float]:
    """Return the times of the arrivals beyond the first of each request, in order."""
    seen: set[str] = set()
    times_s = []
    for arrival in sorted(arrivals, key=lambda item: item.at_s):
        if arrival.attempt_id in seen:
            times_s.append(arrival.at_s)
        seen.add(arrival.attempt_id)
    return times_s


def _count_until(times_s: Sequence[float], end_s: float, window_s: float) -> int:
    return bisect_right(times_s, end_s) - bisect_left(times_s, end_s - window_s)
