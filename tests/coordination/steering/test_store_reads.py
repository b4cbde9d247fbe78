"""When this VM's reads of the store count as failing."""

from __future__ import annotations

from siskinward.coordination.steering.rows import StoreTable
from siskinward.coordination.steering.store_reads import StoreReads
from siskinward.coordination.steering.store_reads import StoreReadSettings

TARGETS = StoreTable.TARGETS
OPERATOR = StoreTable.OPERATOR


def store_reads() -> StoreReads:
    return StoreReads(StoreReadSettings(overdue_s=0.3))


def test_store_reads_fail_once_an_answer_is_overdue() -> None:
    reads = store_reads()
    reads.begin(TARGETS, 1.0)
    assert not reads.are_failing(1.2)
    assert reads.are_failing(1.4)
    reads.end(TARGETS)
    assert not reads.are_failing(1.4)


def test_store_reads_that_are_tried_again_go_on_failing_until_one_succeeds() -> None:
    reads = store_reads()
    reads.begin(TARGETS, 1.0)
    reads.fail(TARGETS)
    reads.begin(TARGETS, 2.0)
    assert reads.are_failing(1.1)
    reads.end(TARGETS)
    reads.begin(TARGETS, 3.0)
    assert not reads.are_failing(3.1)


def test_store_reads_of_one_table_do_not_hide_the_failure_of_another() -> None:
    reads = store_reads()
    reads.begin(TARGETS, 1.0)
    reads.begin(OPERATOR, 1.0)
    reads.end(OPERATOR)
    assert reads.are_failing(1.4)
