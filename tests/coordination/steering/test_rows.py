"""Table copies under lost, late and repeated updates."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from siskinward.coordination.steering.row import Row
from siskinward.coordination.steering.rows import UNREAD
from siskinward.coordination.steering.rows import Changes
from siskinward.coordination.steering.rows import Position
from siskinward.coordination.steering.rows import Snapshot
from siskinward.coordination.steering.rows import StoreTable
from siskinward.coordination.steering.rows import TableCopy

NOW_S = 0.0


def at(version: int) -> Position:
    return Position(0, version)


def new_copy() -> TableCopy:
    """Return an empty copy of a table whose writers number nothing."""
    return TableCopy(StoreTable.VMS, lambda row: None)


class _Store:
    """A table with all its past states, by version."""

    def __init__(self) -> None:
        self.version = 0
        self.history: list[Row] = []
        self.states: list[dict[str, bytes]] = [{}]

    def write(self, key: str, value: bytes | None) -> None:
        self.version += 1
        self.history.append(Row(key, value, self.version))
        state = dict(self.states[-1])
        if value is None:
            state.pop(key, None)
        else:
            state[key] = value
        self.states.append(state)

    def snapshot(self, position: int) -> Snapshot:
        latest = {row.key: row for row in self.history[:position] if row.key is not None}
        rows = tuple(row for row in latest.values() if row.value is not None)
        return Snapshot(rows, at(position))

    def changes(self, after: int, position: int) -> Changes:
        rows = tuple(row for row in self.history if after < row.version <= position)
        return Changes(rows, at(after), at(position))


def contents(copy: TableCopy) -> dict[str, bytes]:
    return {key: row.value for key, row in copy.rows.items() if row.value is not None}


WRITES = st.lists(
    st.tuples(st.sampled_from("abc"), st.one_of(st.none(), st.binary(max_size=2))), max_size=12
)
STEPS = st.lists(st.tuples(st.booleans(), st.integers(0, 12), st.integers(0, 12)), max_size=20)


@given(writes=WRITES, steps=STEPS)
def test_copy_is_always_a_state_that_the_table_had_and_never_goes_back(
    writes: list[tuple[str, bytes | None]], steps: list[tuple[bool, int, int]]
) -> None:
    store = _Store()
    for key, value in writes:
        store.write(key, value)
    copy = new_copy()
    for is_whole, one, other in steps:
        after, position = sorted((min(one, store.version), min(other, store.version)))
        before = copy.position
        update = store.snapshot(position) if is_whole else store.changes(after, position)
        copy.apply(update, NOW_S)
        assert copy.position >= before
        assert contents(copy) == store.states[copy.position.version]


@given(writes=WRITES, positions=st.lists(st.integers(0, 12), max_size=6))
def test_copy_brought_up_to_date_by_another_copy_equals_it(
    writes: list[tuple[str, bytes | None]], positions: list[int]
) -> None:
    store = _Store()
    source, receiver = new_copy(), new_copy()
    source.apply(store.snapshot(0), NOW_S)
    for (key, value), _ in zip(writes, range(12), strict=False):
        store.write(key, value)
        source.apply(store.changes(source.position.version, store.version), NOW_S)
        if source.position.version in positions:
            update = source.changes_after(receiver.position if receiver.is_loaded else UNREAD)
            receiver.apply(update, NOW_S)
    update = source.changes_after(receiver.position if receiver.is_loaded else UNREAD)
    receiver.apply(update, NOW_S)
    assert contents(receiver) == contents(source)
    assert receiver.position == source.position


def test_copy_without_a_first_snapshot_takes_no_changes() -> None:
    copy = new_copy()
    assert copy.apply(Changes((Row("a", b"1", 1),), at(0), at(1)), NOW_S) == ()
    assert not copy.is_loaded


def test_copy_content_position_stands_still_while_other_tables_change() -> None:
    copy = new_copy()
    copy.apply(Snapshot((Row("a", b"1", 3),), at(5)), NOW_S)
    copy.apply(Changes((), at(5), at(90)), NOW_S)
    assert (copy.content_position, copy.position) == (at(5), at(90))


def test_copy_snapshot_reports_what_was_removed_meanwhile() -> None:
    copy = new_copy()
    copy.apply(Snapshot((Row("a", b"1", 1), Row("b", b"1", 2)), at(2)), NOW_S)
    changed = copy.apply(Snapshot((Row("b", b"1", 2), Row("c", b"1", 4)), at(5)), NOW_S)
    assert changed == (Row("c", b"1", 4), Row("a", None, 5))
