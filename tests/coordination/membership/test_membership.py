"""Failures of VMs and failure domains as the membership sees them."""

from __future__ import annotations

import pytest
from attrs import evolve
from membership_fleet import Fleet

from siskinward.coordination.events import VmIdentity
from siskinward.coordination.membership import MembershipSettings
from siskinward.coordination.membership.messages import Heartbeat
from siskinward.state.identifiers import DomainName
from siskinward.state.identifiers import IncarnationId
from siskinward.state.identifiers import VmName

TIMEOUT_S = MembershipSettings().heartbeat_timeout_s
LEAVING_TARGET_S = 2.0
# A change travels: timeout, one heartbeat to the other relays, one to their failure domains.
SETTLE_S = TIMEOUT_S + 3 * MembershipSettings().heartbeat_interval_s


@pytest.fixture
def fleet() -> Fleet:
    fleet = Fleet({"a": 4, "b": 3, "c": 1})
    fleet.run(SETTLE_S)
    return fleet


def test_every_vm_learns_all_domains(fleet: Fleet) -> None:
    for vm in fleet.nodes:
        assert fleet.live(vm, "a") == ["a0", "a1", "a2", "a3"]
        assert fleet.live(vm, "b") == ["b0", "b1", "b2"]
        assert fleet.live(vm, "c") == ["c0"]
        assert len(fleet.reachable(vm)) == 2


@pytest.mark.parametrize("crashed", ["a0", "a1", "a3"])
def test_crashed_vm_disappears_everywhere(fleet: Fleet, crashed: str) -> None:
    fleet.stop(crashed)
    fleet.run(SETTLE_S)
    for vm in fleet.nodes:
        assert crashed not in fleet.live(vm, "a")
        assert len(fleet.live(vm, "a")) == 3


def test_both_relays_crash_at_once(fleet: Fleet) -> None:
    fleet.stop("a0")
    fleet.stop("a1")
    fleet.run(SETTLE_S + TIMEOUT_S)
    for vm in fleet.nodes:
        assert fleet.live(vm, "a") == ["a2", "a3"]
        assert len(fleet.reachable(vm)) == 2


def test_restarted_vm_replaces_its_predecessor_at_once(fleet: Fleet) -> None:
    old = fleet.identities["a2"]
    fleet.start("a2", "a", "i-new", fleet.listed)
    fleet.run(1.0)
    members = fleet.nodes["a3"].live_vms(DomainName("a"), fleet.now_s)
    incarnations = [m.identity.incarnation for m in members if m.identity.vm == "a2"]
    assert incarnations == [IncarnationId("i-new")]
    fleet.nodes["a3"].on_message(Heartbeat(False, True, b""), old, fleet.now_s)
    members = fleet.nodes["a3"].live_vms(DomainName("a"), fleet.now_s)
    assert old not in [m.identity for m in members]


def test_stale_incarnation_received_first_is_replaced_after_the_timeout(fleet: Fleet) -> None:
    late = VmIdentity(VmName("a2"), DomainName("a"), IncarnationId("i-late"))
    fleet.nodes["a3"].on_message(Heartbeat(False, True, b""), late, fleet.now_s)
    fleet.run(SETTLE_S)
    members = fleet.nodes["a3"].live_vms(DomainName("a"), fleet.now_s)
    assert fleet.identities["a2"] in [m.identity for m in members]


def test_new_vm_missing_from_the_list_is_learned(fleet: Fleet) -> None:
    fleet.start("a9", "a", "i-a9", fleet.listed[:1])
    fleet.run(3.0)
    for vm in fleet.nodes:
        assert "a9" in fleet.live(vm, "a")
    assert fleet.live("a9", "a") == fleet.live("a0", "a")
    assert len(fleet.reachable("a9")) == 2


def test_cut_domain_goes_silent_and_returns(fleet: Fleet) -> None:
    fleet.cut = frozenset({"a"})
    fleet.run(SETTLE_S)
    assert all(fleet.reachable(vm) == [] for vm in ("a0", "a1", "a2", "a3"))
    assert all(fleet.reachable(vm) == ["c"] for vm in ("b0", "b1", "b2"))
    assert fleet.live("a2", "a") == ["a0", "a1", "a2", "a3"]
    assert fleet.live("b0", "a") == []
    fleet.cut = frozenset()
    fleet.run(SETTLE_S)
    assert all(len(fleet.reachable(vm)) == 2 for vm in fleet.nodes)


def test_leaving_vm_is_marked_and_stops_relaying(fleet: Fleet) -> None:
    fleet.deliver("a0", fleet.nodes["a0"].leave(fleet.now_s))
    fleet.run(LEAVING_TARGET_S)
    for vm in fleet.nodes:
        members = fleet.nodes[vm].live_vms(DomainName("a"), fleet.now_s)
        assert [m.identity.vm for m in members if m.leaving] == ["a0"], vm
        relays = fleet.nodes[vm].relays(DomainName("a"), fleet.now_s)
        assert [m.identity.vm for m in relays] == ["a1", "a2"]


def test_paused_vm_does_not_declare_the_others_dead(fleet: Fleet) -> None:
    fleet.paused = {"a2"}
    fleet.run(30.0)
    assert "a2" not in fleet.live("a0", "a")
    fleet.paused = set()
    fleet.nodes["a2"].on_timer(fleet.now_s)
    assert fleet.live("a2", "a") == ["a0", "a1", "a2", "a3"]
    fleet.run(SETTLE_S)
    assert "a2" in fleet.live("b2", "a")


def test_vm_listed_as_leaving_is_marked(fleet: Fleet) -> None:
    listed = tuple(evolve(item, leaving=item.vm in ("a0", "b0")) for item in fleet.listed)
    fleet.nodes["a3"].on_vm_list(listed, fleet.now_s)
    for domain in ("a", "b"):
        members = fleet.nodes["a3"].live_vms(DomainName(domain), fleet.now_s)
        assert [m.identity.vm for m in members if m.leaving] == [f"{domain}0"]
