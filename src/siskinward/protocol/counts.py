"""Counts that others state as text, such as times in milliseconds."""

from __future__ import annotations

MAX_DIGITS = 15


def decode_count(value: bytes | None) -> int | None:
    """Decode a decimal integer without sign; None if it is missing, malformed or too long."""
    if value is None or not value.isdigit() or len(value) > MAX_DIGITS:
        return None
    return int(value)
