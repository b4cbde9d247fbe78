"""Splits a route's requests over its services in proportion to their weights."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from siskinward.state.identifiers import ServiceName
    from siskinward.state.serving import ServedRoute
    from siskinward.state.serving import WeightedService


class RouteSplitter:
    """Smooth weighted round robin, with state kept per route while its weights are unchanged."""

    def __init__(self) -> None:
        self._credits: dict[tuple[str, tuple[WeightedService, ...]], dict[ServiceName, float]] = {}

    def choose(self, route: ServedRoute) -> ServiceName:
        """Return the service of the route's next request."""
        if len(route.services) == 1:
            return route.services[0].service
        key = (route.name, route.services)
        credits = self._credits.setdefault(key, {})
        total = sum(part.weight for part in route.services)
        for part in route.services:
            credits[part.service] = credits.get(part.service, 0.0) + part.weight
        chosen = max(route.services, key=lambda part: credits[part.service]).service
        credits[chosen] -= total
        return chosen
