"""Stand-in for callers: caches look-ups, holds connections, resends bookings under one ticket."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING
from typing import Any

import curio
from attrs import Factory
from attrs import define
from attrs import frozen

from siskinward.standins.caller_record import OPEN_ROUTES
from siskinward.state.objects import Access
from siskinward.state.objects import ClientAccount
from siskinward.state.objects import ServiceClass
from siskinward.transport.connection_pool import ConnectionPool
from siskinward.transport.connection_pool import PoolSettings
from siskinward.transport.http_messages import HttpRequest

if TYPE_CHECKING:
    import random

    from siskinward.standins.caller_record import CallerRecord
    from siskinward.state.objects import Configuration
    from siskinward.state.objects import Route
    from siskinward.transport.http_messages import HttpResponse

CLASS_WEIGHTS = {ServiceClass.READ: 6.0, ServiceClass.ORDER: 2.0, ServiceClass.BULK: 1.0}
CONNECTION_LIMIT = 64
LOOKUP_TIMEOUT_S = 1.0
REQUEST_TIMEOUT_S = 5.0
ATTEMPT_LIMIT = 4
RESEND_DELAY_S = 0.2
TICKETS_PER_LOOKUP = 8
FRONT_ADDRESSES = tuple[tuple[str, int], ...]


@frozen
class AccountLoad:
    """Offered load of one client account."""

    account: ClientAccount
    key_text: str
    rate_per_s: float
    client_address: str


@define
class _CachedLookup:
    expires_at_s: float
    vms: list[tuple[str, int]]
    tickets: list[str] = Factory(list)


class CallerStandin:
    """Open-loop load of one client account, with one look-up cache and its own connections."""

    def __init__(
        self,
        configuration: Configuration,
        load: AccountLoad,
        record: CallerRecord,
        rng: random.Random,
    ) -> None:
        self._load = load
        self._record = record
        self._rng = rng
        self._seeds = [(vm.host, vm.front_port) for vm in configuration.vms.values()]
        self._routes = list(configuration.routes.values())
        self._weights = [_weight(configuration, route) for route in self._routes]
        self._lookups: dict[str, _CachedLookup] = {}
        self._pools: dict[tuple[str, int], ConnectionPool] = {}

    async def run(self, until_s: float) -> None:
        """Offer requests at the load's rate until the clock reads ``until_s``."""
        async with curio.TaskGroup() as group:
            while await curio.clock() < until_s:
                await group.spawn(self.request, self._pick_route())
                await curio.sleep(self._rng.expovariate(self._load.rate_per_s))
        for failure in group.exceptions:
            if failure is not None:
                raise failure

    async def request(self, route: Route) -> None:
        """Make one request, resent where the caller may, and record its final outcome."""
        start_s = await curio.clock()
        account = OPEN_ROUTES if route.access is Access.OPEN else self._load.account.name
        self._record.offered(account, route.service, start_s)
        response = await self._attempts(route)
        end_s = await curio.clock()
        if response is None:
            self._record.unanswered(account, route.service)
        elif response.status == 200:
            self._record.served(account, route.service, end_s - start_s, end_s)
        else:
            reason, outcome = _refusal(response)
            self._record.refused(account, route.service, reason, outcome, end_s)

    async def _attempts(self, route: Route) -> HttpResponse | None:
        ticket: str | None = None
        response: HttpResponse | None = None
        for _ in range(ATTEMPT_LIMIT):
            lookup = await self._lookup(route)
            if not route.idempotent and ticket is None and lookup.tickets:
                ticket = lookup.tickets.pop()
            response = await self._attempt(route, lookup, ticket)
            if response is not None:
                return response
            self._lookups.pop(route.service, None)
            await curio.sleep(RESEND_DELAY_S)
        return response

    async def _attempt(
        self, route: Route, lookup: _CachedLookup, ticket: str | None
    ) -> HttpResponse | None:
        if not lookup.vms:
            return None
        headers = [(b"x-deadline-ms", str(int(REQUEST_TIMEOUT_S * 1000)).encode())]
        if route.access is Access.KEYED:
            headers.append((b"authorization", f"Bearer {self._load.key_text}".encode()))
        if ticket is not None:
            headers.append((b"idempotency-key", ticket.encode()))
        method = route.methods[0]
        body = b"{}" if method in ("POST", "PUT") else b""
        request = HttpRequest(method, f"{route.path_prefix}/item", tuple(headers), body)
        host, port = lookup.vms[0]
        pool = self._pool(host, port)
        result = await pool.exchange(request, REQUEST_TIMEOUT_S, needs_recent_proof=True)
        return None if result.is_error() else result.ok

    async def _lookup(self, route: Route) -> _CachedLookup:
        cached = self._lookups.get(route.service)
        now_s = await curio.clock()
        needs_ticket = not route.idempotent
        is_fresh = cached is not None and now_s < cached.expires_at_s
        if cached is not None and is_fresh and (cached.tickets or not needs_ticket):
            return cached
        fresh = await self._ask_any_vm(route, TICKETS_PER_LOOKUP if needs_ticket else 0)
        self._lookups[route.service] = fresh
        return fresh

    async def _ask_any_vm(self, route: Route, tickets: int) -> _CachedLookup:
        target = f"/lookup?service={route.service}&client={self._load.client_address}"
        request = HttpRequest("GET", f"{target}&tickets={tickets}")
        for host, port in self._rng.sample(self._seeds, len(self._seeds)):
            pool = self._pool(host, port)
            result = await pool.exchange(request, LOOKUP_TIMEOUT_S, needs_recent_proof=True)
            if result.is_ok() and result.ok.status == 200:
                return _parse_lookup(json.loads(result.ok.body), await curio.clock())
        return _CachedLookup(0.0, [])

    def _pool(self, host: str, port: int) -> ConnectionPool:
        return self._pools.setdefault(
            (host, port), ConnectionPool(PoolSettings(host, port, CONNECTION_LIMIT))
        )

    def _pick_route(self) -> Route:
        return self._rng.choices(self._routes, self._weights)[0]


def _weight(configuration: Configuration, route: Route) -> float:
    return CLASS_WEIGHTS[configuration.services[route.service].service_class]


def _parse_lookup(answer: dict[str, Any], now_s: float) -> _CachedLookup:
    vms = [(vm["host"], vm["port"]) for vm in answer["vms"]]
    return _CachedLookup(now_s + answer["ttl_s"], vms, list(answer["tickets"]))


def _refusal(response: HttpResponse) -> tuple[str, str]:
    try:
        content = json.loads(response.body)
        return content["refused"], content["outcome"]
    except (ValueError, KeyError, TypeError):
        return f"http-{response.status}", "unknown"
