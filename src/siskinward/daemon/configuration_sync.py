"""Adopts configuration versions from the platform, forward only."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgpack

from siskinward.daemon.serving_state import create_serving_state
from siskinward.state.configuration import parse_configuration
from siskinward.state.errors import StepError

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from siskinward.coordination.platform import ObjectStore
    from siskinward.coordination.platform import PlatformTable
    from siskinward.daemon.serving_state import ServingState

POINTER_ROW = "configuration"


class ConfigurationSync:
    """Polls the pointer row and fetches the object that it names."""

    def __init__(
        self,
        table: PlatformTable,
        store: ObjectStore,
        on_adopted: Callable[[ServingState], Awaitable[None]],
        on_error: Callable[[StepError], None],
    ) -> None:
        self._table = table
        self._store = store
        self._on_adopted = on_adopted
        self._on_error = on_error
        self.version = 0

    async def poll(self) -> bool:
        """Look for a higher version; False when the platform did not answer."""
        result = await self._table.read((POINTER_ROW,))
        if result.is_error():
            self._on_error(result.error)
            return False
        row = result.ok[0]
        if row.version == 0:
            return True
        pointer = msgpack.unpackb(row.value)
        if pointer["version"] > self.version:
            await self._adopt(pointer["version"], pointer["content_hash"])
        return True

    async def _adopt(self, version: int, content_hash: str) -> None:
        content = await self._store.get(content_hash)
        if content.is_error():
            self._on_error(content.error)
            return
        parsed = parse_configuration(content.ok.decode(), f"version {version}")
        if parsed.is_error():
            self._on_error(StepError("parse configuration", content_hash, str(parsed.error)))
            return
        if version > self.version:
            self.version = version
            await self._on_adopted(create_serving_state(version, parsed.ok))
