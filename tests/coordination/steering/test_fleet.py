"""Which VMs are live, ready, and counted when limits are divided; their ranks and intervals."""

from __future__ import annotations

from attrs import evolve
from steering_fixtures import entry_vm
from steering_fixtures import fleet_of
from steering_fixtures import heartbeat

from siskinward.coordination.steering.fleet import Fleet
from siskinward.coordination.steering.fleet import FleetSettings
from siskinward.coordination.steering.fleet import LoadReport
from siskinward.coordination.steering.fleet import VmState
from siskinward.state.identifiers import DomainName


def names(vms: list[object]) -> set[str]:
    return {vm.vm for vm in vms}  # type: ignore[attr-defined]


def test_fleet_rank_leaves_out_vms_that_do_not_reach_the_store() -> None:
    fleet = fleet_of(4, own=3)
    fleet.on_heartbeat(heartbeat(entry_vm(0), 2, is_store_lost=True), 0.1)
    fleet.on_report(LoadReport(entry_vm(1).incarnation, 2, is_store_lost=True), 0.1)
    assert fleet.rank(0.2) == 1
    fleet.on_report(LoadReport(entry_vm(0).incarnation, 3), 0.2)
    assert fleet.rank(0.3) == 2


def test_fleet_silent_vm_is_not_live_but_counts_for_a_while() -> None:
    fleet = fleet_of(3)
    assert len(fleet.live(1.0)) == 3
    assert len(fleet.live(2.0)) == 1
    assert fleet.presumed_vm_count(30.0) == 3
    assert fleet.presumed_vm_count(61.0) == 1


def test_fleet_vm_that_has_left_does_not_count() -> None:
    fleet = fleet_of(3)
    fleet.on_heartbeat(heartbeat(entry_vm(1), 2, state=VmState.LEAVING), 1.0)
    assert names(fleet.ready(1.1)) == {"vm-000", "vm-002"}
    assert fleet.presumed_vm_count(3.0) == 2


def test_fleet_restarted_vm_replaces_its_predecessor() -> None:
    fleet = fleet_of(2)
    fleet.on_heartbeat(heartbeat(entry_vm(1, incarnation="b"), 1), 0.5)
    live = fleet.live(0.6)
    assert {vm.incarnation for vm in live} == {"vm-000/a", "vm-001/b"}
    assert fleet.presumed_vm_count(0.6) == 2


def test_fleet_old_heartbeat_changes_nothing() -> None:
    fleet = fleet_of(2)
    fleet.on_heartbeat(heartbeat(entry_vm(1), 9, in_flight={7: 1}), 0.1)
    fleet.on_heartbeat(heartbeat(entry_vm(1), 8, in_flight={7: 5}), 0.2)
    assert fleet.heartbeats(0.2)[0].in_flight == {7: 1}


def test_fleet_load_report_brings_the_heartbeat_up_to_date() -> None:
    fleet = fleet_of(2)
    beat = heartbeat(entry_vm(1), 2, demand_per_s={"guild": 3.0}, in_flight={7: 1})
    fleet.on_heartbeat(beat, 0.1)
    updated = fleet.on_report(LoadReport(entry_vm(1).incarnation, 3, in_flight={7: 4}), 1.2)
    assert updated is not None
    assert updated.in_flight == {7: 4}
    assert updated.demand_per_s == {"guild": 3.0}
    assert len(fleet.live(2.3)) == 2


def test_fleet_load_report_of_a_vm_that_the_store_named_is_taken_after_its_heartbeat() -> None:
    fleet = fleet_of(1)
    fleet.add_peers([entry_vm(1)], 0.0)
    report = LoadReport(entry_vm(1).incarnation, 2)
    assert fleet.on_report(report, 1.0) is None
    fleet.on_heartbeat(heartbeat(entry_vm(1), 1), 1.0)
    assert fleet.on_report(report, 1.1) is not None


def test_fleet_load_report_of_a_replaced_process_is_not_taken() -> None:
    fleet = fleet_of(1)
    fleet.on_heartbeat(heartbeat(entry_vm(1), 1), 1.0)
    fleet.on_heartbeat(heartbeat(entry_vm(1, incarnation="b"), 1), 2.0)
    assert fleet.on_report(LoadReport(entry_vm(1).incarnation, 9), 2.1) is None


def test_fleet_load_report_of_an_unknown_vm_is_not_taken() -> None:
    fleet = fleet_of(2)
    assert fleet.on_report(LoadReport(entry_vm(5).incarnation, 3), 0.1) is None


def test_fleet_before_the_store_has_named_the_others_assumes_two_a_domain() -> None:
    fleet = Fleet(entry_vm(0), FleetSettings(), domains=6)
    assert fleet.presumed_vm_count(0.0) == 12
    fleet.add_peers([entry_vm(number) for number in range(8)], 0.0)
    fleet.on_membership_loaded()
    assert fleet.presumed_vm_count(0.0) == 8
    assert not fleet.has_majority(0.0)


def test_fleet_ranks_agree() -> None:
    ranks = [fleet_of(5, own=number).rank(0.1) for number in range(5)]
    assert ranks == [0, 1, 2, 3, 4]


def test_fleet_first_ranks_are_in_different_failure_domains() -> None:
    domains = ["north-1", "north-1", "south-1", "south-1", "west-1"]
    vms = [
        evolve(entry_vm(number), failure_domain=DomainName(domain))
        for number, domain in enumerate(domains)
    ]
    ranks = {}
    for own in vms:
        fleet = Fleet(own, FleetSettings(), domains=3)
        for vm in vms:
            fleet.on_heartbeat(heartbeat(vm), 0.0)
        ranks[fleet.rank(0.1)] = own.failure_domain
    assert [ranks[place] for place in range(5)] == [
        "north-1",
        "south-1",
        "west-1",
        "north-1",
        "south-1",
    ]


def test_fleet_heartbeats_slow_down_as_vms_grow() -> None:
    assert fleet_of(8).interval_s == 0.2
    assert 0.2 < fleet_of(40).interval_s < 1.0
    large = fleet_of(300)
    assert large.interval_s == 1.0
    assert large.timeout_s == 5.0
