"""Publisher of client maps: the full map, the delta from the previous one, and the manifest."""

from __future__ import annotations

import ipaddress
from typing import TYPE_CHECKING

from attrs import frozen
from expression import Error
from expression import Ok
from expression import Result

from siskinward.coordination.events import WriteOutcome
from siskinward.coordination.map_manifest import MAP_ROW
from siskinward.coordination.map_manifest import DeltaReference
from siskinward.coordination.map_manifest import MapManifest
from siskinward.coordination.map_manifest import decode_manifest
from siskinward.coordination.map_manifest import encode_delta
from siskinward.coordination.map_manifest import encode_manifest
from siskinward.coordination.platform import RowWrite
from siskinward.coordination.publishing import ConfigurationPointer
from siskinward.coordination.publishing import decode_pointer
from siskinward.coordination.publishing import encode_pointer
from siskinward.state.client_map import BlockSite
from siskinward.state.client_map import ClientMap
from siskinward.state.errors import StepError

if TYPE_CHECKING:
    from collections.abc import Iterable

    from siskinward.coordination.platform import ObjectStore
    from siskinward.coordination.platform import PlatformTable
    from siskinward.state.client_map import MapDelta

EMPTY_MANIFEST = MapManifest("")


@frozen
class PublishedMap:
    """The active map; version 0 with an empty map means that none is published."""

    pointer: ConfigurationPointer
    row_version: int
    manifest: MapManifest
    client_map: ClientMap


class MapPublisher:
    """Replace the active map by compare-and-set on its pointer row."""

    def __init__(self, table: PlatformTable, objects: ObjectStore) -> None:
        self._table = table
        self._objects = objects

    async def read(self) -> Result[PublishedMap, StepError]:
        """Read the active map."""
        rows = await self._table.read((MAP_ROW,))
        if rows.is_error():
            return Error(rows.error)
        pointer = decode_pointer(rows.ok[0])
        if pointer.is_error():
            return Error(pointer.error)
        if rows.ok[0].version == 0:
            empty = ClientMap.from_blocks(0, ()).ok
            return Ok(PublishedMap(pointer.ok, 0, EMPTY_MANIFEST, empty))
        content = await self._objects.get(pointer.ok.content_hash)
        manifest = content.bind(decode_manifest)
        if manifest.is_error():
            return Error(manifest.error)
        whole = await self._objects.get(manifest.ok.map_hash)
        return whole.bind(ClientMap.from_bytes).map(
            lambda read: PublishedMap(pointer.ok, rows.ok[0].version, manifest.ok, read)
        )

    async def publish(
        self, blocks: Iterable[BlockSite], base: PublishedMap, publish_id: str
    ) -> Result[PublishedMap, StepError]:
        """Publish a complete set of blocks in place of ``base``.

        After an error the publication may still take effect, if the platform's answer was lost:
        read again and compare ``pointer.publish_id``.
        """
        version = base.pointer.version + 1
        delta = _make_delta(base.client_map, version, blocks)
        built = delta.bind(base.client_map.apply)
        if built.is_error():
            return Error(built.error)
        manifest = await self._store_objects(base, built.ok, delta.ok)
        if manifest.is_error():
            return Error(manifest.error)
        stored = await self._objects.put(encode_manifest(manifest.ok))
        if stored.is_error():
            return Error(stored.error)
        previous_hash = base.pointer.content_hash
        pointer = ConfigurationPointer(version, stored.ok, publish_id, previous_hash, 0.0)
        write = RowWrite(MAP_ROW, base.row_version, encode_pointer(pointer))
        written = await self._table.transact((write,))
        if written.is_error():
            return Error(written.error)
        if written.ok.outcome is not WriteOutcome.APPLIED:
            return Error(
                StepError("publish client map", MAP_ROW, "another map was published first")
            )
        return Ok(PublishedMap(pointer, base.row_version + 1, manifest.ok, built.ok))

    async def _store_objects(
        self, base: PublishedMap, client_map: ClientMap, delta: MapDelta
    ) -> Result[MapManifest, StepError]:
        whole = await self._objects.put(client_map.to_bytes())
        if whole.is_error():
            return Error(whole.error)
        if base.row_version == 0:
            return Ok(MapManifest(whole.ok))
        stored = await self._objects.put(encode_delta(delta))
        return stored.map(
            lambda name: base.manifest.with_delta(
                DeltaReference(base.manifest.map_hash, whole.ok, name)
            )
        )


def _make_delta(
    client_map: ClientMap, version: int, blocks: Iterable[BlockSite]
) -> Result[MapDelta, StepError]:
    """Return the delta from a map to one with exactly these blocks."""
    held = {block.prefix: block.site for block in client_map.blocks()}
    assigned = []
    for block in blocks:
        prefix = _normalise_prefix(block.prefix)
        if held.pop(prefix, None) != block.site:
            assigned.append(BlockSite(prefix, block.site))
    return client_map.make_delta(version, assigned, held)


def _normalise_prefix(text: str) -> str:
    try:
        return str(ipaddress.ip_network(text))
    except ValueError:
        return text
