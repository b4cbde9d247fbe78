"""Single failures of the holder, the table and the failure domain."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest
from grant_world import DETECTION_S
from grant_world import SETTINGS
from grant_world import TICK_S
from grant_world import Node
from grant_world import World

from siskinward.coordination.grants._record import decode_record
from siskinward.coordination.grants.messages import GrantNotice
from siskinward.state.identifiers import IncarnationId
from siskinward.state.identifiers import VmName

if TYPE_CHECKING:
    from siskinward.coordination.grants import GrantRecord

OUTAGE_S = 600.0
# Failure detection, a read and a write of the row, the wait, and the ticks between them.
TAKEOVER_S = DETECTION_S + SETTINGS.takeover_wait_s + SETTINGS.verify_interval_s + 1.0


@pytest.fixture
def world() -> World:
    world = World()
    world.run(2 * SETTINGS.startup_delay_s)
    return world


def only_user(world: World) -> Node:
    (user,) = world.users()
    return user


def recorded(world: World) -> GrantRecord:
    return decode_record(world.row[1])


def at_most_one(world: World) -> None:
    assert len(world.users()) <= 1


def test_first_holder_starts_and_is_recorded(world: World) -> None:
    user = only_user(world)
    assert recorded(world).incarnation == user.identity.incarnation
    assert {n.participant.holder for n in world.nodes.values()} == {user.name}


def test_crashed_holder_is_replaced_after_silence_and_wait(world: World) -> None:
    old = only_user(world)
    world.stop(old.name)
    crashed_s = world.now_s
    world.run(DETECTION_S + SETTINGS.takeover_wait_s - 0.25)
    assert world.users() == []
    world.run(TAKEOVER_S - (world.now_s - crashed_s))
    new = only_user(world)
    assert new.participant.epoch > old.participant.epoch


def test_holder_keeps_the_grant_during_a_store_outage(world: World) -> None:
    user = only_user(world)
    world.outage_until_s = world.now_s + OUTAGE_S
    world.run(OUTAGE_S, lambda: None if world.users() == [user] else pytest.fail("gap"))


def test_crash_during_outage_leaves_no_holder_until_the_store_returns(world: World) -> None:
    world.outage_until_s = world.now_s + 60.0
    world.stop(only_user(world).name)
    world.run(60.0, lambda: None if not world.users() else pytest.fail("used"))
    world.run(TAKEOVER_S)
    assert len(world.users()) == 1


def test_paused_holder_stops_using_the_grant_when_it_resumes(world: World) -> None:
    old = only_user(world)
    old.paused_until_s = world.now_s + 30.0
    world.run(40.0, lambda: at_most_one(world))
    assert only_user(world) != old


def test_short_pause_keeps_the_grant(world: World) -> None:
    user = only_user(world)
    user.paused_until_s = world.now_s + SETTINGS.stall_bound_s / 2
    world.run(1.0)
    assert world.users() == [user]


def test_stalled_holder_without_platform_is_confirmed_by_all_peers(world: World) -> None:
    world.run(SETTINGS.confirm_after_s)
    user = only_user(world)
    world.outage_until_s = world.now_s + 60.0
    user.paused_until_s = world.now_s + 2.0
    world.run(2.5)
    assert world.users() == []
    world.run(SETTINGS.takeover_wait_s + SETTINGS.verify_interval_s)
    assert world.users() == [user]


def test_stalled_holder_alone_without_platform_refuses() -> None:
    world = World(size=1)
    world.run(2 * SETTINGS.startup_delay_s)
    user = only_user(world)
    world.outage_until_s = world.now_s + 60.0
    user.paused_until_s = world.now_s + 2.0
    world.run(60.0, lambda: None if not world.users() else at_most_one(world))
    assert world.users() == []
    world.run(TAKEOVER_S)
    assert world.users() == [user]


def test_holder_alone_that_was_not_stalled_keeps_the_grant_in_a_partition() -> None:
    world = World(size=2)
    world.run(2 * SETTINGS.startup_delay_s)
    user = only_user(world)
    world.outage_until_s = world.now_s + OUTAGE_S
    world.stop(next(name for name in world.nodes if name != user.name))
    world.run(60.0, lambda: None if world.users() == [user] else pytest.fail("gap"))


def test_restarted_holder_does_not_use_its_predecessors_grant(world: World) -> None:
    old = only_user(world)
    world.stop(old.name)
    world.start(old.name)
    world.run(SETTINGS.takeover_wait_s, lambda: None if not world.users() else pytest.fail("used"))
    world.run(TAKEOVER_S + SETTINGS.startup_delay_s)
    assert only_user(world).identity != old.identity


@pytest.mark.parametrize("lost", [1, 2, 3])
def test_lost_answer_of_a_claim_is_recognised_as_its_own(lost: int) -> None:
    world = World()
    world.lost_answers = lost
    world.run(4 * SETTINGS.startup_delay_s)
    user = only_user(world)
    assert recorded(world).incarnation == user.identity.incarnation
    assert world.row[0] == 1


@pytest.mark.parametrize("store_up", [True, False])
def test_released_grant_is_used_by_the_successor_without_wait(world: World, store_up: bool) -> None:
    old = only_user(world)
    epoch = old.participant.epoch
    world.outage_until_s = world.now_s + (0.0 if store_up else 30.0)
    world.release(old.name)
    world.run(1.0, lambda: at_most_one(world))
    new = only_user(world)
    assert new != old
    assert new.participant.epoch > epoch
    world.run(40.0, lambda: None if world.users() == [new] else pytest.fail("gap"))
    assert recorded(world).incarnation == new.identity.incarnation


def test_lost_handover_is_repaired_from_the_row(world: World) -> None:
    old = only_user(world)
    world.release(old.name)
    for node in world.nodes.values():
        node.inbox = [item for item in node.inbox if node is old]
    world.stop(old.name)
    world.run(TAKEOVER_S + DETECTION_S, lambda: at_most_one(world))
    assert len(world.users()) == 1


def test_wrongly_suspected_holder_is_notified_of_its_successor(world: World) -> None:
    old = only_user(world)
    world.run(SETTINGS.notify_departed_s)
    old.suspected_until_s = world.now_s + 10.0
    while recorded(world).incarnation == old.identity.incarnation:
        world.run(TICK_S, lambda: at_most_one(world))
    # From here on the old holder can't read the takeover from the row.
    world.outage_until_s = world.now_s + 30.0
    world.run(30.0, lambda: at_most_one(world))
    assert only_user(world) != old


@pytest.mark.parametrize("index", [0, 1])
def test_two_records_of_one_epoch_are_settled(world: World, index: int) -> None:
    """A follower knows another holder of the epoch that the successor is given."""
    old = only_user(world)
    followers = [node for node in world.nodes.values() if node is not old]
    other = GrantNotice("account/x", old.participant.epoch + 1, VmName("vm9"), IncarnationId("g"))
    follower = followers[index]
    follower.participant.on_message(other, followers[1 - index].identity, world.now_s)
    world.release(old.name)
    world.run(TAKEOVER_S + DETECTION_S, lambda: at_most_one(world))
    new = only_user(world)
    world.run(TAKEOVER_S, lambda: None if world.users() == [new] else pytest.fail("gap"))
    assert {node.participant.holder for node in followers} == {new.name}


def test_cut_inside_the_domain_breaks_the_assumption(world: World) -> None:
    """Network partitions inside a failure domain are outside the fault model.

    A holder that reaches neither its domain nor the platform, but is reachable by callers, keeps
    using the grant beside its successor. Receivers can tell the two apart by the epoch only.
    """
    old = only_user(world)
    old.cut_in_domain = True
    old.cut_from_table = True
    world.run(TAKEOVER_S + SETTINGS.startup_delay_s)
    assert old in world.users()
    assert len({user.participant.epoch for user in world.users()}) == 2
    old.cut_from_table = False
    world.run(SETTINGS.verify_interval_s + 1.0)
    assert only_user(world) != old
