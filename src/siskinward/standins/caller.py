"""Stand-in for a caller: caches look-ups, pools connections, retries with the same ticket."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING
from typing import Any

import curio
from attrs import Factory
from attrs import define
from attrs import frozen

from siskinward.standins.caller_record import OPEN_ROUTES
from siskinward.standins.caller_record import CallerOutcome
from siskinward.standins.task_groups import raise_failures
from siskinward.state.objects import Access
from siskinward.state.objects import ClientAccount
from siskinward.state.objects import Route
from siskinward.state.objects import ServiceClass
from siskinward.transport.clock import read_clock_s
from siskinward.transport.connection_pool import ConnectionPool
from siskinward.transport.connection_pool import PoolSettings
from siskinward.transport.http_messages import HttpRequest

if TYPE_CHECKING:
    import random

    from siskinward.standins.caller_record import CallerRecord
    from siskinward.state.objects import Configuration
    from siskinward.transport.http_messages import HttpResponse

CLASS_WEIGHTS = {ServiceClass.READ: 6.0, ServiceClass.ORDER: 2.0, ServiceClass.BULK: 1.0}
CONNECTION_LIMIT = 4096
LOOKUP_TIMEOUT_S = 1.0
REQUEST_TIMEOUT_S = 5.0
ATTEMPT_LIMIT = 4
RESEND_DELAY_S = 0.2
ANSWER_MARGIN_S = 0.5
TICKETS_PER_LOOKUP = 8


@frozen
class AccountLoad:
    """Offered load of one client account."""

    account: ClientAccount
    key_text: str
    rate_per_s: float
    client_address: str


@frozen
class CallerRequest:
    """One request. Requests with the same ``ticket_label`` share a ticket.

    ``vm`` sends it, and its look-up, to this VM instead of those that a look-up returns.
    """

    route: Route
    line: int = 0
    ticket_label: str = ""
    vm: str = ""
    body: bytes = b"{}"
    deadline_s: float = REQUEST_TIMEOUT_S


@define
class _CachedLookup:
    expires_at_s: float
    vms: list[tuple[str, int]]
    tickets: list[str] = Factory(list)


class CallerStandin:
    """Generates the open-loop load of one client account, with its own look-up cache and pools."""

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
        self._vms = {str(vm.name): (vm.host, vm.front_port) for vm in configuration.vms.values()}
        self._seeds = list(self._vms.values())
        self.tickets: dict[str, str] = {}
        self._routes = list(configuration.routes.values())
        self._weights = [_weight(configuration, route) for route in self._routes]
        self._lookups: dict[tuple[str, str], _CachedLookup] = {}
        self._pools: dict[tuple[str, int], ConnectionPool] = {}

    async def run(self, until_s: float) -> None:
        """Send requests at the load's mean rate until the clock reads ``until_s``."""
        async with curio.TaskGroup() as group:
            while read_clock_s() < until_s:
                await group.spawn(self.request, CallerRequest(self._pick_route()))
                await curio.sleep(self._rng.expovariate(self._load.rate_per_s))
        raise_failures(group)

    async def request(self, request: CallerRequest) -> None:
        """Send one request, retry it while there is no answer, and record its final outcome."""
        start_s = read_clock_s()
        route = request.route
        account = OPEN_ROUTES if route.access is Access.OPEN else self._load.account.name
        response = await self._send_with_retries(request)
        reason, outcome = _reason_and_outcome(response)
        self._record.add(
            CallerOutcome(
                line=request.line,
                account=account,
                service=route.service,
                ticket=request.ticket_label,
                start_s=start_s,
                end_s=read_clock_s(),
                status=0 if response is None else response.status,
                reason=reason,
                outcome=outcome,
            )
        )

    async def _send_with_retries(self, request: CallerRequest) -> HttpResponse | None:
        for _ in range(ATTEMPT_LIMIT):
            lookup = await self._look_up(request)
            ticket = self._ticket_for(request, lookup)
            response = await self._send_once(request, lookup, ticket)
            if response is not None:
                return response
            self._lookups.pop((request.route.service, request.vm), None)
            await curio.sleep(RESEND_DELAY_S)
        return None

    def _ticket_for(self, request: CallerRequest, lookup: _CachedLookup) -> str | None:
        """Return the ticket of a request; requests with the same label get the same one."""
        if request.route.idempotent:
            return None
        label = request.ticket_label or f"{id(request)}"
        if label not in self.tickets and lookup.tickets:
            self.tickets[label] = lookup.tickets.pop()
        return self.tickets.get(label)

    async def _send_once(
        self, request: CallerRequest, lookup: _CachedLookup, ticket: str | None
    ) -> HttpResponse | None:
        route = request.route
        deadline_ms = int(request.deadline_s * 1000)
        headers = [(b"x-deadline-ms", str(deadline_ms).encode())]
        if route.access is Access.KEYED:
            headers.append((b"authorization", f"Bearer {self._load.key_text}".encode()))
        if ticket is not None:
            headers.append((b"idempotency-key", ticket.encode()))
        method = route.methods[0]
        body = request.body if method in ("POST", "PUT") else b""
        http = HttpRequest(method, f"{route.path_prefix}/item", tuple(headers), body)
        vms = [self._vms[request.vm]] if request.vm else lookup.vms
        if not vms:
            return None
        pool = self._pool(*vms[0])
        result = await pool.exchange(
            http, request.deadline_s + ANSWER_MARGIN_S, only_recently_used=True
        )
        return None if result.is_error() else result.ok

    async def _look_up(self, request: CallerRequest) -> _CachedLookup:
        route = request.route
        key = (route.service, request.vm)
        cached = self._lookups.get(key)
        now_s = read_clock_s()
        needs_ticket = not route.idempotent
        is_fresh = cached is not None and now_s < cached.expires_at_s
        if cached is not None and is_fresh and (cached.tickets or not needs_ticket):
            return cached
        vms = [self._vms[request.vm]] if request.vm else self._seeds
        candidates = self._rng.sample(vms, len(vms))
        fresh = await self._send_lookup(
            candidates, route, TICKETS_PER_LOOKUP if needs_ticket else 0
        )
        self._lookups[key] = fresh
        return fresh

    async def _send_lookup(
        self, vms: list[tuple[str, int]], route: Route, tickets: int
    ) -> _CachedLookup:
        target = f"/lookup?service={route.service}&client={self._load.client_address}"
        request = HttpRequest("GET", f"{target}&tickets={tickets}")
        for host, port in vms:
            pool = self._pool(host, port)
            result = await pool.exchange(request, LOOKUP_TIMEOUT_S, only_recently_used=True)
            if result.is_ok() and result.ok.status == 200:
                return _parse_lookup(json.loads(result.ok.body), read_clock_s())
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


def _reason_and_outcome(response: HttpResponse | None) -> tuple[str, str]:
    """Return the refusal reason and the outcome that a response states."""
    if response is None:
        return "", "unanswered"
    if response.status == 200:
        return "", "answered"
    try:
        content = json.loads(response.body)
        return content["refused"], content["outcome"]
    except (ValueError, KeyError, TypeError):
        return f"http-{response.status}", "unknown"
