"""Short soak runs with real processes, which check the promises that hold at any moment.

Time bounds are left to ``python -m soak``, because they can fail on a busy machine.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

import curio
import pytest

from soak.faults import ANSWER_FAULTS
from soak.faults import FaultKind
from soak.soak_run import create_soak_run
from soak.soak_settings import SoakResult
from soak.soak_settings import SoakSettings

if TYPE_CHECKING:
    from pathlib import Path

# With 614261230, the checker once counted an account's repeated requests twice.
SEEDS = (13, 614261230)
BLOCK = 19


def run_soak(directory: Path, seed: int, **settings: Any) -> SoakResult:
    """Run a seed against few VMs and targets."""
    sizes = {"vms": 2, "targets": 4, "callers": 16, "rate_per_s": 300.0, **settings}
    run = create_soak_run(SoakSettings(seed, directory, BLOCK, **sizes))
    result: SoakResult = curio.run(run.run)
    return result


@pytest.mark.parametrize("seed", SEEDS)
def test_short_run_breaks_no_promise_that_holds_at_any_moment(tmp_path: Path, seed: int) -> None:
    result = run_soak(
        tmp_path,
        seed,
        length_s=4.0,
        recover_s=2.0,
        vms=3,
        callers=10,
        rate_per_s=60.0,
        checks_time_bounds=False,
    )
    assert result.broken == ()
    assert result.served > 0


# One VM of three is cut off for 6 s, its open connections silent; then two, theirs reset.
CUT_SEEDS = (9, 220)


@pytest.mark.parametrize("seed", CUT_SEEDS)
def test_vms_cut_from_targets_serve_their_callers(tmp_path: Path, seed: int) -> None:
    result = run_soak(
        tmp_path,
        seed,
        length_s=3.0,
        recover_s=2.0,
        vms=3,
        callers=10,
        rate_per_s=200.0,
        kinds=(FaultKind.VM_CUT_FROM_TARGETS,),
    )
    assert result.broken == ()
    assert result.check_counts["calls at cut VMs"] > 20


# A VM of the release before them broke promises with each of these.
ANSWER_SEEDS = (4, 8)


@pytest.mark.parametrize("seed", ANSWER_SEEDS)
def test_vms_break_no_promise_while_answers_are_spoilt(tmp_path: Path, seed: int) -> None:
    result = run_soak(
        tmp_path,
        seed,
        length_s=6.0,
        recover_s=1.0,
        checks_time_bounds=False,
        kinds=ANSWER_FAULTS,
    )
    assert result.broken == ()
    assert result.served > 0


# Both VMs are stopped, one after the other.
STOP_SEEDS = (3,)


@pytest.mark.parametrize("seed", STOP_SEEDS)
def test_stopping_vms_answer_what_they_have_read(tmp_path: Path, seed: int) -> None:
    result = run_soak(tmp_path, seed, length_s=4.0, recover_s=8.0, kinds=(FaultKind.VM_STOP,))
    assert result.broken == ()
    assert result.check_counts["requests at stopping VMs"] > 20


# Another writer's entries, over a target's own too, while the store comes back from a copy.
ODD_ENTRY_SEEDS = (7, 28)


@pytest.mark.parametrize("seed", ODD_ENTRY_SEEDS)
def test_vms_follow_the_targets_beside_odd_entries(tmp_path: Path, seed: int) -> None:
    result = run_soak(
        tmp_path,
        seed,
        length_s=5.0,
        recover_s=5.0,
        vms=3,
        targets=6,
        callers=10,
        kinds=(
            FaultKind.ODD_ENTRIES,
            FaultKind.STORE_RESTORED,
            FaultKind.STORE_FORGET_HISTORY,
            FaultKind.VM_KILL,
            FaultKind.ZONE_CUT,
        ),
    )
    assert result.broken == ()
    assert result.check_counts["followed targets"] == 3


# Targets say that they leave, and ask for rests, while VMs are killed and the store falls silent.
WORD_SEEDS = (8, 12)


@pytest.mark.parametrize("seed", WORD_SEEDS)
def test_vms_keep_to_what_targets_say_of_themselves(tmp_path: Path, seed: int) -> None:
    result = run_soak(
        tmp_path,
        seed,
        length_s=9.0,
        recover_s=1.0,
        vms=3,
        targets=6,
        callers=24,
        checks_time_bounds=False,
        kinds=(
            FaultKind.TARGET_LEAVING,
            FaultKind.TARGET_REST,
            FaultKind.STORE_SILENCE,
            FaultKind.STORE_RESTORED,
            FaultKind.VM_KILL,
            FaultKind.VM_RELOAD,
        ),
    )
    assert result.broken == ()
    assert result.check_counts["answers that said that a target leaves"] > 0
    assert result.check_counts["rests"] > 0
