"""What one VM knows of the load at another place that serves a service."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import frozen

from siskinward.coordination.routing._ramp import ramp_share

if TYPE_CHECKING:
    from siskinward.coordination.routing.messages import ServiceLoad
    from siskinward.coordination.routing.settings import RoutingSettings

MIN_BACKLOG = 0.5
CROWDING_POWER = 4
CROWDING_LIMIT = 1.5


@frozen
class LoadEstimate:
    """Expected time until a request gets a slot, and expected requests for each slot."""

    wait_s: float
    utilisation: float


class LoadView:
    """Own outstanding requests, what the place reported, and what requests there met.

    Own requests are exact. The rest of a report counts by its age and by how well earlier
    predictions held; in place of the remainder stands what own requests met there lately.
    """

    def __init__(self, settings: RoutingSettings, now_s: float) -> None:
        self._settings = settings
        self._up_since_s = now_s
        self._reported_at_s = float("-inf")
        self._sequence = -1
        self._others = 0.0
        self._trust = 1.0
        self._met_backlog = 0.0
        self._met_at_s = float("-inf")
        self._refused_until_s = float("-inf")
        self.slots = 0
        self.service_s = settings.initial_service_s
        self.outstanding = 0

    def on_report(self, load: ServiceLoad, *, sequence: int, now_s: float) -> None:
        """Take in a report unless a newer one came first."""
        is_silent = now_s - self._reported_at_s > self._settings.report_lifetime_s
        if sequence <= self._sequence and not is_silent:
            return
        if is_silent:
            self._up_since_s = now_s
        self._sequence = sequence
        self.on_seen(load, now_s=now_s)

    def on_seen(self, load: ServiceLoad, *, now_s: float) -> None:
        """Take in the load that came with an answer."""
        self._reported_at_s = now_s
        self._others = max(0.0, load.in_use + load.waiting - self.outstanding)
        self.slots = load.slots
        self.service_s = load.service_s or self._settings.initial_service_s

    def restart_ramp(self, now_s: float) -> None:
        """Treat the place as cold, as after a move of traffic to it."""
        self._up_since_s = now_s

    def is_known(self, now_s: float) -> bool:
        """Whether the place has slots and was heard of lately."""
        lifetime_s = self._settings.report_lifetime_s
        return self.slots > 0 and now_s - self._reported_at_s <= 2 * lifetime_s

    def is_backing_off(self, now_s: float) -> bool:
        """Whether the place refused a request and asked to stay away for now."""
        return now_s < self._refused_until_s

    def estimate(self, now_s: float) -> LoadEstimate:
        """What a request sent now should expect."""
        share = ramp_share(self._settings, up_since_s=self._up_since_s, now_s=now_s)
        slots = max(1.0, self.slots * share)
        backlog = self.outstanding + self._others_now(now_s)
        wait_s = max(0.0, backlog + 1.0 - slots) * self.service_s / slots
        utilisation = backlog / slots
        # Others arrive while the request is under way: rises steeply as the place fills up.
        crowding = min(utilisation, CROWDING_LIMIT) ** CROWDING_POWER
        wait_s += self._settings.crowding_share * self.service_s * crowding
        return LoadEstimate(wait_s, utilisation)

    def on_answer(self, *, took_s: float, predicted_s: float, wait_s: float, now_s: float) -> None:
        """Compare a finished request with its prediction; ``wait_s`` is what it waited there."""
        settings = self._settings
        if took_s > predicted_s * settings.tolerance_factor + settings.tolerance_s:
            self._trust *= settings.distrust_factor
        else:
            self._trust += settings.smoothing * (1.0 - self._trust)
        met = wait_s / self.service_s * self.slots
        self._met_backlog += settings.smoothing * (met - self._met_backlog)
        self._met_at_s = now_s

    def on_refusal(self, *, retry_after_s: float, now_s: float) -> None:
        """Stay away for the time the place asked for, within the settings' bound."""
        backoff_s = min(retry_after_s, self._settings.max_backoff_s)
        self._refused_until_s = max(self._refused_until_s, now_s + backoff_s)
        self._trust *= self._settings.distrust_factor

    def _others_now(self, now_s: float) -> float:
        """Requests of other VMs at the place: the report as far as trusted, else what was met."""
        weight = self._freshness(self._reported_at_s, now_s) * self._trust
        assumed = self.slots * self._settings.assumed_utilisation
        met = self._met_backlog * self._freshness(self._met_at_s, now_s)
        implied = self.slots + met if met >= MIN_BACKLOG else 0.0
        return weight * self._others + (1.0 - weight) * max(assumed, implied)

    def _freshness(self, at_s: float, now_s: float) -> float:
        return max(0.0, 1.0 - (now_s - at_s) / self._settings.report_lifetime_s)
