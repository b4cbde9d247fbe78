"""Simulation of one grant's participants with fake clocks, network and table."""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import Any

from attrs import define
from attrs import field

from siskinward.coordination.events import ReadRow
from siskinward.coordination.events import RowFailed
from siskinward.coordination.events import RowRead
from siskinward.coordination.events import RowWritten
from siskinward.coordination.events import Send
from siskinward.coordination.events import VmIdentity
from siskinward.coordination.events import WriteOutcome
from siskinward.coordination.events import WriteRow
from siskinward.coordination.grants import GrantParticipant
from siskinward.coordination.grants import GrantSettings
from siskinward.coordination.membership import Member
from siskinward.coordination.membership import VmAddress
from siskinward.state.identifiers import DomainName
from siskinward.state.identifiers import IncarnationId
from siskinward.state.identifiers import VmName

TICK_S = 0.125
DETECTION_S = 3.5
MESSAGE_DELAY_S = 0.25
MAX_CONSECUTIVE_LOSSES = 2
SETTINGS = GrantSettings()


@define
class Node:
    name: str
    clock_rate: float
    identity: VmIdentity
    participant: GrantParticipant
    up: bool = True
    leaving: bool = False
    cut_in_domain: bool = False
    cut_from_table: bool = False
    paused_until_s: float = 0.0
    seen_s: float = 0.0
    suspected_until_s: float = 0.0
    stop_at_s: float = float("inf")
    members: tuple[Member, ...] = ()
    inbox: list[tuple[float, Callable[[Node], list[Any]]]] = field(factory=list)

    def clock(self, now_s: float) -> float:
        return now_s * self.clock_rate


class World:
    def __init__(self, size: int = 3, seed: int = 0, rates: tuple[float, ...] = ()) -> None:
        self.now_s = 0.0
        self.random = Random(seed)
        self.row = (0, b"")
        self.outage_until_s = 0.0
        self.lossy_until_s = 0.0
        self.lost_answers = 0
        self.answer_delay_s = 0.05
        self.slow_until_s = 0.0
        self.serial = 0
        self.losses: dict[tuple[str, str, type], int] = {}
        self.restarts: list[tuple[float, str]] = []
        self.rates = rates or (1.0,) * size
        self.nodes: dict[str, Node] = {}
        for index in range(size):
            self.start(f"vm{index}")

    def start(self, name: str) -> None:
        self.serial += 1
        identity = VmIdentity(VmName(name), DomainName("d"), IncarnationId(f"i{self.serial}"))
        rate = self.rates[int(name[2:])]
        participant = GrantParticipant(SETTINGS, identity, "account/x", self.now_s * rate)
        self.nodes[name] = Node(name, rate, identity, participant, seen_s=self.now_s)

    def stop(self, name: str) -> None:
        self.nodes[name].up = False

    def release(self, name: str, timeout_s: float = 3.0) -> None:
        node = self.nodes[name]
        node.leaving = True
        node.stop_at_s = self.now_s + timeout_s
        self.carry_out(node, node.participant.release(node.clock(self.now_s)))

    def users(self) -> list[Node]:
        return [
            node
            for node in self.nodes.values()
            if self.runs(node) and node.participant.may_use(node.clock(self.now_s))
        ]

    def runs(self, node: Node) -> bool:
        return node.up and node.paused_until_s <= self.now_s

    def members(self) -> tuple[Member, ...]:
        address = VmAddress("10.0.0.1", 80, 81)
        return tuple(
            Member(node.identity, address, node.leaving)
            for node in self.nodes.values()
            if self.now_s - node.seen_s <= DETECTION_S and self.now_s >= node.suspected_until_s
        )

    def carry_out(self, node: Node, effects: list[Any]) -> None:
        for effect in effects:
            match effect:
                case Send(to, message):
                    self.send(node, to, message)
                case ReadRow() | WriteRow():
                    self.ask_table(node, effect)

    def send(self, node: Node, to: str, message: Any) -> None:
        key = (node.name, to, type(message))
        lossy = self.now_s < self.lossy_until_s and self.losses.get(key, 0) < MAX_CONSECUTIVE_LOSSES
        if lossy and self.random.random() < 0.5:
            self.losses[key] = self.losses.get(key, 0) + 1
            return
        self.losses[key] = 0
        receiver = self.nodes[to]
        if node.cut_in_domain != receiver.cut_in_domain:
            return
        sender = node.identity
        self.post(
            receiver,
            self.random.uniform(0, MESSAGE_DELAY_S),
            lambda n: n.participant.on_message(message, sender, n.clock(self.now_s)),
        )

    def post(self, node: Node, delay_s: float, action: Callable[[Node], list[Any]]) -> None:
        node.inbox.append((self.now_s + delay_s, action))

    def ask_table(self, node: Node, request: ReadRow | WriteRow) -> None:
        is_down = self.now_s < self.outage_until_s or node.cut_from_table
        answer: Any
        match request:
            case ReadRow(row, request_id):
                answer = (
                    RowFailed(row, request_id) if is_down else RowRead(row, request_id, *self.row)
                )
            case WriteRow(row, expected, value, request_id):
                outcome, version = WriteOutcome.UNKNOWN, 0
                if not is_down:
                    outcome = self.write(expected, value)
                    version = self.row[0]
                if self.lost_answers > 0:
                    self.lost_answers -= 1
                    outcome, version = WriteOutcome.UNKNOWN, 0
                answer = RowWritten(row, request_id, outcome, version)
        slow_s = 4.0 if self.now_s < self.slow_until_s else 0.0
        delay_s = self.answer_delay_s + self.random.uniform(0, slow_s)
        self.post(
            node, delay_s, lambda n: n.participant.on_table_answer(answer, n.clock(self.now_s))
        )

    def write(self, expected: int, value: bytes) -> WriteOutcome:
        if self.row[0] != expected:
            return WriteOutcome.CONFLICT
        self.row = (expected + 1, value)
        return WriteOutcome.APPLIED

    def run(self, duration_s: float, check: Callable[[], None] | None = None) -> None:
        end_s = self.now_s + duration_s
        while self.now_s < end_s:
            self.now_s += TICK_S
            if check:
                # Check before messages and timers too: a resumed process may use the grant first.
                check()
            self.tick()
            if check:
                check()

    def tick(self) -> None:
        for at_s, name in list(self.restarts):
            if at_s <= self.now_s:
                self.restarts.remove((at_s, name))
                self.start(name)
        running = [node for node in self.nodes.values() if self.runs(node)]
        for node in running:
            node.seen_s = self.now_s
        members = self.members()
        for node in running:
            self.step(node, members)

    def step(self, node: Node, members: tuple[Member, ...]) -> None:
        due = sorted((item for item in node.inbox if item[0] <= self.now_s), key=lambda i: i[0])
        node.inbox = [item for item in node.inbox if item[0] > self.now_s]
        for _, action in due:
            self.carry_out(node, action(node))
        clock_s = node.clock(self.now_s)
        # A VM always counts itself as live.
        own = Member(node.identity, VmAddress("10.0.0.1", 80, 81), node.leaving)
        seen = tuple(
            member
            for member in members
            if member.identity != node.identity
            and self.nodes[member.identity.vm].cut_in_domain == node.cut_in_domain
        )
        if node.members != (*seen, own):
            node.members = (*seen, own)
            self.carry_out(node, node.participant.on_members(node.members, clock_s))
        self.carry_out(node, node.participant.on_timer(clock_s))
        if node.leaving and (node.participant.is_handed_over or self.now_s > node.stop_at_s):
            node.up = False
