"""Where objects are warm: own runs, those that other VMs announce, and what is forgotten."""

from __future__ import annotations

from math import inf

from siskinward.coordination.steering.warm_targets import WarmSettings
from siskinward.coordination.steering.warm_targets import WarmTargets

SETTINGS = WarmSettings()


def announced(source: WarmTargets) -> list[int]:
    """Return the number of pairs in each of the next reports until none is left."""
    counts = []
    while pairs := source.next_announcements():
        counts.append(len(pairs))
    return counts


def test_own_run_is_warm_and_announced_in_a_few_reports() -> None:
    own = WarmTargets(SETTINGS)
    own.record_run("listings/o1", "t1", 0.0)
    assert own.is_warm("listings/o1", "t1", 1.0, since_s=-inf)
    assert not own.is_warm("listings/o1", "t2", 1.0, since_s=-inf)
    assert announced(own) == [1] * SETTINGS.reports_per_announcement


def test_pair_in_use_is_announced_again_only_after_a_while() -> None:
    own = WarmTargets(SETTINGS)
    own.record_run("listings/o1", "t1", 0.0)
    announced(own)
    own.record_run("listings/o1", "t1", SETTINGS.announce_again_s - 0.1)
    assert announced(own) == []
    own.record_run("listings/o1", "t1", SETTINGS.announce_again_s)
    assert announced(own) != []


def test_announced_pair_is_warm_at_another_vm_which_does_not_repeat_it() -> None:
    one, other = WarmTargets(SETTINGS), WarmTargets(SETTINGS)
    one.record_run("listings/o1", "t1", 0.0)
    other.record_announced(one.next_announcements(), 0.2)
    assert other.is_warm("listings/o1", "t1", 1.0, since_s=-inf)
    other.record_run("listings/o1", "t1", 1.0)
    assert announced(other) == []


def test_unused_pair_and_pair_before_a_cold_start_are_not_warm() -> None:
    own = WarmTargets(SETTINGS)
    own.record_run("listings/o1", "t1", 0.0)
    assert not own.is_warm("listings/o1", "t1", SETTINGS.keep_s, since_s=-inf)
    assert not own.is_warm("listings/o1", "t1", 1.0, since_s=0.5)


def test_objects_are_forgotten_beyond_the_limit_oldest_first() -> None:
    own = WarmTargets(WarmSettings(max_objects=2))
    for number in range(3):
        own.record_run(f"listings/o{number}", "t1", float(number))
    warm = [own.is_warm(f"listings/o{n}", "t1", 3.0, since_s=-inf) for n in range(3)]
    assert warm == [False, True, True]


def test_pairs_with_targets_that_are_gone_are_forgotten() -> None:
    own = WarmTargets(SETTINGS)
    for number in range(100):
        own.record_run("listings/o1", f"t{number}", number * SETTINGS.keep_s)
    assert own.pair_count == 1
