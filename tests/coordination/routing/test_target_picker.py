from __future__ import annotations

from random import Random

from siskinward.coordination.admission import AdmissionSettings
from siskinward.coordination.admission import SlotLedger
from siskinward.coordination.routing import RoutingSettings
from siskinward.coordination.routing import TargetPicker
from siskinward.state.identifiers import TargetName

TARGETS = [TargetName("one"), TargetName("two")]
SETTINGS = RoutingSettings(ramp_s=10.0, ramp_start_share=0.2, suspend_s=1.0)


def make_picker(slots: int = 5) -> tuple[TargetPicker, SlotLedger]:
    ledger = SlotLedger(AdmissionSettings())
    for target in TARGETS:
        ledger.set_limit(target, slots=slots)
    return TargetPicker(SETTINGS, Random(1)), ledger


def fill(picker: TargetPicker, ledger: SlotLedger, now_s: float) -> dict[str, int]:
    while target := picker.pick(ledger, TARGETS, excluded=(), now_s=now_s):
        assert ledger.take(target, deadline_s=now_s + 100, now_s=now_s)
    return {target: ledger.in_use(target) for target in TARGETS}


def test_pick_spreads_evenly_and_stops_at_the_slots() -> None:
    picker, ledger = make_picker()
    first = {picker.pick(ledger, TARGETS, excluded=(), now_s=0.0) for _ in range(20)}
    assert first == set(TARGETS)
    assert fill(picker, ledger, 0.0) == {"one": 5, "two": 5}


def test_cold_target_is_ramped() -> None:
    picker, ledger = make_picker()
    picker.on_target_up(TARGETS[0], 0.0)
    assert fill(picker, ledger, 0.0) == {"one": 1, "two": 5}
    assert fill(picker, ledger, 5.0) == {"one": 3, "two": 5}
    assert fill(picker, ledger, 10.0) == {"one": 5, "two": 5}


def test_leaving_and_excluded_targets_get_no_work() -> None:
    picker, ledger = make_picker()
    picker.set_leaving([TARGETS[0]])
    assert picker.pick(ledger, TARGETS, excluded=[TARGETS[1]], now_s=0.0) is None
    assert fill(picker, ledger, 0.0) == {"one": 0, "two": 5}


def test_failing_target_is_suspended_then_probed_with_one_request() -> None:
    picker, ledger = make_picker()
    picker.on_failure(TARGETS[0], 0.0)
    assert fill(picker, ledger, 0.9) == {"one": 0, "two": 5}
    assert fill(picker, ledger, 1.0) == {"one": 1, "two": 5}
    picker.on_answer(TARGETS[0], took_s=0.02)
    assert fill(picker, ledger, 1.1) == {"one": 5, "two": 5}


def test_slow_target_gets_fewer_requests() -> None:
    picker, ledger = make_picker()
    for _ in range(50):
        picker.on_answer(TARGETS[0], took_s=0.2)
        picker.on_answer(TARGETS[1], took_s=0.02)
    picks = [picker.pick(ledger, TARGETS, excluded=(), now_s=0.0) for _ in range(20)]
    assert picks.count(TARGETS[1]) == 20
