"""Fields that several messages between entry VMs have in common, and their error."""

from __future__ import annotations

from math import isfinite
from typing import Any

import msgpack

from siskinward.coordination.steering.rows import MAX_ERA
from siskinward.coordination.steering.rows import MAX_VERSION
from siskinward.coordination.steering.rows import UNREAD
from siskinward.coordination.steering.rows import VERSION_BITS
from siskinward.coordination.steering.rows import Position
from siskinward.state.addresses import is_port

# What the decoding of a field of another type or size raises.
MALFORMED = (ArithmeticError, AttributeError, LookupError, RecursionError, TypeError, ValueError)
# Larger numbers are no count, time or id that VMs send, and may not fit into their own messages.
LARGEST_INTEGER = 2**53


class PeerMessageError(ValueError):
    """Raised for bytes from another VM that do not decode to a message of this protocol."""


def unpack(data: bytes) -> Any:
    """Decode msgpack; raises ``PeerMessageError``."""
    try:
        return msgpack.unpackb(data, strict_map_key=False)
    except (*MALFORMED, msgpack.UnpackException) as error:
        raise PeerMessageError(f"invalid msgpack: {error}") from error


def encode_position(position: Position) -> int:
    """Encode a position in a table of the store.

    Its lower bits are the version. Before the store first comes back from a copy, it equals the
    version, which is all that earlier releases send and understand.
    """
    if position.version < 0:
        return position.version
    return (position.era << VERSION_BITS) + position.version


def decode_position(value: Any) -> Position:
    """Decode a position; raises one of ``MALFORMED``."""
    number = int(value)
    if number < 0:
        return UNREAD
    if number >> VERSION_BITS > MAX_ERA:
        raise ValueError(f"expected a position up to era {MAX_ERA}, found {number}")
    return Position(number >> VERSION_BITS, number & MAX_VERSION)


def decode_integer(value: Any) -> int:
    """Decode an integer of usual size; raises one of ``MALFORMED``."""
    number = int(value)
    if not -LARGEST_INTEGER <= number <= LARGEST_INTEGER:
        raise ValueError(f"expected an integer of at most {LARGEST_INTEGER}, found {number}")
    return number


def decode_port(value: Any) -> int:
    """Decode a port; raises one of ``MALFORMED``."""
    port = int(value)
    if not is_port(port):
        raise ValueError(f"expected a port, found {value!r}")
    return port


def decode_text(value: Any) -> str:
    """Decode a text; raises one of ``MALFORMED``."""
    if not isinstance(value, str):
        raise TypeError(f"expected text, found {type(value).__name__}")
    return value


def decode_bytes(value: Any) -> bytes:
    """Decode bytes; raises one of ``MALFORMED``."""
    if not isinstance(value, bytes):
        raise TypeError(f"expected bytes, found {type(value).__name__}")
    return value


def decode_age_s(value: Any) -> float:
    """Decode a time since something happened, never negative; raises one of ``MALFORMED``."""
    return max(0.0, decode_number(value))


def decode_number(value: Any) -> float:
    """Decode a finite number; raises one of ``MALFORMED``."""
    number = float(value)
    if not isfinite(number):
        raise ValueError(f"expected a finite number, found {value!r}")
    return number


def decode_numbers(fields: Any) -> dict[str, float]:
    """Decode finite numbers by name; raises one of ``MALFORMED``."""
    return {str(name): decode_number(value) for name, value in fields.items()}
