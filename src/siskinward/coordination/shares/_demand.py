"""Exponentially weighted estimate of a demand rate."""

from __future__ import annotations

from math import exp

STOPPED_AFTER_MISSED_UNITS = 5.0


class DemandEstimate:
    """Demand in units per second, averaged over ``window_s``."""

    def __init__(self, window_s: float) -> None:
        self._window_s = window_s
        self._rate_per_s = 0.0
        self._updated_s = 0.0
        self.last_demand_s = float("-inf")

    def add(self, units: float, now_s: float) -> None:
        """Record demand for ``units``."""
        self._rate_per_s = self.rate_per_s(now_s) + units / self._window_s
        self._updated_s = now_s
        self.last_demand_s = now_s

    def rate_per_s(self, now_s: float) -> float:
        """Return the estimated rate at ``now_s``."""
        elapsed_s = now_s - self._updated_s
        if elapsed_s <= 0:
            return self._rate_per_s
        return self._rate_per_s * exp(-elapsed_s / self._window_s)

    def has_stopped(self, now_s: float) -> bool:
        """Return whether more than ``STOPPED_AFTER_MISSED_UNITS`` were expected but none came."""
        silent_s = now_s - self.last_demand_s
        return silent_s * self.rate_per_s(now_s) > STOPPED_AFTER_MISSED_UNITS
