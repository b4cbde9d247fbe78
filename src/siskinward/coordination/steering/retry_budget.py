"""Bounds the retries of each service over all VMs: the sends beyond the first of each request.

Handles targets that shed load, fail or lose answers while callers retry and VMs are killed. A VM
knows neither the retries of others nor those of its own predecessor, so it spends only what it has
earned since its start: a fraction of a retry for each of its requests, and its share of a fixed
allowance over each window. All VMs together thus send no more retries in a window than they had
saved before it and earn within it, however often any of them starts again.
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
    """Fractions of the configured bounds that are used, and what a VM may save.

    Requests earn ``ratio_fraction`` of the configured ratio. A VM saves what the requests of the
    last ``saving_s`` have earned, and its share of the allowance. The allowance is spent twice
    where a window begins with all of it saved, so ``allowance_fraction`` is below a half.
    """

    ratio_fraction: float = 0.7
    saving_s: float = 3.5
    allowance_fraction: float = 0.4


@define
class _Savings:
    """Retries that were earned and not spent, and the requests that count for their limit."""

    updated_s: float
    retries: float = 0.0
    requests: deque[float] = field(factory=deque)


class RetryBudget:
    """This VM's part of the retry budget of each service."""

    def __init__(
        self, settings: RetrySettings, bounds: ServingBounds, fleet: Fleet, started_s: float
    ) -> None:
        self._settings = settings
        self.bounds = bounds
        self._fleet = fleet
        self._started_s = started_s
        self._savings: dict[ServiceName, _Savings] = {}

    def on_request(self, service: ServiceName, now_s: float) -> None:
        """Count a request of a caller, which earns a fraction of a retry."""
        savings = self._update(service, now_s)
        savings.requests.append(now_s)
        savings.retries = min(savings.retries + self._ratio, self._limit(savings, now_s))

    def try_take(self, service: ServiceName, now_s: float) -> bool:
        """Take one retry out of the budget; return False if it is used up."""
        savings = self._update(service, now_s)
        if savings.retries < 1.0:
            return False
        savings.retries -= 1.0
        return True

    def remaining(self, service: ServiceName, now_s: float) -> float:
        """Return the number of retries that the budget still allows."""
        return self._update(service, now_s).retries

    @property
    def _ratio(self) -> float:
        return self.bounds.retry_ratio * self._settings.ratio_fraction

    def _allowance(self, now_s: float) -> float:
        """Return this VM's share of the allowance; none until it knows how many VMs share it."""
        if not self._fleet.is_membership_loaded:
            return 0.0
        allowance = self.bounds.retry_slack_requests * self._settings.allowance_fraction
        return allowance / self._fleet.presumed_vm_count(now_s)

    def _limit(self, savings: _Savings, now_s: float) -> float:
        return self._ratio * len(savings.requests) + self._allowance(now_s)

    def _update(self, service: ServiceName, now_s: float) -> _Savings:
        """Add the part of the allowance earned since the last call; drop what is too old."""
        savings = self._savings.setdefault(service, _Savings(self._started_s))
        while savings.requests and savings.requests[0] <= now_s - self._settings.saving_s:
            savings.requests.popleft()
        elapsed_s = now_s - savings.updated_s
        earned = self._allowance(now_s) * elapsed_s / self.bounds.retry_window_s
        savings.retries = min(savings.retries + earned, self._limit(savings, now_s))
        savings.updated_s = now_s
        return savings
