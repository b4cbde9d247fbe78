from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from siskinward.coordination.admission import AdmissionSettings
from siskinward.coordination.admission import Slot
from siskinward.coordination.admission import SlotLedger
from siskinward.state.identifiers import TargetName

TARGET = TargetName("organ-1")
SETTINGS = AdmissionSettings(hold_margin_s=0.5)


def make_ledger(slots: int) -> SlotLedger:
    ledger = SlotLedger(SETTINGS)
    ledger.set_limit(TARGET, slots=slots)
    return ledger


def test_release_counts_once() -> None:
    ledger = make_ledger(1)
    slot = ledger.take(TARGET, deadline_s=5.0, now_s=0.0)
    assert slot is not None
    assert ledger.take(TARGET, deadline_s=5.0, now_s=0.0) is None
    assert ledger.release(slot)
    assert not ledger.release(slot)
    assert ledger.free(TARGET) == 1


def test_unknown_outcome_holds_slot_until_target_deadline() -> None:
    ledger = make_ledger(1)
    slot = ledger.take(TARGET, deadline_s=5.0, now_s=0.0)
    assert slot is not None
    assert ledger.hold(slot, now_s=1.0) == 5.5
    assert ledger.on_timer(5.4) == ()
    assert ledger.free(TARGET) == 0
    assert ledger.on_timer(5.5) == (slot,)
    assert ledger.free(TARGET) == 1


def test_removed_target_still_counts_when_it_returns() -> None:
    ledger = make_ledger(2)
    slot = ledger.take(TARGET, deadline_s=5.0, now_s=0.0)
    assert slot is not None
    ledger.set_limit(TARGET, slots=0)
    ledger.set_limit(TARGET, slots=1)
    assert ledger.take(TARGET, deadline_s=5.0, now_s=0.0) is None


OPERATIONS = st.lists(st.sampled_from(["take", "release", "again", "hold", "inherit", "wait"]))


@given(OPERATIONS, st.integers(1, 4))
def test_in_use_never_exceeds_slots_nor_forgets_one(operations: list[str], slots: int) -> None:
    ledger = make_ledger(slots)
    taken: list[Slot] = []
    given_back: list[Slot] = []
    inherited = 0
    now_s = 0.0
    for operation in operations:
        match operation:
            case "take":
                slot = ledger.take(TARGET, deadline_s=now_s + 2.0, now_s=now_s)
                taken.extend([slot] if slot else [])
            case "release" if taken:
                given_back.append(taken.pop())
                assert ledger.release(given_back[-1])
            case "again" if given_back:
                assert not ledger.release(given_back[0])
            case "hold" if taken:
                ledger.hold(taken[-1], now_s=now_s)
            case "inherit" if ledger.free(TARGET) > 0:
                ledger.hold_inherited(TARGET, slots=1, until_s=1000.0)
                inherited += 1
            case "wait":
                now_s += 1.0
                due = ledger.on_timer(now_s)
                assert all(slot.deadline_s <= now_s for slot in due)
                taken = [slot for slot in taken if slot not in due]
        assert ledger.in_use(TARGET) == len(taken) + inherited <= slots
