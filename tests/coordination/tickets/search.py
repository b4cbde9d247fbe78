"""Exhaustive search over the interleavings of a few ticket registries and their messages.

Every message ever sent may be delivered at any time, any number of times, or never: that covers
loss, duplication, reordering and delay. A VM that is never stepped again has stalled or crashed; a
replaced one restarts with another incarnation. Each registry state's reaction to an event is
computed once.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from attrs import evolve
from search_model import DEADLINE_S
from search_model import LOST
from search_model import SECRET
from search_model import SETTINGS
from search_model import SHED
from search_model import AttemptStatus
from search_model import Begin
from search_model import Deliver
from search_model import Depart
from search_model import Finish
from search_model import HandOver
from search_model import Interner
from search_model import Node
from search_model import Reaction
from search_model import Replace
from search_model import Scenario
from search_model import Tick
from search_model import ViolationError
from search_model import World
from search_model import clone
from search_model import freeze
from search_model import identity

from siskinward.coordination.events import Send
from siskinward.coordination.outcomes import Answered
from siskinward.coordination.outcomes import NotRun
from siskinward.coordination.tickets import AnswerCaller
from siskinward.coordination.tickets import Dispatch
from siskinward.coordination.tickets import NotRunScope
from siskinward.coordination.tickets import TicketRegistry
from siskinward.coordination.tickets import TicketStep
from siskinward.coordination.tickets._attempts import Dispatched
from siskinward.state.identifiers import AccountName

if TYPE_CHECKING:
    from collections.abc import Iterator


class Search:
    """Visits every reachable world of a scenario once and checks the promises in each.

    A world is the state of all VMs, with every message and answer sent so far.
    """

    def __init__(self, scenario: Scenario) -> None:
        self.scenario = scenario
        self.ticket = ""
        self.statuses: set[AttemptStatus] = set()
        self._entry = dict(scenario.sends)
        self._attempts = [attempt for attempt, _ in scenario.sends]
        self._at = {vm: position for position, vm in enumerate(scenario.vms)}
        self._registries: list[TicketRegistry] = []
        self._registry_numbers: dict[Any, int] = {}
        self._nodes = Interner()
        self._messages = Interner()
        self._answers = Interner()
        self._fresh: dict[str, int] = {}
        self._steps: dict[tuple[int, Any], Reaction] = {}

    def run(self) -> int:
        """Visit all worlds; return their number."""
        start = self._start()
        seen = {start}
        stack = [start]
        while stack:
            world = stack.pop()
            for following in self._following(world):
                if following is world or following in seen:
                    continue
                self._check(following)
                seen.add(following)
                stack.append(following)
        return len(seen)

    def _start(self) -> World:
        live = tuple(identity(vm) for vm in self.scenario.vms)
        nodes = []
        for vm in self.scenario.vms:
            registry = TicketRegistry(SETTINGS, identity(vm), SECRET)
            if not self.scenario.copyless:
                registry.on_members(live, 0.0)
            if vm == "home":
                self.ticket = registry.issue_ticket(0.0)
            nodes.append(self._nodes.number(Node(identity(vm), self._registry(registry))))
        return World(tuple(nodes), statuses=(AttemptStatus.UNSENT,) * len(self._attempts))

    def _registry(self, registry: TicketRegistry) -> int:
        image = freeze(registry)
        if image not in self._registry_numbers:
            self._registry_numbers[image] = len(self._registries)
            self._registries.append(registry)
        return self._registry_numbers[image]

    def _following(self, world: World) -> Iterator[World]:
        for number in self._messages.members(world.messages):
            message: Deliver = self._messages.values[number]
            yield self._step(world, message.to, number)
        for event in self._events(world):
            yield self._apply(world, event)

    def _events(self, world: World) -> Iterator[Any]:
        for attempt, status in zip(self._attempts, world.statuses, strict=True):
            if status is AttemptStatus.UNSENT:
                yield Begin(attempt)
            if status is AttemptStatus.DISPATCHED:
                answer = Answered(200, (), attempt.encode())
                yield from (Finish(attempt, outcome) for outcome in (answer, SHED, LOST))
        yield from (Tick(vm) for vm in set(self._entry.values()) if self._may_tick(world, vm))
        if len(world.replaced) < self.scenario.replacements:
            yield from (Replace(vm) for vm in self.scenario.replaceable if vm not in world.replaced)
        if self.scenario.departures:
            departures = {Depart(vm, at) for vm in world.replaced for at in self._at if at != vm}
            yield from departures - world.departed
        if self.scenario.hand_over and not world.handed_over:
            yield self.scenario.hand_over

    def _may_tick(self, world: World, vm: str) -> bool:
        node: Node = self._nodes.values[world.nodes[self._at[vm]]]
        attempts = vars(self._registries[node.registry])["_attempts"]
        stages = [type(attempt.stage) for attempt in vars(attempts)["_attempts"].values()]
        return any(stage is not Dispatched for stage in stages) and node.now_s < self.scenario.ticks

    def _apply(self, world: World, event: Any) -> World:
        match event:
            case Begin(attempt):
                world = self._with_status(world, attempt, AttemptStatus.BEGUN)
                return self._step(world, self._entry[attempt], event)
            case Finish(attempt, outcome):
                world = self._with_status(
                    world, attempt, AttemptStatus.SHED if outcome == SHED else AttemptStatus.RAN
                )
                return self._step(world, self._entry[attempt], event)
            case Replace(vm):
                return self._replace(world, vm)
            case Depart():
                world = evolve(world, departed=world.departed | {event})
                return self._step(world, event.at, event)
            case HandOver():
                return self._step(evolve(world, handed_over=True), event.vm, event)
        return self._step(world, event.vm, event)

    def _with_status(self, world: World, attempt: str, status: AttemptStatus) -> World:
        at = self._attempts.index(attempt)
        return evolve(world, statuses=(*world.statuses[:at], status, *world.statuses[at + 1 :]))

    def _replace(self, world: World, vm: str) -> World:
        nodes = list(world.nodes)
        nodes[self._at[vm]] = self._fresh_node(vm)
        # A dispatched request may have run, but its outcome can't be reported any more.
        statuses = tuple(
            (
                AttemptStatus.RAN
                if status is AttemptStatus.DISPATCHED and self._entry[attempt] == vm
                else status
            )
            for attempt, status in zip(self._attempts, world.statuses, strict=True)
        )
        replaced = world.replaced | {vm}
        return evolve(world, nodes=tuple(nodes), statuses=statuses, replaced=replaced)

    def _fresh_node(self, vm: str) -> int:
        if vm not in self._fresh:
            fresh = identity(vm, 1)
            registry = TicketRegistry(SETTINGS, fresh, SECRET)
            registry.on_members([identity(name) for name in self._at if name != vm] + [fresh], 0.0)
            self._fresh[vm] = self._nodes.number(Node(fresh, self._registry(registry)))
        return self._fresh[vm]

    def _step(self, world: World, vm: str, event: Any) -> World:
        at = self._at[vm]
        key = (world.nodes[at], event)
        reaction = self._steps.get(key)
        if reaction is None:
            reaction = self._steps[key] = self._react(self._nodes.values[world.nodes[at]], event)
        messages = world.messages | reaction.messages
        answers = world.answers | reaction.answers
        nodes = (*world.nodes[:at], reaction.node, *world.nodes[at + 1 :])
        if (nodes, messages, answers) == (world.nodes, world.messages, world.answers):
            if reaction.dispatched:
                raise ViolationError(f"{reaction.dispatched} dispatched without a record of it")
            return world
        for attempt in reaction.dispatched:
            if world.statuses[self._attempts.index(attempt)] is not AttemptStatus.BEGUN:
                raise ViolationError(f"{attempt} was dispatched twice")
            world = self._with_status(world, attempt, AttemptStatus.DISPATCHED)
        rest = (world.statuses, world.replaced, world.departed, world.handed_over)
        return World(nodes, messages, answers, *rest)

    def _react(self, node: Node, event: Any) -> Reaction:
        if isinstance(event, Tick):
            node = evolve(node, now_s=node.now_s + 1)
        registry = clone(self._registries[node.registry], {})
        steps = self._drive(registry, event, float(node.now_s))
        number = self._nodes.number(evolve(node, registry=self._registry(registry)))
        messages, answers = 0, 0
        for step in steps:
            match step:
                case Send(to, message):
                    messages |= 1 << self._messages.number(Deliver(node.identity, to, message))
                case AnswerCaller():
                    answers |= 1 << self._answers.number(step)
        dispatched = tuple(step.attempt_id for step in steps if isinstance(step, Dispatch))
        return Reaction(number, messages, answers, dispatched)

    def _drive(self, registry: TicketRegistry, event: Any, now_s: float) -> list[TicketStep]:
        match event:
            case int():
                message: Deliver = self._messages.values[event]
                return registry.on_message(message.message, message.sender, now_s)
            case Begin(attempt):
                account = AccountName("account")
                return registry.begin(attempt, self.ticket, account, "print", DEADLINE_S, now_s)
            case Finish(attempt, outcome):
                return registry.report_outcome(attempt, outcome, now_s)
            case Depart(vm):
                live = [identity(name) for name in self._at if name != vm]
                return registry.on_members(live, now_s)
            case HandOver(_, peer):
                return registry.hand_over(identity(peer), now_s)
        return registry.on_timer(now_s)

    def _check(self, world: World) -> None:
        self.statuses.update(world.statuses)
        statuses = list(zip(self._attempts, world.statuses, strict=True))
        may_have_run = {
            a for a, status in statuses if status in (AttemptStatus.DISPATCHED, AttemptStatus.RAN)
        }
        dispatched = may_have_run | {a for a, status in statuses if status is AttemptStatus.SHED}
        if len(dispatched) > 1:
            raise ViolationError(f"dispatched twice: {dispatched}")
        for number in self._answers.members(world.answers):
            match self._answers.values[number]:
                case AnswerCaller(outcome=NotRun(), scope=NotRunScope.REQUEST) if may_have_run:
                    raise ViolationError(f"wrong NotRun answer: {may_have_run} may have run")
                case AnswerCaller(attempt_id=attempt) if attempt in dispatched:
                    raise ViolationError(f"{attempt} was dispatched and its caller answered")
                case AnswerCaller(outcome=Answered(body=body)) if body.decode() not in dispatched:
                    raise ViolationError(f"answer of an undispatched attempt: {body!r}")
