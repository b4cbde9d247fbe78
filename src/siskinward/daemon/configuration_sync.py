"""Adopts configuration versions from the platform, forward only."""

from __future__ import annotations

from typing import TYPE_CHECKING

from siskinward.coordination.configuration_reader import NOTHING_PUBLISHED
from siskinward.coordination.configuration_reader import ConfigurationReader
from siskinward.daemon.serving_state import create_serving_state

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from siskinward.coordination.platform import ObjectStore
    from siskinward.coordination.platform import PlatformTable
    from siskinward.daemon.serving_state import ServingState
    from siskinward.state.errors import StepError


class ConfigurationSync:
    """Polls for a higher version and hands its derived tables to ``on_adopted``."""

    def __init__(
        self,
        table: PlatformTable,
        store: ObjectStore,
        on_adopted: Callable[[ServingState], Awaitable[None]],
        on_error: Callable[[StepError], None],
    ) -> None:
        self._reader = ConfigurationReader(table, store)
        self._held = NOTHING_PUBLISHED
        self._on_adopted = on_adopted
        self._on_error = on_error

    @property
    def version(self) -> int:
        """The version adopted last; 0 before the first."""
        return self._held.pointer.version

    async def poll(self) -> bool:
        """Look for a higher version; False when the platform did not give one that can be read."""
        result = await self._reader.read_newer(self._held)
        if result.is_error():
            self._on_error(result.error)
            return False
        found = result.ok
        if found.pointer.version > self.version:
            self._held = found
            await self._on_adopted(create_serving_state(self.version, found.configuration))
        return True
