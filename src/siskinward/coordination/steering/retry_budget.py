"""Bounds the retries of each service over all VMs: the sends beyond the first of each request.

Handles targets that shed load, fail or lose answers while callers retry as well. Each VM may send
retries up to a ratio of its own requests, plus an equal share of a fixed allowance.
"""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

from attrs import define
from attrs import field
from attrs import frozen

if TYPE_CHECKING:
    from siskinward.coordination.steering.fleet import Fleet
    from siskinward.state.identifiers import ServiceName
    from siskinward.state.serving import ServingBounds


@frozen
class RetrySettings:
    """Fractions of the configured bounds that are used.

    The rest covers VMs that restart, and so forget their retries, within a window.
    """

    ratio_fraction: float = 0.8
    allowance_fraction: float = 0.5


@define
class _ServiceWindow:
    requests: deque[float] = field(factory=deque)
    repeats: deque[float] = field(factory=deque)


class RetryBudget:
    """This VM's share of the retry budget of each service."""

    def __init__(self, settings: RetrySettings, bounds: ServingBounds, fleet: Fleet) -> None:
        self._settings = settings
        self.bounds = bounds
        self._fleet = fleet
        self._windows: dict[ServiceName, _ServiceWindow] = {}

    def on_request(self, service: ServiceName, now_s: float) -> None:
        """Count a request of a caller; the budget grows with it."""
        self._window(service, now_s).requests.append(now_s)

    def try_take(self, service: ServiceName, now_s: float) -> bool:
        """Take one retry out of the budget; return False if it is used up."""
        window = self._window(service, now_s)
        if len(window.repeats) + 1 > self._allowed(window, now_s):
            return False
        window.repeats.append(now_s)
        return True

    def remaining(self, service: ServiceName, now_s: float) -> float:
        """Return the number of retries that the budget still allows."""
        window = self._window(service, now_s)
        return self._allowed(window, now_s) - len(window.repeats)

    def _allowed(self, window: _ServiceWindow, now_s: float) -> float:
        ratio = self.bounds.retry_ratio * self._settings.ratio_fraction
        allowance = self.bounds.retry_slack_requests * self._settings.allowance_fraction
        return ratio * len(window.requests) + allowance / self._fleet.presumed_vm_count(now_s)

    def _window(self, service: ServiceName, now_s: float) -> _ServiceWindow:
        window = self._windows.setdefault(service, _ServiceWindow())
        since_s = now_s - self.bounds.retry_window_s
        for times in (window.requests, window.repeats):
            while times and times[0] <= since_s:
                times.popleft()
        return window
