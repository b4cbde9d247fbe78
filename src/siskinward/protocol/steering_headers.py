"""Header fields that steer requests between callers, entry VMs and targets."""

from __future__ import annotations

import re
from enum import Enum
from typing import TYPE_CHECKING

from attrs import frozen

from siskinward.protocol.counts import decode_count
from siskinward.state.serving import LONGEST_WARMUP_S

if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Iterable

Headers = tuple[tuple[bytes, bytes], ...]

BEARER = b"bearer "
DECIMAL_PATTERN = re.compile(r"[0-9]{1,9}(\.[0-9]{0,30})?|\.[0-9]{1,30}")
# A target is asked again after this time, however long a rest it asked for.
LONGEST_REST_S = 3600.0
# Finer differences are no other limit; messages between VMs carry rates to this precision.
RATE_DECIMALS = 6
MAX_SHOWN_CHARACTERS = 80
LEAVES_VALUE = b"1"
STAYS_VALUE = b"0"
HOP_BY_HOP_HEADERS = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
    )
)


def encode_time_left(time_left_s: float) -> bytes:
    """Encode the time that a target has left, in whole milliseconds and at least one."""
    return str(max(1, int(time_left_s * 1000))).encode()


@frozen
class SteeringHeaders:
    """Lower-case names of the header fields, which the platform adapter defines.

    ``signature`` marks responses that the target itself produced, ``not_run`` its responses to
    requests that it did not run. In ``rate_limit`` a target states how many requests a second it
    accepts from all VMs together, by ``leaving`` that it is about to shut down, and by
    ``retry_after`` how long a VM that it turned away is to send it nothing.
    """

    attempt_id: bytes
    time_left_ms: bytes
    object_key: bytes
    signature: bytes
    client_account: bytes
    expected_target: bytes
    target: bytes
    load: bytes
    not_run: bytes
    warmup_left_ms: bytes
    rate_limit: bytes
    leaving: bytes
    retry_after: bytes


@frozen
class ReportedLoad:
    """Load that a target reports in its responses: requests running or waiting, and its slots."""

    requests: int
    slots: int


def decode_load(value: bytes | None) -> ReportedLoad | None:
    """Decode ``running,waiting,slots``, or return None if the value is missing or malformed."""
    counts = [decode_count(part.strip()) for part in (value or b"").split(b",")]
    match counts:
        case [int(running), int(waiting), int(slots)]:
            return ReportedLoad(running + waiting, slots)
        case _:
            return None


@frozen
class RateLimit:
    """The header states a rate limit."""

    rate_per_s: float


@frozen
class NoRateLimit:
    """The header is missing: no rate limit is stated."""


@frozen
class MalformedRateLimit:
    """The header holds no decimal number."""

    text: str


def decode_rate_limit(value: bytes | None) -> RateLimit | NoRateLimit | MalformedRateLimit:
    """Decode a rate limit in requests per second, a decimal number without sign or exponent."""
    if value is None:
        return NoRateLimit()
    text = value.decode("latin-1").strip()
    number = _decode_decimal(text)
    if number is None:
        return MalformedRateLimit(text)
    return RateLimit(round(number, RATE_DECIMALS))


@frozen
class Rest:
    """The target wants nothing from this VM for ``for_s``, 0 if it asks for no rest."""

    for_s: float = 0.0


@frozen
class MalformedRest:
    """No header line holds a decimal number."""

    text: str


def decode_rest(values: Collection[bytes]) -> Rest | MalformedRest:
    """Decode the header lines that state a time in seconds, a decimal number without sign.

    The longest that can be read counts, up to ``LONGEST_REST_S``. A date is malformed.
    """
    texts = [value.decode("latin-1").strip() for value in values]
    times_s = [time_s for text in texts if (time_s := _decode_decimal(text)) is not None]
    if texts and not times_s:
        return MalformedRest(texts[0][:MAX_SHOWN_CHARACTERS])
    return Rest(min(max(times_s, default=0.0), LONGEST_REST_S))


def _decode_decimal(text: str) -> float | None:
    """Decode a decimal number without sign or exponent; None if it is none, or too long."""
    return float(text) if DECIMAL_PATTERN.fullmatch(text) else None


class LeavingWord(Enum):
    """What a target says of whether it is about to shut down."""

    STAYS = "stays"
    DOUBTFUL = "doubtful"
    LEAVES = "leaves"


def decode_leaving(values: Collection[bytes]) -> LeavingWord:
    """Decode the header lines by which a target says that it leaves, none of which it need send.

    ``1`` in any line says so, and ``0`` that it stays, as if the header were missing. Any other
    value is doubtful.
    """
    words = {value.strip() for value in values}
    if LEAVES_VALUE in words:
        return LeavingWord.LEAVES
    return LeavingWord.DOUBTFUL if words - {STAYS_VALUE} else LeavingWord.STAYS


def decode_warmup_s(value: bytes | None) -> float | None:
    """Decode a warm-up time in milliseconds, 0 if it is missing.

    Return None if it is malformed or out of range.
    """
    warmup_ms = decode_count(value or b"0")
    if warmup_ms is None or warmup_ms / 1000.0 > LONGEST_WARMUP_S:
        return None
    return warmup_ms / 1000.0


def bearer_key(value: bytes | None) -> str | None:
    """Return the key of an ``Authorization`` field, or None if it holds no bearer token."""
    if value is None or not value.lower().startswith(BEARER):
        return None
    return value[len(BEARER) :].strip().decode("latin-1")


def end_to_end_headers(headers: Headers) -> list[tuple[bytes, bytes]]:
    """Return the headers without the hop-by-hop fields, which concern only one connection."""
    connection_options = _connection_options(headers)
    return [
        item
        for item in headers
        if item[0] not in HOP_BY_HOP_HEADERS and item[0] not in connection_options
    ]


def _connection_options(headers: Iterable[tuple[bytes, bytes]]) -> set[bytes]:
    return {
        token.strip().lower()
        for name, value in headers
        if name == b"connection"
        for token in value.split(b",")
    }
