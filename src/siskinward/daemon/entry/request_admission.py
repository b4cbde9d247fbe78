"""Finds what a caller's request is for: its route, client account, service and deadline."""

from __future__ import annotations

from typing import TYPE_CHECKING

from siskinward.coordination.fingerprints import fingerprint_of
from siskinward.daemon.entry.refusals import RETRY_AFTER_S
from siskinward.daemon.entry.refusals import Reason
from siskinward.daemon.entry.refusals import refused
from siskinward.daemon.entry.request_context import RequestContext
from siskinward.protocol.counts import decode_count
from siskinward.protocol.steering_headers import bearer_key
from siskinward.state.identifiers import AccountName

if TYPE_CHECKING:
    from siskinward.daemon.entry.steering import Steering
    from siskinward.protocol.steering_headers import SteeringHeaders
    from siskinward.state.serving import AccountPolicy
    from siskinward.state.serving import ServedRoute
    from siskinward.transport.front_server import Arrival
    from siskinward.transport.http_messages import HttpRequest

NO_ACCOUNT = AccountName("")
BLOCKED_RETRY_AFTER_S = 1.0


class RequestAdmission:
    """Admits requests by the active configuration."""

    def __init__(self, steering: Steering, headers: SteeringHeaders) -> None:
        self._steering = steering
        self._headers = headers

    def admit(self, arrival: Arrival) -> RequestContext:
        """Find the route, client account and service of a request, or raise ``Refused``."""
        request = arrival.request
        index = self._steering.index
        if index is None:
            raise refused(Reason.NO_CONFIGURATION, RETRY_AFTER_S)
        host = (request.header(b"host") or b"").decode("latin-1")
        route = index.route_of(host, request.target)
        if route is None:
            raise refused(Reason.NO_ROUTE)
        account = self._account_of(request, route)
        if account is not None and _have_no_home_in_common(route, account):
            raise refused(Reason.NO_TARGET, RETRY_AFTER_S)
        deadline_s = arrival.received_s + self._time_left_s(request, route)
        name = account.name if account else NO_ACCOUNT
        fingerprint = fingerprint_of(name, route.name, request.method, request.target, request.body)
        if self._steering.crashes.is_blocked(fingerprint, arrival.received_s):
            raise refused(Reason.CRASHES_TARGETS, BLOCKED_RETRY_AFTER_S)
        service = self._steering.splitter.choose(route)
        self._steering.retries.on_request(service, arrival.received_s)
        return RequestContext(arrival, route, account, service, deadline_s, fingerprint)

    def _account_of(self, request: HttpRequest, route: ServedRoute) -> AccountPolicy | None:
        index = self._steering.index
        if index is None or route.is_public or not index.has_accounts:
            return None
        key = bearer_key(request.header(b"authorization"))
        account = index.account_of_key(key) if key else None
        if account is None:
            raise refused(Reason.KEY_UNKNOWN)
        return account

    def _time_left_s(self, request: HttpRequest, route: ServedRoute) -> float:
        time_left_ms = decode_count(request.header(self._headers.time_left_ms))
        if time_left_ms is None:
            return route.timeout_s
        return min(time_left_ms / 1000.0, route.timeout_s)


def _have_no_home_in_common(route: ServedRoute, account: AccountPolicy) -> bool:
    """Return whether the homes of a route and an account exclude one another."""
    if not route.home_regions or not account.home_regions:
        return False
    return route.home_regions.isdisjoint(account.home_regions)
