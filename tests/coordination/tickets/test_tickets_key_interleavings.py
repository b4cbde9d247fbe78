"""No request under a caller's key runs twice, even if the table loses answers or writes late."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest
from attrs import evolve
from attrs import frozen
from search_model import LOST
from search_model import SECRET
from search_model import SHED
from search_model import AttemptStatus
from search_model import Begin
from search_model import Finish
from search_model import Tick
from search_model import ViolationError
from search_model import clone
from search_model import freeze
from search_model import identity

from siskinward.coordination.events import ReadRow
from siskinward.coordination.events import RowFailed
from siskinward.coordination.events import RowRead
from siskinward.coordination.events import RowWritten
from siskinward.coordination.events import TableAnswer
from siskinward.coordination.events import WriteOutcome
from siskinward.coordination.events import WriteRow
from siskinward.coordination.outcomes import Answered
from siskinward.coordination.tickets import AnswerCaller
from siskinward.coordination.tickets import Dispatch
from siskinward.coordination.tickets import TicketRegistry
from siskinward.coordination.tickets import TicketSettings
from siskinward.coordination.tickets._key_claims import KeyAttempt
from siskinward.coordination.tickets._key_claims import KeyClaims
from siskinward.state.identifiers import AccountName

if TYPE_CHECKING:
    from collections.abc import Iterator

    from siskinward.coordination.tickets import TicketStep

Event = Begin | Finish | Tick | TableAnswer
SETTINGS = TicketSettings(store_timeout_s=1.0, store_retry_s=1.0, finish_interval_s=1.0)
ACCOUNT = AccountName("agency")
DEADLINE_S = 1000.0
FAULTY = 0


@frozen(cache_hash=True)
class Node:
    registry: int
    now_s: int = 0


@frozen(cache_hash=True)
class Operation:
    vm: int
    step: ReadRow | WriteRow


@frozen(cache_hash=True)
class World:
    """State of both VMs and the table's row.

    ``late`` writes were reported as unknown and may still take effect, or never.
    """

    nodes: tuple[Node, Node]
    statuses: tuple[AttemptStatus, AttemptStatus] = (AttemptStatus.UNSENT, AttemptStatus.UNSENT)
    version: int = 0
    value: bytes = b""
    open: frozenset[Operation] = frozenset()
    late: frozenset[WriteRow] = frozenset()
    answers: frozenset[AnswerCaller] = frozenset()
    losses: int = 0


class KeySearch:
    """Operations of VM 0 are lost up to ``losses`` times and its clock moves ``ticks`` times.

    Visits every reachable world; attempt ``"0"`` is sent to VM 0, ``"1"`` to VM 1.
    """

    def __init__(self, *, losses: int, ticks: int) -> None:
        self._losses = losses
        self._ticks = ticks
        self._registries: list[TicketRegistry] = []
        self._numbers: dict[object, int] = {}
        self._steps: dict[tuple[Node, Event], tuple[Node, list[TicketStep]]] = {}
        self.statuses: set[AttemptStatus] = set()
        self.worlds = 0

    def run(self) -> None:
        """Visit every world."""
        registries = [
            TicketRegistry(SETTINGS, identity(f"vm-{number}"), SECRET) for number in range(2)
        ]
        first, second = (Node(self._number(registry)) for registry in registries)
        start = World((first, second))
        seen, stack = {start}, [start]
        while stack:
            for world in self._following(stack.pop()):
                if world not in seen:
                    self._check(world)
                    seen.add(world)
                    stack.append(world)
        self.worlds = len(seen)

    def _number(self, registry: TicketRegistry) -> int:
        image = freeze(registry)
        if image not in self._numbers:
            self._numbers[image] = len(self._registries)
            self._registries.append(registry)
        return self._numbers[image]

    def _following(self, world: World) -> Iterator[World]:
        for operation in world.open:
            yield self._serve(world, operation)
            if operation.vm == FAULTY and world.losses < self._losses:
                yield self._lose(world, operation)
        for write in world.late:
            yield self._write(evolve(world, late=world.late - {write}), write)
        for vm in range(2):
            yield from self._local_events(world, vm)

    def _local_events(self, world: World, vm: int) -> Iterator[World]:
        if world.statuses[vm] is AttemptStatus.UNSENT:
            yield self._step(_with_status(world, vm, AttemptStatus.BEGUN), vm, Begin(str(vm)))
        if world.statuses[vm] is AttemptStatus.DISPATCHED:
            answer = Answered(200, (), str(vm).encode())
            for outcome, status in (
                (answer, AttemptStatus.RAN),
                (SHED, AttemptStatus.SHED),
                (LOST, AttemptStatus.RAN),
            ):
                yield self._step(_with_status(world, vm, status), vm, Finish(str(vm), outcome))
        if vm == FAULTY and world.nodes[vm].now_s < self._ticks:
            yield self._step(world, vm, Tick(f"vm-{vm}"))

    def _step(self, world: World, vm: int, event: Event) -> World:
        key = (world.nodes[vm], event)
        if key not in self._steps:
            self._steps[key] = self._react(*key)
        node, steps = self._steps[key]
        return self._after(evolve(world, nodes=_replaced(world.nodes, vm, node)), vm, steps)

    def _react(self, node: Node, event: Event) -> tuple[Node, list[TicketStep]]:
        registry = clone(self._registries[node.registry], {})
        now_s = node.now_s + 1 if isinstance(event, Tick) else node.now_s
        match event:
            case Begin(attempt):
                steps = registry.begin(attempt, "own-key", ACCOUNT, "print", DEADLINE_S, now_s)
            case Finish(attempt, outcome):
                steps = registry.report_outcome(attempt, outcome, now_s)
            case Tick():
                steps = registry.on_timer(now_s)
            case _:
                steps = registry.on_table_answer(event, now_s)
        return Node(self._number(registry), now_s), steps

    def _serve(self, world: World, operation: Operation) -> World:
        step = operation.step
        world = evolve(world, open=world.open - {operation})
        if isinstance(step, ReadRow):
            read = RowRead(step.row, step.request_id, world.version, world.value)
            return self._step(world, operation.vm, read)
        applied = world.version == step.expected_version
        world = self._write(world, step)
        outcome = WriteOutcome.APPLIED if applied else WriteOutcome.CONFLICT
        written = RowWritten(step.row, step.request_id, outcome, world.version)
        return self._step(world, operation.vm, written)

    def _lose(self, world: World, operation: Operation) -> World:
        step = operation.step
        world = evolve(world, open=world.open - {operation}, losses=world.losses + 1)
        if isinstance(step, ReadRow):
            return self._step(world, operation.vm, RowFailed(step.row, step.request_id))
        world = evolve(world, late=world.late | {step})
        unknown = RowWritten(step.row, step.request_id, WriteOutcome.UNKNOWN, 0)
        return self._step(world, operation.vm, unknown)

    def _write(self, world: World, step: WriteRow) -> World:
        if world.version != step.expected_version:
            return world
        return evolve(world, version=world.version + 1, value=step.value)

    def _after(self, world: World, vm: int, steps: list[TicketStep]) -> World:
        for step in steps:
            match step:
                case ReadRow() | WriteRow():
                    world = evolve(world, open=world.open | {Operation(vm, step)})
                case Dispatch():
                    if world.statuses[vm] is not AttemptStatus.BEGUN:
                        raise ViolationError("dispatched twice")
                    world = _with_status(world, vm, AttemptStatus.DISPATCHED)
                case AnswerCaller():
                    world = evolve(world, answers=world.answers | {step})
        return world

    def _check(self, world: World) -> None:
        self.statuses.update(world.statuses)
        may_have_run = [
            status
            for status in world.statuses
            if status in (AttemptStatus.DISPATCHED, AttemptStatus.RAN)
        ]
        if len(may_have_run) > 1:
            raise ViolationError("both attempts may have run")
        for answer in world.answers:
            if world.statuses[int(answer.attempt_id)] is not AttemptStatus.BEGUN:
                raise ViolationError("an attempt was dispatched and its caller answered")
            if isinstance(answer.outcome, Answered):
                giver = int(answer.outcome.body)
                if world.statuses[giver] is not AttemptStatus.RAN:
                    raise ViolationError("answer of an attempt that did not run")


def _replaced(nodes: tuple[Node, Node], vm: int, node: Node) -> tuple[Node, Node]:
    return (node, nodes[1]) if vm == 0 else (nodes[0], node)


def _with_status(world: World, vm: int, status: AttemptStatus) -> World:
    first, second = world.statuses
    return evolve(world, statuses=(status, second) if vm == 0 else (first, status))


@pytest.mark.parametrize(("losses", "ticks"), [(2, 1), (1, 2)])
def test_key_interleavings_no_second_run_no_false_not_run(losses: int, ticks: int) -> None:
    search = KeySearch(losses=losses, ticks=ticks)
    search.run()
    assert search.statuses == set(AttemptStatus)


def _take_unknown_for_applied(
    claims: KeyClaims, attempt: KeyAttempt, now_s: float
) -> list[TicketStep]:
    return claims._dispatch(attempt, 1)


def _write_over_any_claim(
    claims: KeyClaims, attempt: KeyAttempt, answer: RowRead, now_s: float
) -> list[TicketStep]:
    return claims._write(attempt, answer.version, now_s)


@pytest.mark.parametrize(
    ("method", "variant"),
    [("_read", _take_unknown_for_applied), ("_on_read", _write_over_any_claim)],
)
def test_key_interleavings_broken_variant_is_caught(
    method: str, variant: object, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(KeyClaims, method, variant)
    with pytest.raises(ViolationError):
        KeySearch(losses=1, ticks=1).run()
