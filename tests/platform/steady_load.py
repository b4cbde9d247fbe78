"""Requests at a steady rate to some VMs of an in-memory deployment, and what became of each."""

from __future__ import annotations

from typing import TYPE_CHECKING

import curio
from attrs import define
from attrs import field

from siskinward.platform.standins import Site
from siskinward.transport.clock import read_clock_s
from siskinward.transport.http_messages import HttpResponse
from siskinward.transport.outbound_connection import ExchangeFailedError

if TYPE_CHECKING:
    from collections.abc import Callable


@define
class LoadCall:
    """A request; ``response`` is None if there was none."""

    vm: str
    path: str
    sent_s: float
    ended_s: float | None = None
    response: HttpResponse | None = None

    @property
    def is_served(self) -> bool:
        return self.response is not None and self.response.status == 200


@define
class SteadyLoad:
    """Requests, each with its own path, to ``services`` and ``vms`` in turn, until stopped."""

    site: Site
    vms: list[str]
    rate_per_s: float
    services: tuple[str, ...] = ("listings",)
    calls: list[LoadCall] = field(factory=list)
    _is_stopped: bool = False

    async def run(self) -> None:
        """Send until ``stop``, and wait for all answers."""
        async with curio.TaskGroup() as group:
            while not self._is_stopped:
                await group.spawn(self._send, len(self.calls))
                await curio.sleep(1.0 / self.rate_per_s)

    def stop(self) -> None:
        """Send no more requests."""
        self._is_stopped = True

    def sent_s(self) -> list[float]:
        """Return when each request was sent."""
        return [call.sent_s for call in self.calls]

    def served_share(self, condition: Callable[[LoadCall], bool]) -> float:
        """Return the share of the calls under a condition that were served."""
        served = [call.is_served for call in self.calls if condition(call)]
        assert served
        return sum(served) / len(served)

    async def _send(self, number: int) -> None:
        service = self.services[number % len(self.services)]
        vm = self.vms[number // len(self.services) % len(self.vms)]
        call = LoadCall(vm, f"/{service}/{number}", read_clock_s())
        self.calls.append(call)
        try:
            call.response = await self.site.call(vm, call.path)
        except (ExchangeFailedError, OSError):
            # The VM was killed or cut off; the request counts as sent.
            return
        finally:
            call.ended_s = read_clock_s()
