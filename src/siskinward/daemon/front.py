"""HTTP endpoints for callers: look-ups, health, metrics and requests."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING
from urllib.parse import parse_qs

from prometheus_client import CONTENT_TYPE_LATEST

from siskinward.protocol.caller_http import path_of
from siskinward.protocol.caller_http import render_outcome
from siskinward.transport.clock import read_clock_s
from siskinward.transport.http_messages import HttpResponse

if TYPE_CHECKING:
    from collections.abc import Callable

    from siskinward.daemon.lookup import LookupService
    from siskinward.daemon.metrics import NodeMetrics
    from siskinward.daemon.request_handler import RequestHandler
    from siskinward.transport.http_messages import HttpRequest

JSON_HEADERS = ((b"content-type", b"application/json"),)


class Front:
    """Serves the system's own paths and passes all others to the request handler."""

    def __init__(
        self,
        handler: RequestHandler,
        lookups: LookupService,
        metrics: NodeMetrics,
        health: Callable[[float], dict[str, object]],
    ) -> None:
        self._handler = handler
        self._lookups = lookups
        self._metrics = metrics
        self._health = health

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Return the response to one request."""
        match path_of(request.target):
            case "/lookup":
                return await self._lookup(request)
            case "/health":
                return self._create_health_response(read_clock_s())
            case "/metrics":
                headers = ((b"content-type", CONTENT_TYPE_LATEST.encode()),)
                return HttpResponse(200, headers, self._metrics.render())
            case _:
                handled = await self._handler.handle(request)
                response = render_outcome(
                    handled.outcome, scope=handled.scope, fresh_ticket=handled.fresh_ticket
                )
                return HttpResponse(response.status, response.headers, response.body)

    async def _lookup(self, request: HttpRequest) -> HttpResponse:
        query = parse_qs(request.target.partition("?")[2])
        answer = await self._lookups.answer(query, request.peer)
        return HttpResponse(answer.status, JSON_HEADERS, json.dumps(answer.content).encode())

    def _create_health_response(self, now_s: float) -> HttpResponse:
        health = self._health(now_s)
        status = 200 if health["ready"] else 503
        return HttpResponse(status, JSON_HEADERS, json.dumps(health).encode())
