"""What targets say of leaving, and of rests, in headers."""

from __future__ import annotations

import pytest

from siskinward.protocol.steering_headers import LONGEST_REST_S
from siskinward.protocol.steering_headers import LeavingWord
from siskinward.protocol.steering_headers import MalformedRest
from siskinward.protocol.steering_headers import Rest
from siskinward.protocol.steering_headers import decode_leaving
from siskinward.protocol.steering_headers import decode_rest


@pytest.mark.parametrize(
    ("lines", "word"),
    [
        ([], LeavingWord.STAYS),
        ([b"0"], LeavingWord.STAYS),
        ([b"0", b" 0 "], LeavingWord.STAYS),
        ([b"1"], LeavingWord.LEAVES),
        ([b" 1 "], LeavingWord.LEAVES),
        ([b"0", b"1"], LeavingWord.LEAVES),
        ([b"yes", b"1"], LeavingWord.LEAVES),
        ([b""], LeavingWord.DOUBTFUL),
        ([b"0", b"yes"], LeavingWord.DOUBTFUL),
        ([b"1, 1"], LeavingWord.DOUBTFUL),
        ([b"01"], LeavingWord.DOUBTFUL),
        ([b"-1"], LeavingWord.DOUBTFUL),
        ([b"\xb9"], LeavingWord.DOUBTFUL),
        ([b"1" * 4000], LeavingWord.DOUBTFUL),
    ],
)
def test_leaving_is_read_from_all_lines(lines: list[bytes], word: LeavingWord) -> None:
    assert decode_leaving(lines) is word


@pytest.mark.parametrize(
    ("lines", "for_s"),
    [
        ([], 0.0),
        ([b"0"], 0.0),
        ([b"3"], 3.0),
        ([b" 2.5 "], 2.5),
        ([b".5"], 0.5),
        ([b"3."], 3.0),
        ([b"3", b"5", b"1"], 5.0),
        ([b"3", b"soon"], 3.0),
        ([b"3600"], LONGEST_REST_S),
        ([b"86400"], LONGEST_REST_S),
        ([b"999999999"], LONGEST_REST_S),
    ],
)
def test_rest_is_the_longest_that_can_be_read(lines: list[bytes], for_s: float) -> None:
    assert decode_rest(lines) == Rest(for_s)


@pytest.mark.parametrize(
    "value",
    [b"", b"-3", b"+3", b"1e3", b"nan", b"inf", b"3 s", b"3, 4", b"9" * 4000]
    + [b"Wed, 21 Oct 2037 07:28:00 GMT", "\u0663".encode(), b"\xff", b"."],
)
def test_rest_that_is_no_decimal_number_is_malformed(value: bytes) -> None:
    rest = decode_rest([value])
    assert isinstance(rest, MalformedRest)
    assert len(rest.text) <= 80
