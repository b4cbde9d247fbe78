"""Relays requests of VMs that are cut off from targets, over this VM's own connections only."""

from __future__ import annotations

from typing import TYPE_CHECKING

import curio
from attrs import evolve

from siskinward.daemon.entry.target_links import LinkRequest
from siskinward.daemon.entry.target_links import SendWithheldError
from siskinward.protocol.steering_headers import encode_time_left
from siskinward.transport.clock import read_clock_s
from siskinward.transport.http_messages import HttpResponse
from siskinward.transport.outbound_connection import ExchangeFailedError
from siskinward.transport.outbound_connection import SendPhase
from siskinward.transport.relay_messages import RelayFailure

if TYPE_CHECKING:
    from siskinward.coordination.steering.targets import Target
    from siskinward.daemon.entry.path_checker import PathChecker
    from siskinward.daemon.entry.steering import Steering
    from siskinward.daemon.entry.target_links import TargetLinks
    from siskinward.protocol.steering_headers import SteeringHeaders
    from siskinward.transport.http_messages import HttpRequest
    from siskinward.transport.relay_messages import RelayReply
    from siskinward.transport.relay_messages import RelayRequest
    from siskinward.transport.target_pool import TargetPool

CONNECTED = HttpResponse(204)


class RelayHandler:
    """Sends relayed requests to targets.

    The asking VM has checked and counted the request; its slot at the target, its retries and its
    tokens are taken there. A target that this VM knows to be leaving gets nothing all the same.
    """

    def __init__(
        self,
        steering: Steering,
        headers: SteeringHeaders,
        pool: TargetPool,
        links: TargetLinks,
        checker: PathChecker,
    ) -> None:
        self._steering = steering
        self._headers = headers
        self._pool = pool
        self._links = links
        self._checker = checker

    async def relay(self, request: RelayRequest) -> RelayReply:
        """Send a request to its target and return the outcome."""
        if not self._steering.shutdown.leaves_time_until(read_clock_s() + request.time_left_s):
            return _not_connected("the relay is shutting down", is_relays_fault=True)
        if self._steering.paths.is_cut_off:
            return _not_connected("the relay is cut off from the targets", is_relays_fault=True)
        target = self._steering.targets.get(request.target)
        if target is None or target.record.address != f"{request.host}:{request.port}":
            detail = f"the relay does not know the target {request.target}"
            return _not_connected(detail, is_relays_fault=True)
        # Connecting tells whether a target is there, be it leaving or not.
        if request.request is None:
            return await self._connect(target)
        if not self._steering.targets.accepts_requests(target):
            return _not_connected(f"the target {request.target} gets no more requests")
        return await self._send(target, request, request.request)

    async def _connect(self, target: Target) -> RelayReply:
        started_s = read_clock_s()
        if await self._pool.try_connect(target.record):
            return CONNECTED
        is_own_fault = not await self._checker.reaches_targets(started_s)
        return _not_connected("failed to connect", is_relays_fault=is_own_fault)

    async def _send(
        self, target: Target, relayed: RelayRequest, request: HttpRequest
    ) -> RelayReply:
        link_request = LinkRequest(
            self._with_time_left(request, relayed.time_left_s),
            relayed.time_left_s,
            relayed.is_idempotent,
        )
        # The asking VM may have gone; a cancelled task goes on until it has to wait.
        await curio.check_cancellation()
        try:
            answer = await self._links.exchange_directly(target, link_request)
        except SendWithheldError as error:
            # A rest binds the VM that sends.
            return _not_connected(error.detail, is_relays_fault=not target.is_leaving)
        except ExchangeFailedError as error:
            is_own_fault = self._steering.paths.is_cut_off
            is_unsent = error.phase is SendPhase.NOT_CONNECTED
            return RelayFailure(error, is_relays_fault=is_own_fault and is_unsent)
        return answer.response

    def _with_time_left(self, request: HttpRequest, time_left_s: float) -> HttpRequest:
        name = self._headers.time_left_ms
        value = encode_time_left(time_left_s)
        headers = tuple((key, value if key == name else old) for key, old in request.headers)
        return evolve(request, headers=headers)


def _not_connected(detail: str, *, is_relays_fault: bool = False) -> RelayFailure:
    return RelayFailure(ExchangeFailedError(SendPhase.NOT_CONNECTED, detail), is_relays_fault)
