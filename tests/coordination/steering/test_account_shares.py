"""Limits of client accounts over VMs that are connected, partitioned or just started."""

from __future__ import annotations

from itertools import pairwise

import pytest
from hypothesis import given
from hypothesis import strategies as st
from steering_fixtures import account
from steering_fixtures import entry_vm
from steering_fixtures import heartbeat

from siskinward.coordination.steering.account_shares import AccountShares
from siskinward.coordination.steering.account_shares import ShareSettings
from siskinward.coordination.steering.fleet import Fleet
from siskinward.coordination.steering.fleet import FleetSettings
from siskinward.coordination.steering.fleet import VmState
from siskinward.state.serving import ServingBounds

BOUNDS = ServingBounds()
HEARTBEAT_INTERVAL_S = 0.2


class _Vm:
    """One VM's fleet and shares; ``restart`` discards both, as a restarted process does."""

    def __init__(self, number: int, now_s: float) -> None:
        self.number = number
        self.restarts = 0
        self.restart(now_s, listed_vms=0)

    def restart(self, now_s: float, listed_vms: int) -> None:
        self.restarts += 1
        own = entry_vm(self.number, incarnation=str(self.restarts))
        self.fleet = Fleet(own, FleetSettings(), domains=4)
        self.fleet.state = VmState.READY
        if listed_vms:
            self.fleet.add_peers([entry_vm(number) for number in range(listed_vms)], now_s)
            self.fleet.on_membership_loaded()
        self.shares = AccountShares(ShareSettings(), self.fleet, now_s)
        self.heartbeats_sent = 0


class _Fleet:
    """VMs that exchange heartbeats, except between those in ``partition`` and the others."""

    def __init__(self, count: int) -> None:
        self.now_s = 0.0
        self.vms = [_Vm(number, 0.0) for number in range(count)]
        self.partition: set[int] = set()
        self.admitted_s: list[float] = []
        self.policy = account()
        for vm in self.vms:
            vm.restart(0.0, listed_vms=count)
        for _ in range(20):
            self.exchange()

    def exchange(self) -> None:
        self.now_s += HEARTBEAT_INTERVAL_S
        for vm in self.vms:
            vm.shares.update_demand(self.now_s)
            vm.heartbeats_sent += 1
            message = heartbeat(
                vm.fleet.own, vm.heartbeats_sent, demand_per_s=dict(vm.shares.publish())
            )
            for other in self.vms:
                if (vm.number in self.partition) == (other.number in self.partition):
                    other.fleet.on_heartbeat(message, self.now_s)

    def offer(self, number: int, count: int) -> None:
        shares = self.vms[number].shares
        for _ in range(count):
            shares.record_arrival(self.policy.name)
            if shares.try_take(self.policy, 0.0, self.now_s):
                self.admitted_s.append(self.now_s)

    def most_in_window(self) -> int:
        times = self.admitted_s
        window_s = BOUNDS.quota_window_s
        return max(
            (sum(start <= time < start + window_s for time in times) for start in set(times)),
            default=0,
        )

    def allowed_in_window(self) -> float:
        limit = self.policy.rate_per_s * BOUNDS.quota_window_s + self.policy.burst_requests
        return limit * (1 + BOUNDS.quota_overshoot) + BOUNDS.quota_slack_requests


def test_shares_account_that_turns_hot_stays_within_the_limit() -> None:
    fleet = _Fleet(8)
    for step in range(75):
        fleet.exchange()
        for number in range(8):
            fleet.offer(number, 1 if step < 25 else 8)
    assert fleet.most_in_window() <= fleet.allowed_in_window()


def test_shares_all_vms_restarted_under_a_hot_account_stay_within_the_limit() -> None:
    fleet = _Fleet(8)
    for step in range(75):
        fleet.exchange()
        if step == 40:
            for vm in fleet.vms:
                # No VM has received a heartbeat yet, nor read the store's list of VMs.
                vm.restart(fleet.now_s, listed_vms=0)
            for number in range(8):
                fleet.offer(number, 20)
        for number in range(8):
            fleet.offer(number, 8)
    assert fleet.most_in_window() <= fleet.allowed_in_window()


def test_shares_restarted_vm_gets_its_part_within_a_second() -> None:
    fleet = _Fleet(8)
    for _ in range(25):
        fleet.exchange()
        for number in range(8):
            fleet.offer(number, 1)
    fleet.vms[0].restart(fleet.now_s, listed_vms=8)
    fleet.exchange()
    fleet.exchange()
    before = len(fleet.admitted_s)
    for _ in range(5):
        fleet.exchange()
        fleet.offer(0, 1)
    assert len(fleet.admitted_s) - before == 5


@given(
    partitions=st.lists(st.sets(st.integers(0, 5), max_size=5), min_size=1, max_size=4),
    offers=st.lists(st.integers(0, 10), min_size=6, max_size=6),
)
def test_shares_cut_fleet_stays_within_the_limit(
    partitions: list[set[int]], offers: list[int]
) -> None:
    fleet = _Fleet(6)
    for partition in partitions:
        fleet.partition = partition
        for _ in range(15):
            fleet.exchange()
            for number, count in enumerate(offers):
                fleet.offer(number, count)
    assert fleet.most_in_window() <= fleet.allowed_in_window()


def test_shares_refused_request_is_told_when_the_next_token_is_due() -> None:
    fleet = _Fleet(1)
    fleet.offer(0, 200)
    shares = fleet.vms[0].shares
    assert shares.retry_after_s(fleet.policy) == pytest.approx(1 / fleet.policy.rate_per_s)
    assert all(later >= earlier for earlier, later in pairwise(fleet.admitted_s))
