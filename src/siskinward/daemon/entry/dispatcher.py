"""Assigns each request a target, immediately or once capacity becomes available."""

from __future__ import annotations

from typing import TYPE_CHECKING

import curio
from attrs import define
from attrs import evolve
from attrs import field
from attrs import frozen

from siskinward.coordination.steering.admission_queue import AdmissionQueue
from siskinward.coordination.steering.admission_queue import QueueEntry
from siskinward.coordination.steering.admission_queue import Rejected
from siskinward.coordination.steering.placement import LimitsUsedUp
from siskinward.coordination.steering.placement import NoTarget
from siskinward.coordination.steering.placement import Placed
from siskinward.coordination.steering.placement import PlacementRequest
from siskinward.coordination.steering.placement import TargetsLeaving
from siskinward.coordination.steering.placement import TargetsResting
from siskinward.state.identifiers import AccountName
from siskinward.transport.clock import read_clock_s

if TYPE_CHECKING:
    from siskinward.coordination.steering.targets import Target
    from siskinward.daemon.entry.limit_enforcer import LimitEnforcer
    from siskinward.daemon.entry.steering import Steering
    from siskinward.state.identifiers import ServiceName

# A request that got no token of so many targets goes on to those that state no limit.
MAX_TOKEN_ASKS = 3


@define(eq=False)
class DispatchRequest:
    """What placement and the admission queue need to know of a request."""

    placement: PlacementRequest
    account: AccountName | None
    priority: int
    latency_objective_s: float
    arrived_s: float
    deadline_s: float


@frozen
class LimitReached:
    """All targets have reached the rate limits that they state; retry after ``retry_after_s``."""

    retry_after_s: float


Withheld = TargetsLeaving | TargetsResting
"""The targets that could be used want nothing, so that waiting for one is no use."""


@frozen
class _Reserved:
    """A slot at a target whose rate limit has yet to allow the request."""

    placed: Placed


@define(eq=False)
class _Waiter:
    claim: DispatchRequest
    entry: QueueEntry
    result: Placed | _Reserved | LimitsUsedUp | Withheld | None = None
    has_result: curio.Event = field(factory=curio.Event)


class Dispatcher:
    """Counts the requests in flight at targets and starts waiting requests in queue order."""

    def __init__(self, steering: Steering, limits: LimitEnforcer) -> None:
        self._steering = steering
        self._limits = limits
        self._queues: dict[ServiceName, AdmissionQueue] = {}
        self._waiters: dict[ServiceName, dict[int, _Waiter]] = {}

    @property
    def waiting_count(self) -> int:
        """Number of requests that wait for capacity."""
        return sum(queue.waiting for queue in self._queues.values())

    async def acquire(
        self, request: DispatchRequest
    ) -> Placed | Rejected | LimitReached | NoTarget | Withheld:
        """Acquire a slot at a target, waiting if necessary; ``release`` returns it."""
        attempt, denied = request, 0
        while True:
            match await self._acquire_slot(attempt):
                case _Reserved(placed=placed):
                    started = await self._start_within_limit(request.placement, placed)
                    if started is not None:
                        return started
                    denied += 1
                    if denied == MAX_TOKEN_ASKS:
                        attempt = _avoid_limited(request)
                case LimitsUsedUp(targets=targets):
                    return self._schedule_retry(request.placement.service, targets)
                case acquired:
                    return acquired

    async def _acquire_slot(
        self, request: DispatchRequest
    ) -> Placed | _Reserved | Rejected | LimitsUsedUp | NoTarget | Withheld:
        now_s = read_clock_s()
        service = request.placement.service
        choice = self._steering.placement.choose(request.placement, now_s)
        if isinstance(choice, NoTarget | LimitsUsedUp | TargetsLeaving | TargetsResting):
            return choice
        if isinstance(choice, Placed) and not self._queue(service).waiting:
            return self._reserve(request.placement, choice, now_s)
        return await self._wait(request, now_s)

    async def _start_within_limit(self, request: PlacementRequest, placed: Placed) -> Placed | None:
        """Take a token of the target's rate limit; without one, return the slot and None.

        The target may have said meanwhile that it wants nothing more.
        """
        is_allowed = False
        try:
            is_allowed = await self._limits.try_take(placed.target.name)
            is_allowed = is_allowed and not placed.target.is_withheld(read_clock_s())
        finally:
            if not is_allowed:
                await self.release(placed.target)
        return self._record_start(request, placed, read_clock_s()) if is_allowed else None

    def _schedule_retry(self, service: ServiceName, targets: tuple[Target, ...]) -> LimitReached:
        pauses = self._steering.limit_pauses
        return LimitReached(pauses.schedule_retry(service, targets, read_clock_s()))

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
            match self._steering.placement.choose(waiter.claim.placement, now_s):
                case Placed() as placed:
                    waiter.result = self._reserve(waiter.claim.placement, placed, now_s)
                case LimitsUsedUp() | TargetsLeaving() | TargetsResting() as unserved:
                    waiter.result = unserved
                case _:
                    continue
            self._queue(service).remove(entry)
            del waiters[entry.number]
            await waiter.has_result.set()

    async def _wait(
        self, request: DispatchRequest, now_s: float
    ) -> Placed | _Reserved | LimitsUsedUp | Withheld | Rejected:
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
                await waiter.has_result.wait()
        except curio.TaskTimeout:
            if waiter.result is None:
                return queue.create_rejection(read_clock_s())
        except curio.CancelledError:
            match waiter.result:
                case Placed(target=target) | _Reserved(placed=Placed(target=target)):
                    await self.release(target)
            raise
        finally:
            queue.remove(entered.entry)
            self._waiters[service].pop(entered.entry.number, None)
        assert waiter.result is not None
        return waiter.result

    def _reserve(
        self, request: PlacementRequest, placed: Placed, now_s: float
    ) -> Placed | _Reserved:
        """Take a slot; the request starts at once if its target states no rate limit."""
        self._steering.placement.reserve(placed, now_s)
        if self._limits.needs_token(placed.target.name):
            return _Reserved(placed)
        return self._record_start(request, placed, now_s)

    def _record_start(self, request: PlacementRequest, placed: Placed, now_s: float) -> Placed:
        self._queue(placed.target.record.service).record_start(now_s)
        return self._steering.placement.record_run(request, placed, now_s)

    def _queue(self, service: ServiceName) -> AdmissionQueue:
        queue = self._queues.get(service)
        if queue is None:
            queue = self._queues[service] = AdmissionQueue(self._steering.settings.queue)
        return queue


def _avoid_limited(request: DispatchRequest) -> DispatchRequest:
    return evolve(request, placement=evolve(request.placement, allows_limited=False))
