"""Assigns each request a target, immediately or once capacity becomes available."""

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
    """What placement and the admission queue need to know of a request."""

    placement: PlacementRequest
    account: AccountName | None
    priority: int
    latency_objective_s: float
    arrived_s: float
    deadline_s: float


@define(eq=False)
class _Waiter:
    claim: DispatchRequest
    entry: QueueEntry
    placed: Placed | None = None
    is_placed: curio.Event = field(factory=curio.Event)


class Dispatcher:
    """Counts the requests in flight at targets and starts waiting requests in queue order."""

    def __init__(self, steering: Steering) -> None:
        self._steering = steering
        self._queues: dict[ServiceName, AdmissionQueue] = {}
        self._waiters: dict[ServiceName, dict[int, _Waiter]] = {}

    @property
    def waiting_count(self) -> int:
        """Number of requests that wait for capacity."""
        return sum(queue.waiting for queue in self._queues.values())

    async def acquire(self, request: DispatchRequest) -> Placed | Rejected | NoTarget:
        """Acquire a slot at a target, waiting if necessary; ``release`` returns it."""
        now_s = read_clock_s()
        service = request.placement.service
        choice = self._steering.placement.choose(request.placement, now_s)
        if isinstance(choice, NoTarget):
            return choice
        if isinstance(choice, Placed) and not self._queue(service).waiting:
            return self._record_start(request.placement, choice, now_s)
        return await self._wait(request, now_s)

    async def release(self, target: Target) -> None:
        """Return the slot of a finished request and start waiting requests."""
        target.in_flight = max(0, target.in_flight - 1)
        await self.dispatch_waiting(target.record.service)

    async def dispatch_all_waiting(self) -> None:
        """Start waiting requests of all services, after targets or other VMs' counts changed."""
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
                waiter.placed = self._record_start(waiter.claim.placement, choice, now_s)
                self._queue(service).remove(entry)
                del waiters[entry.number]
                await waiter.is_placed.set()

    async def _wait(self, request: DispatchRequest, now_s: float) -> Placed | Rejected:
        service = request.placement.service
        queue = self._queue(service)
        entered = queue.try_enqueue(
            request.account,
            priority=request.priority,
            objective_s=request.latency_objective_s,
            arrived_s=request.arrived_s,
            deadline_s=request.deadline_s,
            now_s=now_s,
        )
        if isinstance(entered, Rejected):
            return entered
        waiter = _Waiter(request, entered.entry)
        self._waiters.setdefault(service, {})[entered.entry.number] = waiter
        await self.dispatch_waiting(service)
        try:
            async with curio.timeout_after(max(0.0, entered.entry.start_by_s - now_s)):
                await waiter.is_placed.wait()
        except curio.TaskTimeout:
            if waiter.placed is None:
                return queue.create_rejection(read_clock_s())
        except curio.CancelledError:
            if waiter.placed is not None:
                await self.release(waiter.placed.target)
            raise
        finally:
            queue.remove(entered.entry)
            self._waiters[service].pop(entered.entry.number, None)
        assert waiter.placed is not None
        return waiter.placed

    def _record_start(self, request: PlacementRequest, choice: Placed, now_s: float) -> Placed:
        self._queue(choice.target.record.service).record_start(now_s)
        return self._steering.placement.record_sent(request, choice, now_s)

    def _queue(self, service: ServiceName) -> AdmissionQueue:
        queue = self._queues.get(service)
        if queue is None:
            queue = self._queues[service] = AdmissionQueue(self._steering.settings.queue)
        return queue
