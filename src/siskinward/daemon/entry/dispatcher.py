"""Finds a target for each request, at once or when capacity comes free."""

from __future__ import annotations

from typing import TYPE_CHECKING

import curio
from attrs import define
from attrs import field

from siskinward.coordination.steering.admission_queue import AdmissionQueue
from siskinward.coordination.steering.admission_queue import QueueEntry
from siskinward.coordination.steering.admission_queue import Rejected
from siskinward.coordination.steering.placement import NoTarget
from siskinward.coordination.steering.placement import Placed
from siskinward.coordination.steering.placement import PlacementRequest
from siskinward.state.identifiers import AccountName
from siskinward.transport.clock import read_clock_s

if TYPE_CHECKING:
    from siskinward.coordination.steering.targets import Target
    from siskinward.daemon.entry.steering import Steering
    from siskinward.state.identifiers import ServiceName


@define(eq=False)
class DispatchRequest:
    """What a request brings to the queue."""

    placement: PlacementRequest
    account: AccountName | None
    priority: int
    objective_s: float
    arrived_s: float
    deadline_s: float


@define(eq=False)
class _Waiter:
    claim: DispatchRequest
    entry: QueueEntry
    placed: Placed | None = None
    is_placed: curio.Event = field(factory=curio.Event)


class Dispatcher:
    """Counts requests at targets and lets waiting ones go, in their order."""

    def __init__(self, steering: Steering) -> None:
        self._steering = steering
        self._queues: dict[ServiceName, AdmissionQueue] = {}
        self._waiters: dict[ServiceName, dict[int, _Waiter]] = {}

    @property
    def waiting(self) -> int:
        """Requests that wait for capacity."""
        return sum(queue.waiting for queue in self._queues.values())

    async def acquire(self, claim: DispatchRequest) -> Placed | Rejected | NoTarget:
        """Take capacity at a target; ``release`` gives it back."""
        now_s = read_clock_s()
        service = claim.placement.service
        choice = self._steering.placement.choose(claim.placement, now_s)
        if isinstance(choice, NoTarget):
            return choice
        if isinstance(choice, Placed) and not self._queue(service).waiting:
            self._start(choice, now_s)
            return choice
        return await self._wait(claim, now_s)

    async def release(self, target: Target) -> None:
        """Give the capacity of a finished request back."""
        target.in_flight = max(0, target.in_flight - 1)
        await self.dispatch_waiting(target.record.service)

    async def dispatch_all_waiting(self) -> None:
        """Start what can be started after a change of targets or of other VMs' counts."""
        for service in list(self._queues):
            await self.dispatch_waiting(service)

    async def dispatch_waiting(self, service: ServiceName) -> None:
        """Start waiting requests of a service while there is capacity for them."""
        waiters = self._waiters.get(service)
        if not waiters:
            return
        now_s = read_clock_s()
        for entry in self._queue(service).in_order():
            waiter = waiters[entry.number]
            choice = self._steering.placement.choose(waiter.claim.placement, now_s)
            if isinstance(choice, Placed):
                self._start(choice, now_s)
                waiter.placed = choice
                self._queue(service).leave(entry)
                del waiters[entry.number]
                await waiter.is_placed.set()

    async def _wait(self, claim: DispatchRequest, now_s: float) -> Placed | Rejected:
        service = claim.placement.service
        queue = self._queue(service)
        entered = queue.enter(
            claim.account,
            priority=claim.priority,
            objective_s=claim.objective_s,
            arrived_s=claim.arrived_s,
            deadline_s=claim.deadline_s,
            now_s=now_s,
        )
        if isinstance(entered, Rejected):
            return entered
        waiter = _Waiter(claim, entered.entry)
        self._waiters.setdefault(service, {})[entered.entry.number] = waiter
        await self.dispatch_waiting(service)
        try:
            async with curio.timeout_after(max(0.0, entered.entry.start_by_s - now_s)):
                await waiter.is_placed.wait()
        except curio.TaskTimeout:
            if waiter.placed is None:
                return queue.reject(read_clock_s())
        except curio.CancelledError:
            if waiter.placed is not None:
                await self.release(waiter.placed.target)
            raise
        finally:
            queue.leave(entered.entry)
            self._waiters[service].pop(entered.entry.number, None)
        assert waiter.placed is not None
        return waiter.placed

    def _start(self, choice: Placed, now_s: float) -> None:
        self._steering.placement.note_sent(choice.target, now_s)
        self._queue(choice.target.record.service).note_start(now_s)

    def _queue(self, service: ServiceName) -> AdmissionQueue:
        queue = self._queues.get(service)
        if queue is None:
            queue = self._queues[service] = AdmissionQueue(self._steering.settings.queue)
        return queue
