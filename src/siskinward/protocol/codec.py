"""Encodes messages between VMs as msgpack: ``[class name, field values in order]``.

Data classes nested in a message are encoded with their field names, which identify the members of
a union.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING
from typing import Any
from typing import get_type_hints

import attrs
import msgpack
from attrs import frozen
from cattrs.errors import BaseValidationError
from cattrs.errors import ForbiddenExtraKeysError
from cattrs.preconf.msgpack import make_converter
from expression import Error
from expression import Ok

from siskinward.state.errors import StepError

if TYPE_CHECKING:
    from collections.abc import Iterable

    from expression import Result

FRAME_LIMIT_BYTES = 24 * 1024 * 1024
STRUCTURE_ERRORS = (
    AttributeError,
    BaseValidationError,
    ForbiddenExtraKeysError,
    KeyError,
    OverflowError,
    TypeError,
    ValueError,
)


@frozen
class _FieldCodec:
    """The converters of one field of a message class."""

    name: str
    argument: str
    field_type: Any
    unstructure: Callable[[Any], Any]
    structure: Callable[[Any, Any], Any]


class MessageCodec:
    """Encodes and decodes the registered ``attrs`` message classes."""

    def __init__(self, message_types: Iterable[type]) -> None:
        self._types = {message_type.__name__: message_type for message_type in message_types}
        self._converter = make_converter(forbid_extra_keys=True, detailed_validation=False)
        self._fields: dict[type, tuple[_FieldCodec, ...]] = {}

    def encode(self, message: Any) -> bytes:
        """Return the message as one frame. Raises ``KeyError`` for an unregistered class."""
        name = type(message).__name__
        if self._types.get(name) is not type(message):
            raise KeyError(f"message class {name} is not registered")
        fields = self._fields_of(type(message))
        values = [field.unstructure(getattr(message, field.name)) for field in fields]
        encoded: bytes = msgpack.packb([name, values])
        return encoded

    def decode(self, frame: Any, peer: str) -> Result[Any, StepError]:
        """Return the message of an unpacked frame; an error names the peer that sent it."""
        match frame:
            case [str() as name, list() as values] if name in self._types:
                return self._structure(values, self._types[name], peer)
            case _:
                return Error(StepError("decode message", peer, "unknown message class"))

    def unpacker(self) -> msgpack.Unpacker:
        """Return a streaming unpacker that rejects frames above ``FRAME_LIMIT_BYTES``."""
        return msgpack.Unpacker(max_buffer_size=FRAME_LIMIT_BYTES, strict_map_key=True)

    def _structure(
        self, values: list[Any], message_type: type, peer: str
    ) -> Result[Any, StepError]:
        try:
            arguments = {
                field.argument: field.structure(value, field.field_type)
                for field, value in zip(self._fields_of(message_type), values, strict=True)
            }
            return Ok(message_type(**arguments))
        except STRUCTURE_ERRORS as error:
            detail = f"{message_type.__name__}: {error}"
            return Error(StepError("decode message", peer, detail))

    def _fields_of(self, message_type: type) -> tuple[_FieldCodec, ...]:
        found = self._fields.get(message_type)
        if found is None:
            hints = get_type_hints(message_type)
            fields = attrs.fields(message_type)
            found = tuple(self._field_codec(field, hints[field.name]) for field in fields)
            self._fields[message_type] = found
        return found

    def _field_codec(self, field: attrs.Attribute[Any], field_type: Any) -> _FieldCodec:
        converter = self._converter
        return _FieldCodec(
            field.name,
            field.alias or field.name,
            field_type,
            converter.get_unstructure_hook(field_type),
            converter.get_structure_hook(field_type),
        )
