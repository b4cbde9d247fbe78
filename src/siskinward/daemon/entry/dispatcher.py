"""Finds a target for each request, at once or when room comes free."""

from __future__ import annotations

from typing import TYPE_CHECKING

import curio
from attrs import define
from attrs import field

from siskinward.coordination.steering.placement import NoTarget
from siskinward.coordination.steering.placement import Placed
from siskinward.coordination.steering.placement import PlacementRequest
from siskinward.coordination.steering.waiting import Ticket
from siskinward.coordination.steering.waiting import TurnedAway
from siskinward.coordination.steering.waiting import WaitingRoom
from siskinward.state.identifiers import AccountName
from siskinward.transport.clock import read_clock_s

if TYPE_CHECKING:
    from siskinward.coordination.steering.targets import Target
    from siskinward.daemon.entry.steering import Steering
    from siskinward.state.identifiers import ServiceName


@define(eq=False)
class Claim:
    """What a request brings to the queue."""

    placement: PlacementRequest
    account: AccountName | None
    priority: int
    objective_s: float
    arrived_s: float
    deadline_s: float


@define(eq=False)
class _Waiter:
    claim: Claim
    ticket: Ticket
    placed: Placed | None = None
    is_placed: curio.Event = field(factory=curio.Event)


class Dispatcher:
    """Counts requests at targets and lets waiting ones go, in their order."""

    def __init__(self, steering: Steering) -> None:
        self._steering = steering
        self._rooms: dict[ServiceName, WaitingRoom] = {}
        self._waiters: dict[ServiceName, dict[int, _Waiter]] = {}

    @property
    def waiting(self) -> int:
        """Requests that wait for room."""
        return sum(room.waiting for room in self._rooms.values())

    async def take(self, claim: Claim) -> Placed | TurnedAway | NoTarget:
        """Take room at a target; ``release`` gives it back."""
        now_s = read_clock_s()
        service = claim.placement.service
        choice = self._steering.placement.choose(claim.placement, now_s)
        if isinstance(choice, NoTarget):
            return choice
        if isinstance(choice, Placed) and not self._room(service).waiting:
            self._start(choice, now_s)
            return choice
        return await self._wait(claim, now_s)

    async def release(self, target: Target) -> None:
        """Give the room of a finished request back."""
        target.in_flight = max(0, target.in_flight - 1)
        await self.let_go(target.record.service)

    async def let_all_go(self) -> None:
        """Start what can be started after a change of targets or of other VMs' counts."""
        for service in list(self._rooms):
            await self.let_go(service)

    async def let_go(self, service: ServiceName) -> None:
        """Start waiting requests of a service while there is room for them."""
        waiters = self._waiters.get(service)
        if not waiters:
            return
        now_s = read_clock_s()
        for ticket in self._room(service).in_order():
            waiter = waiters[ticket.number]
            choice = self._steering.placement.choose(waiter.claim.placement, now_s)
            if isinstance(choice, Placed):
                self._start(choice, now_s)
                waiter.placed = choice
                self._room(service).leave(ticket)
                del waiters[ticket.number]
                await waiter.is_placed.set()

    async def _wait(self, claim: Claim, now_s: float) -> Placed | TurnedAway:
        service = claim.placement.service
        room = self._room(service)
        entered = room.enter(
            claim.account,
            priority=claim.priority,
            objective_s=claim.objective_s,
            arrived_s=claim.arrived_s,
            deadline_s=claim.deadline_s,
            now_s=now_s,
        )
        if isinstance(entered, TurnedAway):
            return entered
        waiter = _Waiter(claim, entered.ticket)
        self._waiters.setdefault(service, {})[entered.ticket.number] = waiter
        await self.let_go(service)
        try:
            async with curio.timeout_after(max(0.0, entered.ticket.start_by_s - now_s)):
                await waiter.is_placed.wait()
        except curio.TaskTimeout:
            if waiter.placed is None:
                return room.turn_away(read_clock_s())
        except curio.CancelledError:
            if waiter.placed is not None:
                await self.release(waiter.placed.target)
            raise
        finally:
            room.leave(entered.ticket)
            self._waiters[service].pop(entered.ticket.number, None)
        assert waiter.placed is not None
        return waiter.placed

    def _start(self, choice: Placed, now_s: float) -> None:
        self._steering.placement.note_sent(choice.target, now_s)
        self._room(choice.target.record.service).note_start(now_s)

    def _room(self, service: ServiceName) -> WaitingRoom:
        room = self._rooms.get(service)
        if room is None:
            room = self._rooms[service] = WaitingRoom(self._steering.settings.waiting)
        return room
