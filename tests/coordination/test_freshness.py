"""VMs whose clocks differ distinguish a store outage from a network partition."""

from __future__ import annotations

import pytest
from version_net import Net

from siskinward.coordination.events import ReadRow
from siskinward.coordination.events import RowRead
from siskinward.coordination.freshness import Connected
from siskinward.coordination.freshness import FreshnessSettings
from siskinward.coordination.freshness import Isolated
from siskinward.coordination.freshness import StoreDown

BOUND_S = FreshnessSettings().bound_s
# The bound counts from the last read, which other domains may relay for two more heartbeats.
DETECTION_S = BOUND_S + 2 * FreshnessSettings().heartbeat_interval_s


def settled(near: str = "") -> Net:
    net = Net(near=near)
    net.publish(1)
    net.run(10.0)
    return net


@pytest.mark.parametrize("delay_s", [0.0, 0.25])
def test_freshness_connected_everywhere(delay_s: float) -> None:
    net = settled()
    net.delay_s = delay_s
    net.run(10.0)
    assert all(isinstance(net.standing(vm), Connected) for vm in net.vms)


def test_freshness_domain_without_platform_is_confirmed_by_others() -> None:
    net = settled()
    net.vms["c0"].sync.on_timer = lambda now_s: []  # type: ignore[method-assign]
    net.run(20.0)
    assert isinstance(net.standing("c0"), Connected)
    assert isinstance(net.standing("c1"), Connected)


def test_freshness_store_down_for_all() -> None:
    net = settled()
    net.platform_group = None
    net.run(DETECTION_S)
    assert all(isinstance(net.standing(vm), StoreDown) for vm in net.vms)
    net.platform_group = 0
    net.run(4.0)
    assert all(isinstance(net.standing(vm), Connected) for vm in net.vms)


def test_freshness_cut_domain_is_isolated_within_the_bound() -> None:
    net = settled()
    net.cut("c")
    net.run(BOUND_S)
    assert isinstance(net.standing("c0"), Isolated)
    assert isinstance(net.standing("c1"), Isolated)
    assert isinstance(net.standing("a1"), Connected)


def test_freshness_majority_cut_from_the_platform_is_isolated() -> None:
    """A majority cut off from the platform must not mistake the partition for a store outage.

    It does so where ``platform_domains`` does not say which domains are next to the platform.
    """
    for near, expected in (("", StoreDown), ("a", Isolated)):
        net = settled(near)
        net.cut("bcde")
        net.run(DETECTION_S)
        assert isinstance(net.standing("c1"), expected)
        assert isinstance(net.standing("a1"), Connected)


def test_freshness_never_understates_the_age_when_messages_are_late() -> None:
    net = settled()
    net.platform_group = None
    stopped_s = net.now_s
    net.delay_s = 3.0
    for _ in range(60):
        net.run(0.125)
        for vm in net.vms:
            match net.standing(vm):
                case Connected(age_s):
                    assert age_s >= net.now_s - stopped_s - 0.01


def test_freshness_ends_while_a_known_version_is_not_activated() -> None:
    net = settled()
    net.publish(2)
    net.objects.clear()
    net.run(DETECTION_S)
    assert isinstance(net.standing("a0"), Isolated)


def test_freshness_counts_a_read_from_when_it_was_requested() -> None:
    net = settled()
    vm = net.vms["a0"]
    net.platform_group = None
    net.run(DETECTION_S)
    clock_s = net.now_s + vm.skew_s
    (poll,) = [e for e in vm.replica.on_timer(clock_s + 2.0) if isinstance(e, ReadRow)]
    late_s = clock_s + 2.0 + BOUND_S - 1.0
    vm.replica.on_table_answer(RowRead(poll.row, poll.request_id, *net.row), late_s)
    assert vm.replica.standing(late_s) == Connected(late_s - clock_s - 2.0)
