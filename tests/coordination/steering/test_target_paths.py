"""When a VM takes itself for cut off from targets, and whom it asks to relay."""

from __future__ import annotations

from random import Random

import pytest
from steering_fixtures import SERVICE
from steering_fixtures import entry_vm
from steering_fixtures import fleet_of
from steering_fixtures import heartbeat

from siskinward.coordination.steering.target_paths import PathSettings
from siskinward.coordination.steering.target_paths import TargetPaths
from siskinward.coordination.steering.targets import Target
from siskinward.state.identifiers import DomainName
from siskinward.state.identifiers import RegionName
from siskinward.state.identifiers import TargetName
from siskinward.state.serving import TargetRecord

NORTH, SOUTH = RegionName("north"), RegionName("south")


def target(name: str, region: RegionName = NORTH, domain: str = "north-1") -> Target:
    record = TargetRecord(
        TargetName(name), SERVICE, "10.1.0.1", 80, DomainName(domain), 3, True, 0.0, 1, 1
    )
    return Target(record, region)


def paths_of(vms: int = 3) -> TargetPaths:
    return TargetPaths(PathSettings(), fleet_of(vms), Random(1))


def checked_paths() -> TargetPaths:
    """Return paths whose first check reached a target at time 0."""
    paths = paths_of()
    paths.on_checked({TargetName("a")}, (), 0.0)
    paths.on_heard(TargetName("a"), 0.0)
    return paths


def test_paths_are_checked_after_the_start() -> None:
    assert paths_of().is_check_due(0.0)


def test_paths_are_not_checked_while_targets_are_heard_or_nothing_waits() -> None:
    paths = checked_paths()
    assert not paths.is_check_due(10.0)
    paths.on_sent(10.0)
    paths.on_heard(TargetName("a"), 10.9)
    assert not paths.is_check_due(11.0)


def test_paths_are_checked_once_a_request_waits_in_silence() -> None:
    paths = checked_paths()
    exchange = paths.on_sent(10.0)
    assert not paths.is_check_due(10.5)
    assert paths.is_check_due(10.7)
    paths.on_ended(exchange)
    assert not paths.is_check_due(10.7)


def test_paths_are_cut_off_when_no_checked_target_is_reached() -> None:
    paths = checked_paths()
    assert paths.on_checked((), {TargetName("a"), TargetName("b")}, 5.0)
    assert paths.is_cut_off
    assert not paths.is_direct(TargetName("c"))
    assert not paths.is_check_due(5.4)
    assert paths.is_check_due(5.5)
    assert paths.on_checked({TargetName("a")}, {TargetName("b")}, 5.5)
    assert paths.is_direct(TargetName("c"))


def test_paths_relay_a_single_target_until_a_check_reaches_it() -> None:
    paths = checked_paths()
    lost = target("lost")
    paths.on_relayed(lost.name)
    assert not paths.is_direct(lost.name)
    assert paths.is_direct(TargetName("other"))
    assert lost in paths.choose_checked([*(target(str(n)) for n in range(9)), lost])
    paths.on_checked({lost.name}, (), 1.0)
    assert paths.is_direct(lost.name)


def test_paths_forget_a_relayed_target_that_has_gone() -> None:
    paths = checked_paths()
    paths.on_relayed(TargetName("gone"))
    paths.choose_checked([target("other")])
    assert not paths.is_check_due(60.0)


def test_paths_check_targets_of_different_domains() -> None:
    targets = [target(f"{domain}-{n}", domain=domain) for domain in "abc" for n in range(5)]
    domains = {item.record.failure_domain for item in paths_of().choose_checked(targets)}
    assert domains == {"a", "b", "c"}


@pytest.mark.parametrize("heard_ago_s", [0.1, 5.0])
def test_paths_are_checked_after_a_broken_connection_unless_others_work(heard_ago_s: float) -> None:
    paths = checked_paths()
    paths.on_heard(TargetName("a"), 10.0 - heard_ago_s)
    paths.on_connection_broken(10.0)
    assert paths.is_check_due(10.0) == (heard_ago_s > 1.0)


def test_relays_are_other_ready_vms_that_reach_targets_those_of_the_targets_region_first() -> None:
    fleet = fleet_of(3)
    south = [entry_vm(number, region=SOUTH) for number in (3, 4)]
    for vm in south:
        fleet.on_heartbeat(heartbeat(vm, is_cut_off=vm is south[1]), 0.0)
    paths = TargetPaths(PathSettings(), fleet, Random(1))
    relays = paths.relays(target("a", SOUTH), (), 0.0)
    assert relays[0] == south[0]
    assert set(relays) == {entry_vm(1), entry_vm(2), south[0]}


def test_relays_of_a_request_with_homes_are_within_them() -> None:
    fleet = fleet_of(3)
    fleet.on_heartbeat(heartbeat(entry_vm(3, region=SOUTH)), 0.0)
    paths = TargetPaths(PathSettings(), fleet, Random(1))
    assert paths.relays(target("a", SOUTH), {SOUTH}, 0.0) == [entry_vm(3, region=SOUTH)]
