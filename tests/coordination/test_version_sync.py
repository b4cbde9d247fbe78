"""Versions reach every reachable VM within the target time and never revert."""

from __future__ import annotations

import pytest
from version_net import Net

from siskinward.coordination.events import VmIdentity
from siskinward.coordination.version_messages import VersionPush
from siskinward.state.content_delta import make_delta
from siskinward.state.identifiers import DomainName
from siskinward.state.identifiers import IncarnationId
from siskinward.state.identifiers import VmName
from siskinward.state.versions import Pointer
from siskinward.state.versions import content_hash_of

ACTIVATION_TARGET_S = 2.0


@pytest.fixture
def net() -> Net:
    net = Net()
    net.publish(1)
    net.run(4.0)
    return net


def test_version_is_active_on_all_vms_within_the_target(net: Net) -> None:
    net.publish(2)
    net.run(ACTIVATION_TARGET_S)
    assert net.active_versions() == {2}


def test_version_lost_push_is_repaired_by_the_next_heartbeat(net: Net) -> None:
    net.drop_pushes_to = {"c1"}
    net.publish(2)
    net.run(ACTIVATION_TARGET_S + 1.0)
    assert not net.drop_pushes_to
    assert net.active_versions() == {2}


def test_version_reaches_domain_cut_from_the_platform_only(net: Net) -> None:
    net.vms["c0"].sync.on_timer = lambda now_s: []  # type: ignore[method-assign]
    net.publish(2)
    net.run(ACTIVATION_TARGET_S)
    assert net.active_versions() == {2}


def test_version_cut_domain_keeps_its_own_and_catches_up(net: Net) -> None:
    net.cut("c")
    for version in (2, 3, 4):
        net.publish(version)
        net.run(ACTIVATION_TARGET_S)
    assert net.vms["c1"].sync.tracker.version == 1
    net.cut("")
    net.run(ACTIVATION_TARGET_S)
    assert net.active_versions() == {4}
    for vm in net.vms.values():
        assert vm.versions == sorted(set(vm.versions))


def test_version_fresh_vm_is_not_ready_until_one_is_confirmed(net: Net) -> None:
    net.platform_group = None
    net.start("c1")
    assert not net.vms["c1"].sync.tracker.is_ready
    net.run(ACTIVATION_TARGET_S)
    assert net.vms["c1"].sync.tracker.version == 1


def test_version_fresh_vm_alone_without_platform_stays_unready() -> None:
    net = Net("a")
    net.publish(1)
    net.platform_group = None
    net.run(10.0)
    assert not net.vms["a0"].sync.tracker.is_ready


def test_version_push_with_wrong_hash_is_refused(net: Net) -> None:
    sender = VmIdentity(VmName("a0"), DomainName("a"), IncarnationId("i"))
    pointer = Pointer(9, content_hash_of(b"right"))
    push = VersionPush("configuration", pointer, "", make_delta(b"", b"wrong"))
    vm = net.vms["a1"]
    assert vm.sync.on_message(push, sender, net.now_s) == []
    assert vm.sync.tracker.version == 1
    assert vm.sync.last_error is not None
    assert vm.sync.last_error.peer == "a0"
