"""Draws the load of a run, spread over the client accounts in proportion to their rates."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

from attrs import frozen

from siskinward.state.objects import Access
from siskinward.state.objects import Route
from siskinward.state.objects import ServiceClass

if TYPE_CHECKING:
    from collections.abc import Iterator

    from siskinward.state.objects import Configuration

OTHER_SERVICE_RATE_PER_S = 6.0


@frozen
class LoadPlan:
    """Offered load: ``level`` times the read capacity, and a low fixed rate for other services."""

    level: float
    duration_s: float
    service_time_s: float
    seed: int = 1


@frozen
class PlannedRequest:
    """A planned request; ``at_s`` counts from the start of the run."""

    at_s: float
    account: str
    route: Route


def plan_requests(configuration: Configuration, plan: LoadPlan) -> Iterator[PlannedRequest]:
    """Generate the requests of a run in order of time; the same plan gives the same requests."""
    rng = random.Random(plan.seed)
    accounts = list(configuration.client_accounts.values())
    weights = [account.rate_per_s for account in accounts]
    routes = _keyed_routes(configuration)
    rates = [_rate_per_s(configuration, route, plan) for route in routes]
    at_s = 0.0
    while True:
        at_s += rng.expovariate(sum(rates))
        if at_s >= plan.duration_s:
            return
        route = rng.choices(routes, rates)[0]
        yield PlannedRequest(at_s, rng.choices(accounts, weights)[0].name, route)


def read_slots(configuration: Configuration) -> int:
    """Return the slots of the first read service, which ``level`` refers to."""
    service = _read_service(configuration)
    groups = configuration.target_groups
    targets = configuration.targets.values()
    return sum(t.slots for t in targets if groups[t.group].service == service)


def _read_service(configuration: Configuration) -> str:
    services = configuration.services.values()
    return next(s.name for s in services if s.service_class is ServiceClass.READ)


def _keyed_routes(configuration: Configuration) -> list[Route]:
    """Return one keyed route per service: the first that is not idempotent, else the first."""
    chosen_routes: dict[str, Route] = {}
    for route in configuration.routes.values():
        if route.access is not Access.KEYED:
            continue
        chosen = chosen_routes.get(route.service)
        if chosen is None or (chosen.idempotent and not route.idempotent):
            chosen_routes[route.service] = route
    return list(chosen_routes.values())


def _rate_per_s(configuration: Configuration, route: Route, plan: LoadPlan) -> float:
    if route.service != _read_service(configuration):
        return OTHER_SERVICE_RATE_PER_S
    return plan.level * read_slots(configuration) / plan.service_time_s
