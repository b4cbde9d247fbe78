"""A short series of real processes, with what must hold at any moment.

Bounds in time are left to ``python -m soak``: this run must end alike on a busy machine.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import curio
import pytest

from soak.series import SoakSettings
from soak.series import create_series

if TYPE_CHECKING:
    from pathlib import Path

# 614261230: the checker counted an account's repeated requests twice.
SEEDS = (13, 614261230)
BLOCK = 19


@pytest.mark.parametrize("seed", SEEDS)
def test_short_series_breaks_no_promise_that_holds_at_any_moment(tmp_path: Path, seed: int) -> None:
    settings = SoakSettings(
        seed,
        tmp_path,
        BLOCK,
        length_s=4.0,
        recover_s=2.0,
        vms=3,
        targets=4,
        callers=10,
        judges_times=False,
    )
    result = curio.run(create_series(settings).play)
    assert result.broken == ()
    assert result.served > 0
