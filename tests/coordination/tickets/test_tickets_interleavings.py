"""Every interleaving of claim, dispatch, crash, resend, late answer and lost message."""

from __future__ import annotations

import pytest
from search import HandOver
from search import Scenario
from search import Search

ENTRIES = (("first", "left"), ("second", "rite"))
SCENARIOS = {
    "two entries": Scenario(ENTRIES),
    "two sends at one entry": Scenario((("first", "left"), ("second", "left"))),
    "home is entry": Scenario((("first", "home"), ("second", "rite")), replaceable=("home",)),
    "copy is entry": Scenario((("first", "left"), ("second", "kopy")), replaceable=("kopy",)),
    "hand-over": Scenario(ENTRIES[:1], hand_over=HandOver("home", "rite")),
}


@pytest.mark.parametrize("name", SCENARIOS)
def test_interleavings_no_second_run_no_false_not_run(name: str) -> None:
    worlds = Search(SCENARIOS[name]).run()
    print(name, worlds)
    assert worlds > 1000
