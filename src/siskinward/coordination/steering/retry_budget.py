"""Bounds the sends beyond the first of each request, per service and over all VMs.

Answers targets that shed, fail or lose answers while callers repeat: each VM may add the stated
share of its own requests, and an equal part of the fixed allowance.
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
    """Parts of the stated bounds that are used, since VMs may be restarted within a window."""

    ratio_part: float = 0.8
    allowance_part: float = 0.5


@define
class _ServiceWindow:
    requests: deque[float] = field(factory=deque)
    repeats: deque[float] = field(factory=deque)


class RetryBudget:
    """This VM's part of the retry budget."""

    def __init__(self, settings: RetrySettings, bounds: ServingBounds, fleet: Fleet) -> None:
        self._settings = settings
        self.bounds = bounds
        self._fleet = fleet
        self._windows: dict[ServiceName, _ServiceWindow] = {}

    def on_request(self, service: ServiceName, now_s: float) -> None:
        """Count a request of a caller."""
        self._window(service, now_s).requests.append(now_s)

    def try_take(self, service: ServiceName, now_s: float) -> bool:
        """Take the allowance for one more send; False if it is used up."""
        window = self._window(service, now_s)
        if len(window.repeats) + 1 > self._allowed(window, now_s):
            return False
        window.repeats.append(now_s)
        return True

    def remaining(self, service: ServiceName, now_s: float) -> float:
        """Sends that the budget still allows."""
        window = self._window(service, now_s)
        return self._allowed(window, now_s) - len(window.repeats)

    def _allowed(self, window: _ServiceWindow, now_s: float) -> float:
        ratio = self.bounds.retry_ratio * self._settings.ratio_part
        allowance = self.bounds.retry_slack_requests * self._settings.allowance_part
        return ratio * len(window.requests) + allowance / self._fleet.presumed_vm_count(now_s)

    def _window(self, service: ServiceName, now_s: float) -> _ServiceWindow:
        window = self._windows.setdefault(service, _ServiceWindow())
        since_s = now_s - self.bounds.retry_window_s
        for times in (window.requests, window.repeats):
            while times and times[0] <= since_s:
                times.popleft()
        return window
