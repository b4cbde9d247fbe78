"""Estimate of the load at a destination that runs a service."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import frozen

from siskinward.coordination.routing._ramp import ramp_share

if TYPE_CHECKING:
    from siskinward.coordination.routing.messages import ServiceLoad
    from siskinward.coordination.routing.settings import RoutingSettings

MIN_OBSERVED_BACKLOG = 0.5
CONTENTION_EXPONENT = 4
MAX_CONTENTION_UTILISATION = 1.5


@frozen
class LoadEstimate:
    """Expected time until a request gets a slot, and expected requests for each slot."""

    wait_s: float
    utilisation: float


class LoadView:
    """Load at a destination: own outstanding requests, its reports, and observed waiting times.

    The number of own requests is exact. The rest of a report is weighted by its age and by the
    accuracy of earlier predictions; the remaining weight goes to the backlog that own requests
    observed there recently, or to the assumed utilisation if that is more.
    """

    def __init__(self, settings: RoutingSettings, now_s: float) -> None:
        self._settings = settings
        self._up_since_s = now_s
        self._reported_at_s = float("-inf")
        self._sequence = -1
        self._other_requests = 0.0
        self._report_confidence = 1.0
        self._observed_backlog = 0.0
        self._observed_at_s = float("-inf")
        self._refused_until_s = float("-inf")
        self.slots = 0
        self.service_s = settings.initial_service_s
        self.outstanding = 0

    def on_report(self, load: ServiceLoad, *, sequence: int, now_s: float) -> None:
        """Record a report unless it is older than the last one.

        After more than ``report_lifetime_s`` without a report, any report is accepted and the ramp
        restarts.
        """
        is_silent = now_s - self._reported_at_s > self._settings.report_lifetime_s
        if sequence <= self._sequence and not is_silent:
            return
        if is_silent:
            self._up_since_s = now_s
        self._sequence = sequence
        self.on_load(load, now_s=now_s)

    def on_load(self, load: ServiceLoad, *, now_s: float) -> None:
        """Record the current load, as received in a report or with an answer."""
        self._reported_at_s = now_s
        self._other_requests = max(0.0, load.in_use + load.waiting - self.outstanding)
        self.slots = load.slots
        self.service_s = load.service_s or self._settings.initial_service_s

    def restart_ramp(self, now_s: float) -> None:
        """Treat the destination as cold, for example after traffic was moved to it."""
        self._up_since_s = now_s

    def has_recent_report(self, now_s: float) -> bool:
        """Return whether the destination has slots and reported its load recently."""
        lifetime_s = self._settings.report_lifetime_s
        return self.slots > 0 and now_s - self._reported_at_s <= 2 * lifetime_s

    def is_backing_off(self, now_s: float) -> bool:
        """Return whether the back-off after a refusal is still running."""
        return now_s < self._refused_until_s

    def estimate(self, now_s: float) -> LoadEstimate:
        """Return the expected wait and utilisation for a request sent now."""
        share = ramp_share(self._settings, up_since_s=self._up_since_s, now_s=now_s)
        slots = max(1.0, self.slots * share)
        backlog = self.outstanding + self._estimate_other_requests(now_s)
        wait_s = max(0.0, backlog + 1.0 - slots) * self.service_s / slots
        utilisation = backlog / slots
        # Other requests arrive while this one is in transit, so the cost rises steeply with load.
        contention = min(utilisation, MAX_CONTENTION_UTILISATION) ** CONTENTION_EXPONENT
        wait_s += self._settings.contention_share * self.service_s * contention
        return LoadEstimate(wait_s, utilisation)

    def on_answer(self, *, took_s: float, predicted_s: float, wait_s: float, now_s: float) -> None:
        """Compare a finished request with its prediction; ``wait_s`` is its wait for a slot."""
        settings = self._settings
        if took_s > predicted_s * settings.tolerance_factor + settings.tolerance_s:
            self._report_confidence *= settings.confidence_decay
        else:
            self._report_confidence += settings.smoothing * (1.0 - self._report_confidence)
        observed = wait_s / self.service_s * self.slots
        self._observed_backlog += settings.smoothing * (observed - self._observed_backlog)
        self._observed_at_s = now_s

    def on_refusal(self, *, retry_after_s: float, now_s: float) -> None:
        """Back off for the requested time, at most ``max_backoff_s``."""
        backoff_s = min(retry_after_s, self._settings.max_backoff_s)
        self._refused_until_s = max(self._refused_until_s, now_s + backoff_s)
        self._report_confidence *= self._settings.confidence_decay

    def _estimate_other_requests(self, now_s: float) -> float:
        """Estimate other VMs' requests from the report, weighted, and from observed waits."""
        weight = self._age_weight(self._reported_at_s, now_s) * self._report_confidence
        assumed = self.slots * self._settings.assumed_utilisation
        observed = self._observed_backlog * self._age_weight(self._observed_at_s, now_s)
        implied = self.slots + observed if observed >= MIN_OBSERVED_BACKLOG else 0.0
        return weight * self._other_requests + (1.0 - weight) * max(assumed, implied)

    def _age_weight(self, at_s: float, now_s: float) -> float:
        return max(0.0, 1.0 - (now_s - at_s) / self._settings.report_lifetime_s)
