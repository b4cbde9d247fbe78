"""Manifest of the published client map: which content is in force, and deltas that lead to it.

The manifest is small and spreads like any versioned state; maps and deltas are objects of the
store.
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
DELTA_LIMIT = 16
"""Most deltas that a manifest names; a VM further behind fetches the whole map."""


T = TypeVar("T")


@frozen
class DeltaReference:
    """A delta object that leads from one map to another, both named by content hash."""

    from_hash: str
    to_hash: str
    object_hash: str


@frozen
class MapManifest:
    """The map in force, and the latest deltas, oldest first."""

    map_hash: str
    deltas: tuple[DeltaReference, ...] = ()

    def deltas_from(self, held_hash: str) -> Sequence[DeltaReference] | None:
        """Return the deltas from a held map to the one in force; None if they do not suffice."""
        for number, delta in enumerate(self.deltas):
            if delta.from_hash == held_hash:
                return self.deltas[number:]
        return () if held_hash == self.map_hash else None

    def followed_by(self, delta: DeltaReference) -> MapManifest:
        """Return the manifest after one more delta."""
        return MapManifest(delta.to_hash, (*self.deltas, delta)[-DELTA_LIMIT:])


_converter = make_converter(detailed_validation=False)


def encode_manifest(manifest: MapManifest) -> bytes:
    """Encode a manifest as a content."""
    return bytes(msgpack.packb(attrs.asdict(manifest)))


def decode_manifest(content: bytes) -> Result[MapManifest, StepError]:
    """Decode a content."""
    return _decode(content, MapManifest, "decode map manifest")


def encode_delta(delta: MapDelta) -> bytes:
    """Encode a delta as an object."""
    return bytes(msgpack.packb(_converter.unstructure(delta)))


def decode_delta(content: bytes) -> Result[MapDelta, StepError]:
    """Decode an object of the store."""
    return _decode(content, MapDelta, "decode map delta")


def _decode(content: bytes, cls: type[T], step: str) -> Result[T, StepError]:
    try:
        return Ok(_converter.structure(msgpack.unpackb(content), cls))
    except (BaseValidationError, ValueError, TypeError, KeyError, msgpack.UnpackException) as error:
        return Error(StepError(step, MAP_ROW, str(error) or type(error).__name__))
