"""Slow and silent targets are found from the runs of all VMs, and healthy ones are not."""

from __future__ import annotations

from steering_fixtures import target_record

from siskinward.coordination.steering.hashing import short_id
from siskinward.coordination.steering.slow_targets import Run
from siskinward.coordination.steering.slow_targets import SlowTargets
from siskinward.coordination.steering.slow_targets import SlowTargetSettings
from siskinward.coordination.steering.targets import Target
from siskinward.state.identifiers import RegionName

OBJECTIVE_S = 0.4
WARM_S = 0.2
SETTINGS = SlowTargetSettings()


def target_of(name: str = "t1", load: int = 1) -> Target:
    return Target(target_record(name), RegionName("north"), in_flight_elsewhere=load)


def send(slow: SlowTargets, target: Target, now_s: float, *, warm: bool = True) -> Run:
    return slow.on_sent(target, is_warm=warm, objective_s=OBJECTIVE_S, now_s=now_s)


def end(slow: SlowTargets, run: Run, now_s: float, *, is_timeout: bool = False) -> None:
    slow.on_ended(run, is_answered=not is_timeout, is_timeout=is_timeout, now_s=now_s)


def learned() -> SlowTargets:
    """Return an instance that has seen many usual warm runs, long ago."""
    slow = SlowTargets(SETTINGS)
    for number in range(100):
        end(slow, send(slow, target_of("t0"), number - 200.0), number - 200.0 + WARM_S)
    return slow


def test_target_with_unanswered_requests_is_avoided_before_they_time_out() -> None:
    slow, target = learned(), target_of()
    for number in range(SETTINGS.min_slow_runs):
        send(slow, target, 0.01 * number)
    assert slow.update([], 0.5) == []
    assert slow.update([], 0.75) == [short_id("t1")]
    assert slow.is_avoided(target, 0.75)
    assert not slow.is_avoided(target_of("t2"), 0.75)


def test_slow_runs_that_several_vms_saw_add_up() -> None:
    slow, target = learned(), target_of()
    end(slow, send(slow, target, 0.0), 1.0)
    assert slow.update([{}], 1.0) == []
    others = [{short_id("t1"): 1}] * (SETTINGS.min_slow_runs - 1)
    assert slow.update(others, 1.0) == [short_id("t1")]


def test_busy_target_that_falls_silent_is_avoided_though_it_answered_a_moment_ago() -> None:
    # Replays a day on which targets with many requests in flight went silent: every request after
    # that found more requests than slots, and the answers before it were still recent.
    slow, target = learned(), target_of()
    for number in range(40):
        end(slow, send(slow, target, 0.02 * number), 0.02 * number + WARM_S)
    target.in_flight_elsewhere = 2 * target.record.slots
    for number in range(SETTINGS.min_slow_runs):
        send(slow, target, 1.0 + 0.02 * number)
    assert slow.update([], 1.0 + 3 * WARM_S) == []
    assert slow.update([], 1.3 + 6 * WARM_S) == [short_id("t1")]


def test_healthy_target_is_not_avoided_for_some_slow_runs() -> None:
    slow, target = learned(), target_of()
    for number in range(10):
        end(slow, send(slow, target, 0.01 * number), 1.3)
    end(slow, send(slow, target, 0.2), 0.2 + WARM_S)
    assert slow.update([], 1.3) == []


def test_cold_queued_and_interrupted_runs_are_no_evidence() -> None:
    slow, target = learned(), target_of()
    busy = target_of("t1", load=2 * target.record.slots)
    for number in range(10):
        end(slow, send(slow, target, 0.01 * number, warm=False), 0.7)
        end(slow, send(slow, busy, 0.01 * number), 0.9)
        interrupted = send(slow, target, 0.01 * number)
        slow.on_ended(interrupted, is_answered=False, is_timeout=False, now_s=0.9)
    assert slow.update([], 0.9) == []


def test_target_that_is_slow_again_is_avoided_for_longer_up_to_a_limit() -> None:
    slow, target = learned(), target_of()
    now_s, lengths_s = 0.0, []
    for _ in range(4):
        for _ in range(SETTINGS.min_slow_runs):
            end(slow, send(slow, target, now_s), now_s + 1.0, is_timeout=True)
        now_s += 1.0
        slow.update([], now_s)
        since_s = now_s
        while slow.is_avoided(target, now_s):
            now_s += 0.1
        lengths_s.append(round(now_s - since_s))
    assert lengths_s == [2, 4, 8, 8]


def test_slowness_does_not_become_usual() -> None:
    slow, target = learned(), target_of()
    for number in range(10):
        end(slow, send(slow, target, float(number)), number + 0.95)
    assert slow.own_slow_runs(10.0) == {short_id("t1"): 2}


def test_slow_runs_of_long_ago_do_not_count() -> None:
    slow = learned()
    end(slow, send(slow, target_of(), 0.0), 1.0)
    assert slow.own_slow_runs(1.0) == {short_id("t1"): 1}
    assert slow.own_slow_runs(1.0 + SETTINGS.window_s + 0.1) == {}
