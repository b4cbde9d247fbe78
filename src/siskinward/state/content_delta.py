"""Deltas between two contents that share a prefix and a suffix."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import frozen

if TYPE_CHECKING:
    from collections.abc import Callable


@frozen
class ContentDelta:
    """Replaces all but the first ``prefix_bytes`` and last ``suffix_bytes`` by ``middle``."""

    prefix_bytes: int
    suffix_bytes: int
    middle: bytes


def _longest_match(limit: int, matches: Callable[[int], bool]) -> int:
    """Return the largest length up to ``limit`` for which ``matches`` holds, by bisection."""
    low = 0
    high = limit
    while low < high:
        middle = (low + high + 1) // 2
        if matches(middle):
            low = middle
        else:
            high = middle - 1
    return low


def make_delta(base: bytes, content: bytes) -> ContentDelta:
    """Return the delta that turns ``base`` into ``content``."""
    limit = min(len(base), len(content))
    prefix = _longest_match(limit, lambda n: base[:n] == content[:n])
    suffix = _longest_match(
        limit - prefix, lambda n: base[len(base) - n :] == content[len(content) - n :]
    )
    return ContentDelta(prefix, suffix, content[prefix : len(content) - suffix])


def apply_delta(base: bytes, delta: ContentDelta) -> bytes:
    """Return the content that a delta yields; the caller must check its hash."""
    suffix = base[len(base) - delta.suffix_bytes :]
    return base[: delta.prefix_bytes] + delta.middle + suffix
