"""What targets said in a run, that they leave or want a rest, and whether the VMs kept to it."""

from __future__ import annotations

from math import inf
from typing import TYPE_CHECKING

from attrs import define
from attrs import field

from siskinward.platform._headers import HEADERS
from siskinward.platform.standins import TargetStandIn
from siskinward.protocol.steering_headers import LeavingWord
from siskinward.protocol.steering_headers import Rest
from siskinward.protocol.steering_headers import decode_leaving
from siskinward.protocol.steering_headers import decode_rest

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Iterator

    from siskinward.platform.standins import ArrivalRecord
    from soak.callers import Call
    from soak.vm_process import VmProcess

# The platform's rule: from half a second after the answer, no more than two requests of a VM.
REST_SLACK_S = 0.5
MAX_IN_REST = 2
# A booking whose refusal was lost on its way ends in another status.
HEARD_STATUSES = (200, 503)


@define(eq=False)
class LeavingPeriod:
    """A time in which one start of a target says that it leaves; it ends with that start."""

    target: TargetStandIn
    since_s: float
    until_s: float = inf

    def covers(self, at_s: float | None) -> bool:
        """Return whether a time lies in the period."""
        return at_s is not None and self.since_s <= at_s < self.until_s

    def told_s(self, calls: Iterable[Call]) -> dict[VmProcess, float]:
        """Return when each VM first passed on an answer of the target that said so."""
        told: dict[VmProcess, float] = {}
        for call in calls:
            if call.ended_s is not None and self.covers(call.ended_s) and self._is_told(call):
                told[call.vm] = min(call.ended_s, told.get(call.vm, inf))
        return told

    def _is_told(self, call: Call) -> bool:
        response = call.response
        if response is None or HEADERS.leaving not in dict(response.headers):
            return False
        signature = response.header(HEADERS.signature) or b""
        return signature == f"{self.target.name}.{call.attempt_id}".encode()


@define
class TargetWords:
    """Records what targets say; ``check_counts`` counts what was judged, by promise.

    ``restarts_s`` has the times, by target, at which a start ended that was followed by another.
    """

    leaving: list[LeavingPeriod] = field(factory=list)
    restarts_s: dict[str, list[float]] = field(factory=dict)
    check_counts: dict[str, int] = field(factory=dict)

    def leave(self, target: TargetStandIn, word: str, now_s: float) -> None:
        """Let a target say a word on leaving."""
        target.leaving = word
        if decode_leaving([word.encode()]) is LeavingWord.LEAVES:
            self.leaving.append(LeavingPeriod(target, now_s))

    def record_restart(self, target: TargetStandIn, now_s: float) -> None:
        """Record that a start of a target ends, and with it what it has said."""
        self.restarts_s.setdefault(target.name, []).append(now_s)
        for period in self.leaving:
            if period.target is target and period.covers(now_s):
                period.until_s = now_s

    def broken(
        self, calls: Iterable[Call], targets: Iterable[TargetStandIn], drain_s: float
    ) -> Iterator[str]:
        """Yield the requests that reached targets which wanted none of their VM."""
        self.check_counts = {"answers that said that a target leaves": 0, "rests": 0}
        by_attempt = {call.attempt_id: call for call in calls}
        for period in self.leaving:
            yield from self._late(period, by_attempt, drain_s)
        for target in targets:
            yield from self._in_rests(target, by_attempt)

    def _late(self, period: LeavingPeriod, calls: dict[str, Call], drain_s: float) -> Iterator[str]:
        told_s = period.told_s(calls.values())
        self.check_counts["answers that said that a target leaves"] += len(told_s)
        for arrival in period.target.arrivals:
            call = calls.get(arrival.attempt_id)
            if call is None or call.vm not in told_s or not period.covers(arrival.at_s):
                continue
            since_s = told_s[call.vm]
            is_late = call.sent_s > since_s + drain_s
            if is_late and call.vm.ran_on(since_s, arrival.at_s):
                yield (
                    f"{call.attempt_id} reached {period.target.name} from {call.vm.name}, which"
                    f" had passed on {call.sent_s - since_s:.3f} s before that it leaves"
                )

    def _in_rests(self, target: TargetStandIn, calls: dict[str, Call]) -> Iterator[str]:
        for rest in target.rests:
            call = calls.get(rest.attempt_id)
            rest_s = _decode_rest_s(rest.rest)
            if call is None or call.ended_s is None or not _has_heard(call):
                continue
            self.check_counts["rests"] += 1
            since_s = max(rest.at_s + REST_SLACK_S, call.ended_s)
            until_s = self._end_of_rest_s(target, rest.at_s, rest_s)
            reached = [
                arrival
                for arrival in target.arrivals
                if since_s < arrival.at_s < until_s and _is_of(call.vm, arrival, calls)
            ]
            if len(reached) > MAX_IN_REST and call.vm.ran_on(rest.at_s, until_s):
                yield (
                    f"{target.name} got {len(reached)} requests of {call.vm.name} in a rest of"
                    f" {rest_s} s that it had asked for at {rest.at_s:.3f}"
                )

    def _end_of_rest_s(self, target: TargetStandIn, at_s: float, rest_s: float) -> float:
        """Return when a rest ends: the next start of the target has not asked for it."""
        restarts_s = self.restarts_s.get(target.name, [])
        return min([at_s + rest_s, *(time_s for time_s in restarts_s if time_s >= at_s)])


def _is_of(vm: VmProcess, arrival: ArrivalRecord, calls: dict[str, Call]) -> bool:
    call = calls.get(arrival.attempt_id)
    return call is not None and call.vm is vm


def _has_heard(call: Call) -> bool:
    """Return whether the VM must have heard the refusal that a target gave to the call."""
    return call.path.startswith("/bookings/") and call.status in HEARD_STATUSES


def _decode_rest_s(text: str) -> float:
    decoded = decode_rest([text.encode()])
    return decoded.for_s if isinstance(decoded, Rest) else 0.0
