"""Load on an in-memory deployment whose targets state rate limits, and what they got of it."""

from __future__ import annotations

from typing import TYPE_CHECKING

import curio
from attrs import define
from attrs import field

from siskinward.platform._headers import HEADERS
from siskinward.platform.standins import Site
from siskinward.transport.clock import read_clock_s
from siskinward.transport.http_messages import HttpResponse
from siskinward.transport.outbound_connection import ExchangeFailedError

if TYPE_CHECKING:
    from collections.abc import Iterable

    from siskinward.platform.standins import TargetStandIn

OBJECTS = 101


@define
class Load:
    """Requests for many objects, sent at a steady rate to the VMs in turn."""

    site: Site
    rate_per_s: float
    path: str = "/listings/{}"
    vms: tuple[str, ...] = ()
    responses: list[HttpResponse] = field(factory=list)
    failed: int = 0

    @property
    def statuses(self) -> set[int]:
        """The statuses of all answers."""
        return {response.status for response in self.responses}

    def served(self) -> int:
        """Return how many requests were answered with success."""
        return sum(response.status == 200 for response in self.responses)

    async def run(self, for_s: float) -> None:
        """Send for ``for_s`` and wait for all answers."""
        started_s = read_clock_s()
        async with curio.TaskGroup() as group:
            for number in range(int(for_s * self.rate_per_s)):
                await curio.sleep(max(0.0, started_s + number / self.rate_per_s - read_clock_s()))
                await group.spawn(self._send, number)

    async def _send(self, number: int) -> None:
        vms = self.vms or tuple(self.site.vms)
        key = str(number % OBJECTS)
        try:
            response = await self.site.call(
                vms[number % len(vms)],
                self.path.format(key),
                headers=((HEADERS.object_key, key.encode()),),
            )
        except (ExchangeFailedError, OSError):
            self.failed += 1
            return
        self.responses.append(response)


def state_limit(targets: Iterable[TargetStandIn], rate_limit: str | None) -> None:
    """Let targets state a limit from now on, or none."""
    for target in targets:
        target.rate_limit = rate_limit
