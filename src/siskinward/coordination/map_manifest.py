"""Manifest of the published client map: the hash of the active map, and deltas that lead to it.

The manifest is small and is distributed like any versioned state. Maps and deltas are objects in
the object store.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import TypeVar

import attrs
import msgpack
from attrs import frozen
from cattrs.errors import BaseValidationError
from cattrs.preconf.msgpack import make_converter
from expression import Error
from expression import Ok
from expression import Result

from siskinward.state.client_map import MapDelta
from siskinward.state.errors import StepError

if TYPE_CHECKING:
    from collections.abc import Sequence

MAP_ROW = "client-map"
MAX_DELTAS = 16
"""Maximum number of deltas in a manifest; a VM further behind fetches the full map."""


T = TypeVar("T")


@frozen
class DeltaReference:
    """A delta object that leads from one map to another, both named by content hash."""

    from_hash: str
    to_hash: str
    object_hash: str


@frozen
class MapManifest:
    """The active map and the latest deltas, oldest first."""

    map_hash: str
    deltas: tuple[DeltaReference, ...] = ()

    def deltas_from(self, held_hash: str) -> Sequence[DeltaReference] | None:
        """Return the deltas from a held map to the active one, or None if they do not reach it."""
        for number, delta in enumerate(self.deltas):
            if delta.from_hash == held_hash:
                return self.deltas[number:]
        return () if held_hash == self.map_hash else None

    def with_delta(self, delta: DeltaReference) -> MapManifest:
        """Return a manifest extended by a delta; it keeps the newest ``MAX_DELTAS`` deltas."""
        return MapManifest(delta.to_hash, (*self.deltas, delta)[-MAX_DELTAS:])


_converter = make_converter(detailed_validation=False)


def encode_manifest(manifest: MapManifest) -> bytes:
    """Encode a manifest."""
    return bytes(msgpack.packb(attrs.asdict(manifest)))


def decode_manifest(content: bytes) -> Result[MapManifest, StepError]:
    """Decode a manifest."""
    return _decode(content, MapManifest, "decode map manifest")


def encode_delta(delta: MapDelta) -> bytes:
    """Encode a delta as an object for the store."""
    return bytes(msgpack.packb(_converter.unstructure(delta)))


def decode_delta(content: bytes) -> Result[MapDelta, StepError]:
    """Decode a delta object of the store."""
    return _decode(content, MapDelta, "decode map delta")


def _decode(content: bytes, cls: type[T], step: str) -> Result[T, StepError]:
    try:
        return Ok(_converter.structure(msgpack.unpackb(content), cls))
    except (BaseValidationError, ValueError, TypeError, KeyError, msgpack.UnpackException) as error:
        return Error(StepError(step, MAP_ROW, str(error) or type(error).__name__))
