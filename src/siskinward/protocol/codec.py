"""msgpack form of the messages between VMs: ``[class name, fields by name]``."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

import msgpack
from cattrs.errors import BaseValidationError
from cattrs.preconf.msgpack import make_converter
from expression import Error
from expression import Ok

from siskinward.state.errors import StepError

if TYPE_CHECKING:
    from collections.abc import Iterable

    from expression import Result

FRAME_LIMIT_BYTES = 24 * 1024 * 1024


class MessageCodec:
    """Encodes and decodes the registered ``attrs`` message classes."""

    def __init__(self, message_types: Iterable[type]) -> None:
        self._types = {message_type.__name__: message_type for message_type in message_types}
        self._converter = make_converter(forbid_extra_keys=True, detailed_validation=False)

    def encode(self, message: Any) -> bytes:
        """Return the bytes of one frame. Raises ``KeyError`` for an unregistered class."""
        name = type(message).__name__
        if self._types.get(name) is not type(message):
            raise KeyError(f"message class {name} is not registered")
        encoded: bytes = msgpack.packb([name, self._converter.unstructure(message)])
        return encoded

    def decode(self, frame: Any, peer: str) -> Result[Any, StepError]:
        """Turn an unpacked frame into its message; the error names the peer that sent it."""
        match frame:
            case [str() as name, dict() as fields] if name in self._types:
                return self._structure(fields, self._types[name], peer)
            case _:
                return Error(StepError("decode message", peer, "unknown message class"))

    def unpacker(self) -> msgpack.Unpacker:
        """Return a streaming unpacker that refuses frames above the limit."""
        return msgpack.Unpacker(max_buffer_size=FRAME_LIMIT_BYTES, strict_map_key=True)

    def _structure(
        self, fields: dict[str, Any], message_type: type, peer: str
    ) -> Result[Any, StepError]:
        try:
            return Ok(self._converter.structure(fields, message_type))
        except (BaseValidationError, ValueError, TypeError, KeyError, AttributeError) as error:
            detail = f"{message_type.__name__}: {error}"
            return Error(StepError("decode message", peer, detail))
