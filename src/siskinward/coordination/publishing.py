"""Decides what became of an attempt to publish a configuration.

The content is an immutable object. One pointer row names it, and each accepted version leaves a
history row in the same transaction, so an attempt can be found again by its publish id however
many versions followed it.
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
    """Names one published version and its content. ``published_at_s`` is since the epoch.

    The delta leads from the content ``previous_hash`` to this one; without a delta its hash is
    empty.
    """

    version: int
    content_hash: str
    publish_id: str
    previous_hash: str
    published_at_s: float
    delta_hash: str = ""


UNPUBLISHED = ConfigurationPointer(0, "", "", "", 0.0)
"""Stands for the state before the first publication."""


@frozen
class PublishAttempt:
    """A new pointer, to be written if the pointer row is still at ``expected_row_version``."""

    pointer: ConfigurationPointer
    expected_row_version: int


@frozen
class Accepted:
    """The attempt took effect; ``is_current`` is false when later versions followed it."""

    pointer: ConfigurationPointer
    is_current: bool = True


@frozen
class LostRace:
    """Another publication took the version; this attempt can no longer take effect."""

    current: ConfigurationPointer


@frozen
class NotApplied:
    """The attempt had no effect when the rows were read. The same attempt may be sent again.

    A delayed write may still take effect later; sending it again is safe since only one copy can
    meet the expected version.
    """


@frozen
class NotSent:
    """The platform failed before the attempt was sent; it cannot take effect."""

    error: StepError


@frozen
class OutcomeUnknown:
    """The platform did not tell what became of the attempt."""

    error: StepError


Publication = Accepted | LostRace | NotApplied | NotSent | OutcomeUnknown


def history_row(version: int) -> str:
    """Return the key of a version's history row."""
    return f"{HISTORY_ROW_PREFIX}{version}"


def encode_pointer(pointer: ConfigurationPointer) -> bytes:
    """Encode a pointer as the value of a row."""
    return bytes(msgpack.packb(attrs.asdict(pointer)))


def decode_pointer(row: Row) -> Result[ConfigurationPointer, StepError]:
    """Decode a row's value; an absent row is the state before the first publication."""
    if row.version == 0:
        return Ok(UNPUBLISHED)
    try:
        pointer = _build_pointer(msgpack.unpackb(row.value))
    except (ValueError, TypeError, AttributeError, msgpack.UnpackException) as error:
        return Error(StepError("decode pointer", row.key, str(error) or type(error).__name__))
    if not _is_well_typed(pointer):
        return Error(StepError("decode pointer", row.key, "a field has the wrong type"))
    return Ok(pointer)


def writes_of(attempt: PublishAttempt) -> tuple[RowWrite, ...]:
    """Return the transaction that puts an attempt into effect."""
    value = encode_pointer(attempt.pointer)
    return (
        RowWrite(CONFIGURATION_ROW, attempt.expected_row_version, value),
        RowWrite(history_row(attempt.pointer.version), 0, value),
    )


def judge_attempt(attempt: PublishAttempt, pointer_row: Row, attempt_row: Row) -> Publication:
    """Decide an attempt from the pointer row and the history row of the attempt's version.

    Both rows must have been read at one point in time.
    """
    current = decode_pointer(pointer_row)
    taken = decode_pointer(attempt_row)
    if current.is_error():
        return OutcomeUnknown(current.error)
    if taken.is_error():
        return OutcomeUnknown(taken.error)
    if taken.ok.publish_id == attempt.pointer.publish_id:
        return Accepted(taken.ok, is_current=taken.ok.version == current.ok.version)
    if attempt_row.version > 0 or pointer_row.version > attempt.expected_row_version:
        return LostRace(current.ok)
    return NotApplied()


def _build_pointer(values: dict[str, Any]) -> ConfigurationPointer:
    """Build a pointer; fields that a later release added are ignored."""
    known = attrs.fields_dict(ConfigurationPointer)
    return ConfigurationPointer(**{k: v for k, v in values.items() if k in known})


def _is_well_typed(pointer: ConfigurationPointer) -> bool:
    types: dict[str, Any] = {"version": int, "published_at_s": float}
    return all(
        isinstance(value, types.get(name, str)) for name, value in attrs.asdict(pointer).items()
    )
