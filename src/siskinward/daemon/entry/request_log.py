"""Logs and counts the result of each request, with the data that explains it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import asdict

from siskinward.coordination.steering.rows import StoreTable
from siskinward.daemon.entry.refusals import STATUS_BY_REASON
from siskinward.daemon.entry.refusals import Reason
from siskinward.transport.clock import read_clock_s

if TYPE_CHECKING:
    from siskinward.daemon.entry.metrics import EntryMetrics
    from siskinward.daemon.entry.request_context import RequestContext
    from siskinward.daemon.entry.steering import Steering
    from siskinward.protocol.steering_headers import SteeringHeaders
    from siskinward.transport.body_memory import NoRoomForBodyError
    from siskinward.transport.decision_log import DecisionLog
    from siskinward.transport.front_server import Arrival


class RequestLog:
    """Writes one log line per request and updates the request counters."""

    def __init__(
        self,
        steering: Steering,
        headers: SteeringHeaders,
        metrics: EntryMetrics,
        log: DecisionLog,
    ) -> None:
        self._steering = steering
        self._headers = headers
        self._metrics = metrics
        self._log = log

    def count_retry(self, context: RequestContext) -> None:
        """Count a retry under the outcome of the send before it."""
        self._metrics.count_retry(context.service, context.sends[-1].outcome)

    def record_no_room(self, error: NoRoomForBodyError) -> None:
        """Count and log a request that was refused before its body was read."""
        reason = Reason.NO_ROOM_FOR_BODY
        status = STATUS_BY_REASON[reason]
        self._metrics.count_request("", status, reason, 0.0)
        fields = {"status": status, "reason": reason.value, "error": str(error)}
        self._log.write("request-refused", fields)

    def _targets_confirmed_s(self) -> float:
        return self._steering.tables[StoreTable.TARGETS].confirmed_s

    def record_result(
        self, arrival: Arrival, context: RequestContext | None, status: int, reason: Reason | None
    ) -> None:
        """Count and log an answered request; ``reason`` is None if a target answered."""
        index = self._steering.index
        now_s = read_clock_s()
        fields: dict[str, object] = {
            "id": (arrival.request.header(self._headers.attempt_id) or b"").decode("latin-1"),
            "status": status,
            "took_ms": round((now_s - arrival.received_s) * 1000, 1),
            "configuration": index.configuration.version if index else None,
        }
        if context is not None:
            fields["route"] = context.route.name
            fields["account"] = context.account.name if context.account else None
            fields["service"] = context.service
            fields["objective_ms"] = round(context.route.latency_objective_s * 1000)
            object_key = arrival.request.header(self._headers.object_key) or b""
            fields["object"] = object_key.decode("latin-1")
            fields["sends"] = [asdict(send) for send in context.sends]
            fields["waited_ms"] = round(context.waited_s * 1000, 1)
            if reason is Reason.OVER_QUOTA:
                fields["quota_issuer"] = context.quota_issuer
            if context.considered:
                fields["considered"] = [asdict(item) for item in context.considered]
                fields["free_slots"] = context.free_slots
            fields["targets_age_s"] = round(now_s - self._targets_confirmed_s(), 2)
            fields["vms_heard"] = len(self._steering.fleet.live(now_s)) - 1
        service = context.service if context is not None else ""
        self._metrics.count_request(service, status, reason, now_s - arrival.received_s)
        if reason is None:
            self._log.write("request-answered", fields)
        else:
            fields["reason"] = reason.value
            self._log.write("request-refused", fields)
