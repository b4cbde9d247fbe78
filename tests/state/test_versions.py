"""The active version only increases, and its content always matches its hash."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from siskinward.state.content_delta import apply_delta
from siskinward.state.content_delta import make_delta
from siskinward.state.versions import Pointer
from siskinward.state.versions import VersionTracker
from siskinward.state.versions import content_hash_of

SMALL = st.binary(max_size=12)


def pointer_to(version: int) -> tuple[Pointer, bytes]:
    content = f"content {version}".encode()
    return Pointer(version, content_hash_of(content)), content


@given(st.lists(st.tuples(st.integers(1, 6), st.booleans()), max_size=20))
def test_active_version_never_decreases(offers: list[tuple[int, bool]]) -> None:
    tracker = VersionTracker("configuration")
    highest_intact = 0
    for version, intact in offers:
        pointer, content = pointer_to(version)
        before = tracker.version
        tracker.try_activate(pointer, content if intact else content + b"!", "vm1")
        highest_intact = max(highest_intact, version if intact else 0)
        assert tracker.version >= before
    assert tracker.version == highest_intact
    assert tracker.is_ready == (highest_intact > 0)


def test_two_contents_of_one_version_are_refused() -> None:
    tracker = VersionTracker("configuration")
    pointer, content = pointer_to(3)
    tracker.try_activate(pointer, content, "vm1")
    other = Pointer(3, content_hash_of(b"other"))
    result = tracker.try_activate(other, b"other", "vm2")
    assert result.is_error()
    assert result.error.peer == "vm2"
    assert tracker.content == content


@given(SMALL, SMALL, SMALL, SMALL)
def test_delta_restores_the_content(head: bytes, old: bytes, new: bytes, tail: bytes) -> None:
    base, content = head + old + tail, head + new + tail
    delta = make_delta(base, content)
    assert apply_delta(base, delta) == content
    assert len(delta.middle) <= len(new)
