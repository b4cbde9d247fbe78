"""Fixture that runs a coroutine against an in-memory deployment on the paused clock."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

import pytest

from siskinward.platform.standins import Site
from siskinward.platform.standins import SiteSettings
from siskinward.standins.memory_network import MemoryNetwork
from siskinward.standins.paused_clock import paused_kernel

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable
    from collections.abc import Iterator


@pytest.fixture
def run_site() -> Iterator[Any]:
    """Return a function that starts a deployment, runs a scenario and returns its result."""
    network = MemoryNetwork()

    def run(
        scenario: Callable[[Site, MemoryNetwork], Awaitable[Any]],
        settings: SiteSettings | None = None,
    ) -> Any:
        async def main() -> Any:
            site = Site(settings or SiteSettings())
            await site.start()
            try:
                return await scenario(site, network)
            finally:
                await site.stop()

        return kernel.run(main)

    with paused_kernel(network) as kernel:
        yield run
