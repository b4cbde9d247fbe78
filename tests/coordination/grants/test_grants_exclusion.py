"""Property: no two participants may use a grant at the same time, whatever faults occur."""

from __future__ import annotations

from enum import Enum

from attrs import frozen
from grant_world import DETECTION_S
from grant_world import World
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

RUN_S = 60.0
QUIET_S = 60.0
SIZE = 3


class Fault(Enum):
    PAUSE = "pause"
    CRASH = "crash"
    RESTART = "restart"
    RELEASE = "release"
    OUTAGE = "outage"
    LOST_ANSWERS = "lost-answers"
    SLOW_TABLE = "slow-table"
    LOSS = "loss"
    SUSPECT = "suspect"


@frozen
class Event:
    at_s: float
    fault: Fault
    on_holder: bool
    vm: int
    duration_s: float


EVENTS = st.lists(
    st.builds(
        Event,
        at_s=st.floats(0, RUN_S),
        fault=st.sampled_from(Fault),
        on_holder=st.booleans(),
        vm=st.integers(0, SIZE - 1),
        duration_s=st.floats(0.2, 15.0),
    ),
    min_size=1,
    max_size=14,
)
RATES = st.tuples(*[st.floats(0.999, 1.001)] * SIZE)


def apply(world: World, event: Event) -> None:
    users = world.users()
    name = users[0].name if users and event.on_holder else f"vm{event.vm}"
    node = world.nodes[name]
    until_s = world.now_s + event.duration_s
    match event.fault:
        case Fault.PAUSE:
            node.paused_until_s = until_s
        case Fault.CRASH:
            world.stop(name)
            world.restarts.append((until_s, name))
        case Fault.RESTART:
            world.start(name)
        case Fault.RELEASE if node.up and not node.leaving and world.runs(node):
            world.release(name)
            world.restarts.append((until_s + DETECTION_S, name))
        case Fault.OUTAGE:
            world.outage_until_s = until_s
        case Fault.LOST_ANSWERS:
            world.lost_answers = 2
        case Fault.SLOW_TABLE:
            world.slow_until_s = until_s
        case Fault.LOSS:
            world.lossy_until_s = until_s
        case Fault.SUSPECT:
            node.suspected_until_s = until_s


@given(events=EVENTS, rates=RATES, seed=st.integers(0, 2**32))
@settings(max_examples=150)
def test_grants_never_two_users_and_epochs_rise(
    events: list[Event], rates: tuple[float, ...], seed: int
) -> None:
    world = World(SIZE, seed, rates)
    used_epochs = [0]

    def check() -> None:
        users = world.users()
        assert len(users) <= 1, [(u.name, u.participant.state) for u in users]
        for user in users:
            assert user.participant.epoch >= used_epochs[-1]
            used_epochs.append(user.participant.epoch)

    for event in sorted(events, key=lambda e: e.at_s):
        world.run(max(0.0, event.at_s - world.now_s), check)
        apply(world, event)
    world.run(QUIET_S, check)
    assert len(world.users()) == 1
