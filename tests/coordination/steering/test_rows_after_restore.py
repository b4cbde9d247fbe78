"""Table copies when the store comes back from an old copy of itself, in any order of arrival."""

from __future__ import annotations

from attrs import define
from attrs import field
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import invariant
from hypothesis.stateful import rule

from siskinward.coordination.steering.row import Row
from siskinward.coordination.steering.row import RowRevision
from siskinward.coordination.steering.rows import UNREAD
from siskinward.coordination.steering.rows import Changes
from siskinward.coordination.steering.rows import Position
from siskinward.coordination.steering.rows import Snapshot
from siskinward.coordination.steering.rows import StoreTable
from siskinward.coordination.steering.rows import TableCopy

KEYS = ("a", "b", "c")
VMS = 3
LONGEST_HOLD_S = 10.0


def revision_of(row: Row) -> RowRevision | None:
    """Decode a value ``start:count``: the writer's start, and its writes of all rows so far."""
    if row.value is None:
        return None
    start, count = row.value.split(b":")
    return RowRevision(int(start), int(count))


@define
class _Store:
    """A store whose writers count their writes of each row, and write again what was lost."""

    era: int = 0
    version: int = 0
    rows: dict[str, Row] = field(factory=dict)
    history: list[Row] = field(factory=list)
    wanted: dict[str, bytes | None] = field(factory=dict)
    copies: list[tuple[int, dict[str, Row], list[Row]]] = field(factory=list)

    def write(self, key: str, value: bytes | None) -> None:
        self.wanted[key] = value
        self.version += 1
        row = Row(key, value, self.version)
        self.history.append(row)
        if value is None:
            self.rows.pop(key, None)
        else:
            self.rows[key] = row

    def take_copy(self) -> None:
        self.copies.append((self.version, dict(self.rows), list(self.history)))

    def come_back(self) -> None:
        version, rows, history = self.copies[-1]
        self.version, self.rows, self.history = version, dict(rows), list(history)
        self.era += 1

    def write_again(self) -> None:
        for key, value in self.wanted.items():
            stored = self.rows.get(key)
            if (stored.value if stored else None) != value:
                self.write(key, value)

    def snapshot(self) -> Snapshot:
        return Snapshot(tuple(self.rows.values()), Position(self.era, self.version))

    def changes_after(self, position: Position) -> Changes | Snapshot:
        """Answer as the client does: another era, or versions not there, need a whole read."""
        if position.era != self.era or position.version > self.version:
            return self.snapshot()
        rows = tuple(row for row in self.history if row.version > position.version)
        return Changes(rows, position, Position(self.era, self.version))


class RestoredStore(RuleBasedStateMachine):
    """Three VMs read one store and one another; answers arrive late and in any order."""

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 0.0
        self.store = _Store()
        self.store.take_copy()
        self.copies = [TableCopy(StoreTable.OPERATOR, revision_of) for _ in range(VMS)]
        self.late: list[tuple[int, Snapshot | Changes]] = []
        self.newest_seen: list[dict[str, int]] = [{} for _ in range(VMS)]
        self.gone: list[set[str]] = [set() for _ in range(VMS)]
        self.count = 0
        self.starts = dict.fromkeys(KEYS, 0)

    def _apply(self, vm: int, update: Snapshot | Changes) -> None:
        before = self.copies[vm].position
        self.copies[vm].apply(update, self.now_s)
        assert self.copies[vm].position >= before

    def _read_store(self, vm: int) -> Snapshot | Changes:
        copy = self.copies[vm]
        return self.store.changes_after(copy.position) if copy.is_loaded else self.store.snapshot()

    @rule(key=st.sampled_from(KEYS))
    def write(self, key: str) -> None:
        self.count += 1
        self.store.write(key, f"{self.starts[key]}:{self.count}".encode())

    @rule(key=st.sampled_from(KEYS))
    def remove(self, key: str) -> None:
        if key in self.store.rows:
            self.store.write(key, None)
            self.starts[key] += 1

    @rule()
    def take_copy(self) -> None:
        self.store.take_copy()

    @rule()
    def come_back_from_copy(self) -> None:
        self.store.come_back()

    @rule(vm=st.integers(0, VMS - 1))
    def read(self, vm: int) -> None:
        self._apply(vm, self._read_store(vm))

    @rule(vm=st.integers(0, VMS - 1))
    def read_late(self, vm: int) -> None:
        self.late.append((vm, self._read_store(vm)))

    @rule(pick=st.integers(0, 20))
    def arrive(self, pick: int) -> None:
        if self.late:
            vm, update = self.late.pop(pick % len(self.late))
            self._apply(vm, update)

    @rule(vm=st.integers(0, VMS - 1), peer=st.integers(0, VMS - 1))
    def fetch(self, vm: int, peer: int) -> None:
        source, copy = self.copies[peer], self.copies[vm]
        if source.is_loaded and vm != peer:
            self._apply(vm, source.changes_after(copy.position if copy.is_loaded else UNREAD))

    @rule(vm=st.integers(0, VMS - 1), peer=st.integers(0, VMS - 1))
    def fetch_held(self, vm: int, peer: int) -> None:
        snapshot = self.copies[peer].changes_after(UNREAD)
        if isinstance(snapshot, Snapshot) and vm != peer:
            self.copies[vm].adopt_held(snapshot, self.now_s)

    @rule()
    def settle(self) -> None:
        """Writers write again, every VM reads, and the holds end: all see what the store has."""
        self.store.write_again()
        for vm in range(VMS):
            self.read(vm)
        self.now_s += LONGEST_HOLD_S
        expected = {key: row.value for key, row in self.store.rows.items()}
        for copy in self.copies:
            copy.release_held(self.now_s)
            assert copy.held_count == 0
            assert {key: row.value for key, row in copy.rows.items()} == expected

    @invariant()
    def no_row_goes_back(self) -> None:
        for copy, newest, gone in zip(self.copies, self.newest_seen, self.gone, strict=True):
            for key, row in copy.rows.items():
                revision = revision_of(row)
                assert revision is not None
                least = newest.get(key, 0) + (key in gone)
                assert revision.number >= least, key
                newest[key] = revision.number
            gone.clear()
            gone.update(newest.keys() - copy.rows.keys())


