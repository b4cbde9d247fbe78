"""A crashing request that is resent through every VM, and harmless requests beside it."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING

import pytest
from hypothesis import given
from hypothesis import strategies as st

from siskinward.coordination.events import Send
from siskinward.coordination.events import VmIdentity
from siskinward.coordination.quarantine import Hold
from siskinward.coordination.quarantine import Permit
from siskinward.coordination.quarantine import Quarantine
from siskinward.coordination.quarantine import QuarantineSettings
from siskinward.coordination.quarantine import Refuse
from siskinward.coordination.quarantine import compute_unproven_hold_s
from siskinward.state.identifiers import DomainName
from siskinward.state.identifiers import IncarnationId
from siskinward.state.identifiers import TargetName
from siskinward.state.identifiers import VmName

if TYPE_CHECKING:
    from siskinward.coordination.quarantine import QuarantineStep

TARGETS_LIMIT = 2
NO_HOLD_S = 0.0
CRASH = "crash"
SETTLED_S = 100.0


def identity(number: int) -> VmIdentity:
    return VmIdentity(VmName(f"vm-{number}"), DomainName("domain"), IncarnationId(f"vm-{number}-0"))


class Fleet:
    """VMs with a mailbox whose messages are delivered in random order."""

    def __init__(self, size: int, settings: QuarantineSettings, random: Random) -> None:
        identities = [identity(number) for number in range(size)]
        self.vms = {one.vm: Quarantine(settings, one) for one in identities}
        self._identities = {one.vm: one for one in identities}
        self._random = random
        self._in_flight: list[tuple[VmName, Send]] = []
        self._attempts = 0
        self.permits: list[tuple[VmName, Permit]] = []
        self.refused = 0
        self.silent: set[VmName] = set()
        for quarantine in self.vms.values():
            quarantine.on_members(identities, 0.0)

    def send(self, vm: VmName, fingerprint: str, now_s: float) -> None:
        self._attempts += 1
        steps = self.vms[vm].admit(f"attempt-{self._attempts}", fingerprint, now_s)
        self.handle_steps(vm, steps)

    def handle_steps(self, vm: VmName, steps: list[QuarantineStep]) -> None:
        for step in steps:
            match step:
                case Send():
                    self._in_flight.append((vm, step))
                case Permit():
                    self.permits.append((vm, step))
                case Refuse():
                    self.refused += 1

    def deliver(self, now_s: float, limit: int = 10**6) -> None:
        while self._in_flight and limit:
            limit -= 1
            vm, send = self._in_flight.pop(self._random.randrange(len(self._in_flight)))
            if send.to not in self.silent:
                steps = self.vms[send.to].on_message(send.message, self._identities[vm], now_s)
                self.handle_steps(send.to, steps)


def run_crashing(fleet: Fleet, now_s: float) -> int:
    """Start every permitted attempt and lose its target; return the number of targets lost."""
    permits, fleet.permits = fleet.permits, []
    for vm, permit in permits:
        target = TargetName(f"target-{permit.attempt_id}")
        fleet.vms[vm].on_started(permit.attempt_id, target)
    for vm, permit in permits:
        target = TargetName(f"target-{permit.attempt_id}")
        fleet.handle_steps(vm, fleet.vms[vm].on_target_lost(target, now_s))
    return len(permits)


@given(seed=st.integers(0, 10**6), size=st.integers(1, 12))
def test_quarantine_loses_at_most_two_targets_once_the_first_loss_is_reported(
    seed: int, size: int
) -> None:
    fleet = Fleet(size, QuarantineSettings(NO_HOLD_S), Random(seed))
    fleet.send(VmName("vm-0"), CRASH, SETTLED_S)
    lost = run_crashing(fleet, SETTLED_S)
    fleet.deliver(SETTLED_S)
    for round_number in range(20):
        now_s = SETTLED_S + round_number * 0.05
        for vm in fleet.vms:
            fleet.send(vm, CRASH, now_s)
        fleet.deliver(now_s, limit=3)
        lost += run_crashing(fleet, now_s)
    fleet.deliver(SETTLED_S + 2.0)
    lost += run_crashing(fleet, SETTLED_S + 2.0)
    assert 1 <= lost <= TARGETS_LIMIT


@given(seed=st.integers(0, 10**6))
def test_quarantine_limits_simultaneous_attempts_if_unproven_ones_need_a_permit(seed: int) -> None:
    fleet = Fleet(8, QuarantineSettings(NO_HOLD_S, ask_unproven=True), Random(seed))
    lost = 0
    for round_number in range(20):
        now_s = SETTLED_S + round_number * 0.05
        for vm in fleet.vms:
            fleet.send(vm, CRASH, now_s)
        fleet.deliver(now_s, limit=5)
        lost += run_crashing(fleet, now_s)
    assert 1 <= lost <= TARGETS_LIMIT


def test_quarantine_refuses_suspect_when_owner_is_silent() -> None:
    settings = QuarantineSettings(NO_HOLD_S)
    fleet = Fleet(3, settings, Random(1))
    fleet.send(VmName("vm-0"), CRASH, SETTLED_S)
    run_crashing(fleet, SETTLED_S)
    fleet.deliver(SETTLED_S)
    owner = fleet.vms[VmName("vm-0")].owner_of(CRASH)
    sender = next(vm for vm in fleet.vms if vm != owner)
    fleet.silent.add(owner)
    fleet.send(sender, CRASH, SETTLED_S)
    fleet.deliver(SETTLED_S)
    later_s = SETTLED_S + settings.ask_timeout_s
    fleet.handle_steps(sender, fleet.vms[sender].on_timer(later_s))
    assert fleet.permits == []
    assert fleet.refused == 1


@pytest.mark.parametrize("proven", [True, False])
def test_quarantine_harmless_request_beside_crashing_request_keeps_running(proven: bool) -> None:
    fleet = Fleet(3, QuarantineSettings(NO_HOLD_S), Random(1))
    vm, quarantine = VmName("vm-0"), fleet.vms[VmName("vm-0")]
    if proven:
        fleet.send(vm, "innocent", SETTLED_S)
        _, permit = fleet.permits.pop()
        quarantine.on_finished(permit.attempt_id, ran=True, now_s=SETTLED_S)
    for fingerprint in (CRASH, "innocent"):
        fleet.send(vm, fingerprint, SETTLED_S)
    for _, permit in fleet.permits:
        quarantine.on_started(permit.attempt_id, TargetName("organ-1"))
    fleet.permits.clear()
    fleet.handle_steps(vm, quarantine.on_target_lost(TargetName("organ-1"), SETTLED_S))
    fleet.deliver(SETTLED_S)
    fleet.send(VmName("vm-1"), "innocent", SETTLED_S)
    fleet.deliver(SETTLED_S)
    ((sender, permit),) = fleet.permits
    assert permit.alone is not proven
    fleet.permits.clear()
    done = fleet.vms[sender].on_finished(permit.attempt_id, ran=True, now_s=SETTLED_S)
    fleet.handle_steps(sender, done)
    fleet.deliver(SETTLED_S)
    for other in fleet.vms:
        fleet.send(other, "innocent", SETTLED_S)
    assert [permit.alone for _, permit in fleet.permits] == [False] * len(fleet.vms)


def test_quarantine_reports_earlier_losses_to_a_new_vm() -> None:
    fleet = Fleet(3, QuarantineSettings(NO_HOLD_S), Random(1))
    fleet.vms[VmName("vm-2")] = Quarantine(QuarantineSettings(NO_HOLD_S), identity(2))
    members = [identity(number) for number in range(3)]
    for vm in ("vm-0", "vm-1"):
        fleet.vms[VmName(vm)].on_members(members[:2], 0.0)
    for _ in range(TARGETS_LIMIT):
        fleet.send(VmName("vm-0"), CRASH, SETTLED_S)
        fleet.deliver(SETTLED_S)
        assert run_crashing(fleet, SETTLED_S) == 1
        fleet.deliver(SETTLED_S)
    for vm, quarantine in fleet.vms.items():
        fleet.handle_steps(vm, quarantine.on_members(members, SETTLED_S + 10.0))
    fleet.deliver(SETTLED_S + 10.0)
    fleet.send(VmName("vm-2"), CRASH, SETTLED_S + 20.0)
    fleet.deliver(SETTLED_S + 20.0)
    assert fleet.permits == []
    assert fleet.refused == 1


def test_quarantine_same_loss_seen_by_two_vms_counts_once() -> None:
    fleet = Fleet(2, QuarantineSettings(NO_HOLD_S), Random(1))
    for vm in fleet.vms:
        fleet.send(vm, "innocent", SETTLED_S)
    for vm, permit in fleet.permits:
        fleet.vms[vm].on_started(permit.attempt_id, TargetName("organ-1"))
    fleet.permits.clear()
    for vm, quarantine in fleet.vms.items():
        fleet.handle_steps(vm, quarantine.on_target_lost(TargetName("organ-1"), SETTLED_S))
    fleet.deliver(SETTLED_S)
    fleet.send(VmName("vm-1"), "innocent", SETTLED_S)
    fleet.deliver(SETTLED_S)
    assert [permit.alone for _, permit in fleet.permits] == [True]


def test_quarantine_expires() -> None:
    settings = QuarantineSettings(NO_HOLD_S)
    fleet = Fleet(1, settings, Random(1))
    for _ in range(TARGETS_LIMIT):
        fleet.send(VmName("vm-0"), CRASH, SETTLED_S)
        assert run_crashing(fleet, SETTLED_S) == 1
    fleet.send(VmName("vm-0"), CRASH, SETTLED_S + settings.quarantine_s - 1.0)
    assert fleet.refused == 1
    fleet.send(VmName("vm-0"), CRASH, SETTLED_S + settings.quarantine_s + 1.0)
    assert len(fleet.permits) == 1


def test_quarantine_holds_unproven_until_a_report_can_overtake_its_resend() -> None:
    hold_s = compute_unproven_hold_s(longest_one_way_s=0.020, client_round_trip_s=0.002)
    fleet = Fleet(2, QuarantineSettings(hold_s), Random(1))
    sender, other = (fleet.vms[VmName(f"vm-{number}")] for number in range(2))
    assert sender.admit("first", CRASH, SETTLED_S) == [Hold("first", hold_s)]
    (permit,) = sender.admit("first", CRASH, SETTLED_S, held=True)
    assert permit == Permit("first", alone=False)
    sender.on_started("first", TargetName("organ-1"))
    lost = sender.on_target_lost(TargetName("organ-1"), SETTLED_S)
    resent_s = SETTLED_S + 0.002
    assert other.admit("second", CRASH, resent_s) == [Hold("second", hold_s)]
    fleet.handle_steps(VmName("vm-0"), lost)
    fleet.deliver(SETTLED_S + 0.020)
    steps = other.admit("second", CRASH, resent_s + hold_s, held=True)
    assert Permit("second", alone=False) not in steps


def test_quarantine_revokes_permit_of_request_that_waited_in_a_queue() -> None:
    fleet = Fleet(2, QuarantineSettings(NO_HOLD_S), Random(1))
    for vm in fleet.vms:
        fleet.send(vm, CRASH, SETTLED_S)
    (first, permit), (second, queued) = fleet.permits
    fleet.vms[first].on_started(permit.attempt_id, TargetName("organ-1"))
    assert fleet.vms[second].may_start(queued.attempt_id, SETTLED_S)
    fleet.handle_steps(first, fleet.vms[first].on_target_lost(TargetName("organ-1"), SETTLED_S))
    fleet.deliver(SETTLED_S)
    assert not fleet.vms[second].may_start(queued.attempt_id, SETTLED_S)


def test_quarantine_does_not_hold_proven_requests() -> None:
    fleet = Fleet(1, QuarantineSettings(0.020), Random(1))
    quarantine = fleet.vms[VmName("vm-0")]
    quarantine.admit("first", "listing", SETTLED_S, held=True)
    quarantine.on_finished("first", ran=True, now_s=SETTLED_S)
    assert quarantine.admit("second", "listing", SETTLED_S) == [Permit("second", alone=False)]
