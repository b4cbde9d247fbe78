"""Moving estimate of how long a request occupies a slot."""

from __future__ import annotations


class ServiceTimeEstimate:
    """Exponentially weighted mean and mean deviation of recent service times."""

    def __init__(self, *, initial_s: float, smoothing: float) -> None:
        self._mean_s = initial_s
        self._deviation_s = 0.0
        self._smoothing = smoothing

    @property
    def mean_s(self) -> float:
        """Mean service time."""
        return self._mean_s

    @property
    def conservative_s(self) -> float:
        """Mean plus mean deviation: a service time that most requests stay within."""
        return self._mean_s + self._deviation_s

    def observe(self, service_s: float) -> None:
        """Update the estimate with one service time."""
        error_s = service_s - self._mean_s
        self._mean_s += self._smoothing * error_s
        self._deviation_s += self._smoothing * (abs(error_s) - self._deviation_s)
