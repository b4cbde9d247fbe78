"""Fields that several messages between entry VMs have in common, and their error."""

from __future__ import annotations

from math import isfinite
from typing import Any

import msgpack

from siskinward.coordination.steering.rows import Position

# What the decoding of a field of another type or size raises.
MALFORMED = (TypeError, ValueError, AttributeError, OverflowError)
# A position is sent as one integer, whose lower bits are the version; before the store first comes
# back from a copy it equals the version, which is all that earlier releases send and understand.
VERSION_BITS = 40


class PeerMessageError(ValueError):
    """Raised for bytes from another VM that do not decode to a message of this protocol."""


def unpack(data: bytes) -> Any:
    """Decode msgpack; raises ``PeerMessageError``."""
    try:
        return msgpack.unpackb(data, strict_map_key=False)
    except (ValueError, msgpack.UnpackException) as error:
        raise PeerMessageError(f"invalid msgpack: {error}") from error


def encode_position(position: Position) -> int:
    """Encode a position in a table of the store."""
    if position.version < 0:
        return position.version
    return (position.era << VERSION_BITS) + position.version


def decode_position(value: Any) -> Position:
    """Decode a position; raises one of ``MALFORMED``."""
    number = int(value)
    if number < 0:
        return Position(0, number)
    return Position(number >> VERSION_BITS, number & ((1 << VERSION_BITS) - 1))


def decode_number(value: Any) -> float:
    """Decode a finite number; raises one of ``MALFORMED``."""
    number = float(value)
    if not isfinite(number):
        raise ValueError(f"expected a finite number, found {value!r}")
    return number


def decode_numbers(fields: Any) -> dict[str, float]:
    """Decode finite numbers by name; raises one of ``MALFORMED``."""
    return {str(name): decode_number(value) for name, value in fields.items()}
