"""Keeps this VM's client map current: the manifest from its peers, the maps from the store."""

from __future__ import annotations

from typing import TYPE_CHECKING

import curio
from expression import Ok

from siskinward.coordination.freshness import FreshnessSettings
from siskinward.coordination.map_manifest import MAP_ROW
from siskinward.coordination.map_manifest import decode_delta
from siskinward.coordination.map_manifest import decode_manifest
from siskinward.coordination.state_replica import StateReplicaSettings
from siskinward.daemon.replica_driver import ReplicaDriver
from siskinward.state.client_map import ClientMap

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence

    from expression import Result

    from siskinward.coordination.map_manifest import DeltaReference
    from siskinward.coordination.map_manifest import MapManifest
    from siskinward.daemon.node_components import NodeComponents
    from siskinward.state.errors import StepError

HEARTBEAT_INTERVAL_S = 2.0
MAX_FETCH_JITTER_S = 1.0
RETRY_S = 5.0


class MapReplica:
    """Fetches the map of each new manifest after a random delay of up to ``MAX_FETCH_JITTER_S``.

    The delay spreads the fetches of all VMs. A VM that holds one of the last maps fetches only
    the deltas since.
    """

    def __init__(
        self,
        components: NodeComponents,
        on_map: Callable[[ClientMap], None],
        on_error: Callable[[StepError], None],
        now_s: float,
    ) -> None:
        settings = StateReplicaSettings(
            FreshnessSettings(heartbeat_interval_s=HEARTBEAT_INTERVAL_S)
        )
        self.driver = ReplicaDriver(
            components, settings, MAP_ROW, self._on_manifest_activated, on_error, now_s
        )
        self._store = components.platform
        self._random = components.random
        self._on_map = on_map
        self._on_error = on_error
        self._wanted_manifest: MapManifest | None = None
        self._current_map: ClientMap | None = None

    async def _on_manifest_activated(self, version: int, content: bytes) -> None:
        manifest = decode_manifest(content)
        if manifest.is_error():
            self._on_error(manifest.error)
            return
        self._wanted_manifest = manifest.ok
        await curio.spawn(self._fetch_until_current, manifest.ok, daemon=True)

    async def _fetch_until_current(self, manifest: MapManifest) -> None:
        await curio.sleep(self._random.uniform(0.0, MAX_FETCH_JITTER_S))
        while self._wanted_manifest == manifest:
            result = await self._fetch(manifest)
            if result.is_ok():
                self._current_map = result.ok
                self._on_map(result.ok)
                return
            self._on_error(result.error)
            await curio.sleep(RETRY_S * self._random.uniform(0.5, 1.5))

    async def _fetch(self, manifest: MapManifest) -> Result[ClientMap, StepError]:
        held = self._current_map
        path = None if held is None else manifest.deltas_from(held.content_hash)
        if held is not None and path is not None:
            followed = await self._apply_deltas(held, path)
            if followed.is_ok():
                return followed
        whole = await self._store.get(manifest.map_hash)
        return whole.bind(ClientMap.from_bytes)

    async def _apply_deltas(
        self, client_map: ClientMap, path: Sequence[DeltaReference]
    ) -> Result[ClientMap, StepError]:
        for reference in path:
            content = await self._store.get(reference.object_hash)
            applied = content.bind(decode_delta).bind(client_map.apply)
            if applied.is_error():
                return applied
            client_map = applied.ok
        return Ok(client_map)
