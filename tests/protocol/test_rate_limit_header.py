"""The rate limit that a target states in a header."""

from __future__ import annotations

import pytest

from siskinward.protocol.steering_headers import MalformedRateLimit
from siskinward.protocol.steering_headers import NoRateLimit
from siskinward.protocol.steering_headers import RateLimit
from siskinward.protocol.steering_headers import decode_rate_limit


@pytest.mark.parametrize(
    ("value", "rate_per_s"),
    [(b"1.8", 1.8), (b"12", 12.0), (b" 0.25 ", 0.25), (b"0", 0.0), (b".5", 0.5), (b"3.", 3.0)]
    + [(b"1.8333333333333333", 1.833333), (b"1.7999999999999998", 1.8)],
)
def test_rate_limit_decimal_number_is_read(value: bytes, rate_per_s: float) -> None:
    assert decode_rate_limit(value) == RateLimit(rate_per_s)


def test_rate_limit_missing_header_states_none() -> None:
    assert decode_rate_limit(None) == NoRateLimit()


@pytest.mark.parametrize(
    "value",
    [b"", b"-1", b"+1", b"nan", b"inf", b"1e9", b"1_000", b"1,5", b"1, 2", b"2/s", b"9" * 400]
    + ["\u0663".encode(), b"\xff", b"."],
)
def test_rate_limit_anything_else_is_malformed(value: bytes) -> None:
    assert isinstance(decode_rate_limit(value), MalformedRateLimit)