TestRestoredStore = RestoredStore.TestCase


def test_removed_row_stays_removed_until_its_hold_ends() -> None:
    copy = TableCopy(StoreTable.TARGETS, revision_of)
    row = Row("a", b"0:1", 1)
    copy.apply(Snapshot((row,), Position(0, 1)), 0.0)
    copy.apply(Changes((Row("a", None, 2),), Position(0, 1), Position(0, 2)), 0.0)
    assert copy.apply(Snapshot((row,), Position(1, 1)), 0.0) == ()
    assert copy.release_held(7.9) == ()
    assert copy.release_held(8.0) == (row,)


def test_change_of_a_held_row_ends_its_hold() -> None:
    copy = TableCopy(StoreTable.TARGETS, revision_of)
    copy.apply(Snapshot((Row("a", b"0:5", 9),), Position(0, 9)), 0.0)
    copy.apply(Snapshot((Row("a", b"0:3", 4),), Position(1, 4)), 0.0)
    assert copy.rows["a"].value == b"0:5"
    written = Row("a", b"0:6", 5)
    assert copy.apply(Changes((written,), Position(1, 4), Position(1, 5)), 0.0) == (written,)
    assert copy.rows == {"a": written}
    assert copy.held_count == 0


def test_copy_of_a_second_loss_keeps_what_the_first_one_held() -> None:
    copy = TableCopy(StoreTable.OPERATOR, revision_of)
    copy.apply(Snapshot((Row("a", b"0:5", 9),), Position(0, 9)), 0.0)
    old = Row("a", b"0:3", 4)
    for era in (1, 2, 2):
        assert copy.apply(Snapshot((old,), Position(era, 4)), 1.0) == ()
    assert copy.rows["a"].value == b"0:5"


def test_newcomer_adopts_the_rows_that_a_peer_holds() -> None:
    source, newcomer = (TableCopy(StoreTable.OPERATOR, revision_of) for _ in range(2))
    old, held = Row("a", b"0:3", 4), Row("a", b"0:5", 9)
    source.apply(Snapshot((held,), Position(0, 9)), 0.0)
    source.apply(Snapshot((old,), Position(1, 4)), 0.0)
    newcomer.apply(Snapshot((old,), Position(1, 4)), 0.0)
    snapshot = source.changes_after(UNREAD)
    assert isinstance(snapshot, Snapshot)
    assert newcomer.adopt_held(snapshot, 0.0) == (held,)
    assert newcomer.adopt_held(snapshot, 0.0) == ()


def test_late_answer_of_the_era_before_is_dropped() -> None:
    copy = TableCopy(StoreTable.OPERATOR, revision_of)
    copy.apply(Snapshot((Row("a", b"0:5", 9),), Position(1, 9)), 0.0)
    assert copy.apply(Snapshot((Row("a", b"0:4", 90),), Position(0, 90)), 0.0) == ()
    late = Changes((Row("a", b"0:4", 10),), Position(0, 9), Position(0, 10))
    assert copy.apply(late, 0.0) == ()
    assert copy.position == Position(1, 9)
