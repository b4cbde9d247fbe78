"""Pointer rows, and the outcome of attempts to publish a configuration.

The content is an immutable object. A pointer row names it, and the same transaction writes a
history row for the version, so an attempt can be found by its publish id even after later
versions.
"""

from __future__ import annotations

from typing import Any

import attrs
import msgpack
from attrs import frozen
from expression import Error
from expression import Ok
from expression import Result

from siskinward.coordination.platform import Row
from siskinward.coordination.platform import RowWrite
from siskinward.state.errors import StepError

CONFIGURATION_ROW = "configuration"
HISTORY_ROW_PREFIX = "configuration-history/"


@frozen
class ConfigurationPointer:
    """One published version and the hash of its content; ``published_at_s`` is since the epoch.

    The delta leads from the content ``previous_hash`` to this one; ``delta_hash`` is empty if
    there is none.
    """

    version: int
    content_hash: str
    publish_id: str
    previous_hash: str
    published_at_s: float
    delta_hash: str = ""


UNPUBLISHED = ConfigurationPointer(0, "", "", "", 0.0)
"""Pointer of the state before the first publication."""


@frozen
class PublishAttempt:
    """A new pointer, to be written if the pointer row is still at ``expected_row_version``."""

    pointer: ConfigurationPointer
    expected_row_version: int


@frozen
class Accepted:
    """The attempt took effect; ``is_current`` is false if later versions were published."""

    pointer: ConfigurationPointer
    is_current: bool = True


@frozen
class LostRace:
    """Another publication got the version; this attempt can no longer take effect."""

    current: ConfigurationPointer


@frozen
class NotApplied:
    """The attempt had taken no effect when the rows were read; it may be retried.

    A delayed write may still take effect later. A retry is safe since only one copy can match the
    expected row version.
    """


@frozen
class NotSent:
    """The platform failed before the attempt was sent; it cannot take effect."""

    error: StepError


@frozen
class OutcomeUnknown:
    """The platform failed or returned unreadable rows, so the outcome is not known."""

    error: StepError


Publication = Accepted | LostRace | NotApplied | NotSent | OutcomeUnknown


def history_row(version: int) -> str:
    """Return the key of a version's history row."""
    return f"{HISTORY_ROW_PREFIX}{version}"


def encode_pointer(pointer: ConfigurationPointer) -> bytes:
    """Encode a pointer as the value of a row."""
    return bytes(msgpack.packb(attrs.asdict(pointer)))


def decode_pointer(row: Row) -> Result[ConfigurationPointer, StepError]:
    """Decode a row's value; an absent row yields ``UNPUBLISHED``."""
    if row.version == 0:
        return Ok(UNPUBLISHED)
    try:
        pointer = _build_pointer(msgpack.unpackb(row.value))
    except (ValueError, TypeError, AttributeError, msgpack.UnpackException) as error:
        return Error(StepError("decode pointer", row.key, str(error) or type(error).__name__))
    if not _is_well_typed(pointer):
        return Error(StepError("decode pointer", row.key, "a field has an unexpected type"))
    return Ok(pointer)


def attempt_writes(attempt: PublishAttempt) -> tuple[RowWrite, ...]:
    """Return the writes of the transaction that publishes an attempt."""
    value = encode_pointer(attempt.pointer)
    return (
        RowWrite(CONFIGURATION_ROW, attempt.expected_row_version, value),
        RowWrite(history_row(attempt.pointer.version), 0, value),
    )


def determine_outcome(attempt: PublishAttempt, pointer_row: Row, attempt_row: Row) -> Publication:
    """Determine the outcome of an attempt from the pointer row and its version's history row.

    Both rows must come from a single read, so that they show one point in time.
    """
    current = decode_pointer(pointer_row)
    recorded = decode_pointer(attempt_row)
    if current.is_error():
        return OutcomeUnknown(current.error)
    if recorded.is_error():
        return OutcomeUnknown(recorded.error)
    if recorded.ok.publish_id == attempt.pointer.publish_id:
        return Accepted(recorded.ok, is_current=recorded.ok.version == current.ok.version)
    if attempt_row.version > 0 or pointer_row.version > attempt.expected_row_version:
        return LostRace(current.ok)
    return NotApplied()


def _build_pointer(values: dict[str, Any]) -> ConfigurationPointer:
    """Build a pointer, and ignore fields that a later release added."""
    known = attrs.fields_dict(ConfigurationPointer)
    return ConfigurationPointer(**{k: v for k, v in values.items() if k in known})


def _is_well_typed(pointer: ConfigurationPointer) -> bool:
    types: dict[str, Any] = {"version": int, "published_at_s": float}
    return all(
        isinstance(value, types.get(name, str)) for name, value in attrs.asdict(pointer).items()
    )
