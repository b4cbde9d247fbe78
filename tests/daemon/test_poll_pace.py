"""Polls of all VMs at the target size stay below the platform's read limit after an outage."""

from __future__ import annotations

from collections import Counter
from random import Random

from siskinward.daemon.node import VM_LIST_POLL
from siskinward.daemon.poll_schedule import PollSchedule

VMS = 590
READS_LIMIT_PER_S = 2000
STEPS_PER_S = 10
OUTAGE_S = 300.0
AFTERWARDS_S = 60.0


def test_polls_of_all_vms_stay_under_the_limit_when_an_outage_ends() -> None:
    reads: Counter[int] = Counter()
    for vm in range(VMS):
        schedule = PollSchedule(VM_LIST_POLL, Random(vm))
        at_s = 0.0
        while at_s < OUTAGE_S + AFTERWARDS_S:
            is_out = at_s < OUTAGE_S
            if not is_out:
                reads[int(at_s * STEPS_PER_S)] += 1
            at_s += schedule.next_delay_s(has_failed=is_out)
    assert max(reads.values()) * STEPS_PER_S < READS_LIMIT_PER_S


def test_a_poll_returns_to_its_interval_after_a_success() -> None:
    schedule = PollSchedule(VM_LIST_POLL, Random(1))
    for _ in range(50):
        schedule.next_delay_s(has_failed=True)
    limit_s = VM_LIST_POLL.interval_s * (1 + VM_LIST_POLL.jitter_share)
    assert schedule.next_delay_s(has_failed=False) <= limit_s
