"""Load on an in-memory deployment whose targets say that they leave, and who was told when."""

from __future__ import annotations

from math import inf
from typing import TYPE_CHECKING

import curio
from attrs import define
from attrs import field

from siskinward.platform._headers import HEADERS
from siskinward.platform.standins import Site
from siskinward.state.identifiers import TargetName
from siskinward.transport.clock import read_clock_s
from siskinward.transport.http_messages import HttpResponse
from siskinward.transport.outbound_connection import ExchangeFailedError

if TYPE_CHECKING:
    from siskinward.coordination.steering.targets import Target
    from siskinward.platform.standins import TargetStandIn

LEAVING = "1"


@define
class SentCall:
    """A caller's request; ``response`` is None if it got none."""

    attempt_id: str
    vm: str
    sent_s: float
    ended_s: float = inf
    response: HttpResponse | None = None


@define
class LeavingLoad:
    """Requests at a steady rate to all VMs in turn, each with an object of its own."""

    site: Site
    rate_per_s: float = 40.0
    path: str = "/listings/{}"
    object_key: str = ""
    calls: list[SentCall] = field(factory=list)

    async def run(self, for_s: float) -> None:
        """Send for a time and wait for all answers."""
        async with curio.TaskGroup() as group:
            for number in range(round(for_s * self.rate_per_s)):
                await group.spawn(
                    self.send, number, list(self.site.vms)[number % len(self.site.vms)]
                )
                await curio.sleep(1.0 / self.rate_per_s)

    async def send(self, number: int, vm: str) -> SentCall:
        """Send one request."""
        key = self.object_key or str(number)
        headers = ((HEADERS.object_key, key.encode()),)
        request = self.site.request(self.path.format(number), headers=headers)
        attempt_id = (request.header(HEADERS.attempt_id) or b"").decode()
        call = SentCall(attempt_id, vm, read_clock_s())
        self.calls.append(call)
        try:
            call.response = await self.site.send(vm, request)
        except (ExchangeFailedError, OSError):
            return call
        finally:
            call.ended_s = read_clock_s()
        return call

    def told_s(self, vm: str, target: TargetStandIn) -> float:
        """Return when a VM first passed on an answer of a target that said that it leaves."""
        return min(
            (call.ended_s for call in self.calls if call.vm == vm and _is_told(call, target)),
            default=inf,
        )

    def late(self, target: TargetStandIn, slack_s: float = 0.0) -> list[SentCall]:
        """Return the requests that reached a target though their VM had been told before."""
        arrived = {arrival.attempt_id for arrival in target.arrivals}
        return [
            call
            for call in self.calls
            if call.attempt_id in arrived and call.sent_s > self.told_s(call.vm, target) + slack_s
        ]

    def served_share(self, since_s: float = 0.0) -> float:
        """Return the share of the requests since a time that were answered with success."""
        served = [
            call.response is not None and call.response.status == 200
            for call in self.calls
            if call.sent_s >= since_s
        ]
        assert served
        return sum(served) / len(served)


def _is_told(call: SentCall, target: TargetStandIn) -> bool:
    if call.response is None or call.response.header(HEADERS.leaving) is None:
        return False
    signature = call.response.header(HEADERS.signature) or b""
    return signature.startswith(f"{target.name}.".encode())


async def start_target(site: Site, target: TargetStandIn) -> None:
    """Start a target and let it write its entry."""
    site.targets[target.name] = target
    await target.start()
    await site.report(target)


def known_target(site: Site, target: TargetStandIn, vm: str) -> Target:
    """Return a target as a VM knows it."""
    known = site.vms[vm].steering.targets.get(TargetName(target.name))
    assert known is not None
    return known


def arrivals_since(target: TargetStandIn, since_s: float) -> int:
    """Return how many requests, probes aside, reached a target since a time."""
    return sum(arrival.at_s >= since_s for arrival in target.arrivals)
