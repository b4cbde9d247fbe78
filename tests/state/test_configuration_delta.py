"""Deltas and merges between versions."""

from __future__ import annotations

import pytest
from fakes.configurations import configurations
from hypothesis import given

from siskinward.state.configuration import apply_changes
from siskinward.state.configuration import apply_delta
from siskinward.state.configuration import diff_configurations
from siskinward.state.configuration import render_delta
from siskinward.state.objects import Configuration
from siskinward.state.objects import Region


@given(configurations(), configurations())
def test_delta_and_changes_lead_from_old_to_new(old: Configuration, new: Configuration) -> None:
    changes = diff_configurations(old, new)
    assert apply_delta(old, render_delta(changes), "delta").ok == new
    assert apply_changes(old, changes).ok == new
    assert apply_changes(new, changes).ok == new


def test_delta_leaves_the_old_version_unchanged() -> None:
    old = Configuration(regions={"north": Region("north")})
    new = Configuration(regions={"south": Region("south")})
    assert apply_delta(old, "[removed region north]\n[region south]\n", "delta").ok == new
    assert old == Configuration(regions={"north": Region("north")})


@pytest.mark.parametrize(
    "text",
    ["[removed]", "[removed north]", "[region]", "[region a b]", "[turnip a]", "x", "[vm a]"],
)
def test_faulty_delta_is_refused(text: str) -> None:
    assert apply_delta(Configuration(), text, "delta").is_error()
