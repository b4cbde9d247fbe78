"""Runs a coroutine against a deployment in memory, on the paused clock."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

import pytest

from siskinward.platform.standins import Site
from siskinward.platform.standins import SiteSettings
from siskinward.standins.memory_network import MemoryNetwork
from siskinward.transport.sockets import use_network

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable
    from collections.abc import Iterator


@pytest.fixture
def memory_network() -> Iterator[MemoryNetwork]:
    """A network in memory that all sockets are opened in."""
    network = MemoryNetwork()
    with use_network(network):
        yield network


@pytest.fixture
def run_site(memory_network: MemoryNetwork, paused_kernel: Any) -> Any:
    """Start a deployment, run a scenario in it, and return what the scenario returns."""

    def run(
        scenario: Callable[[Site, MemoryNetwork], Awaitable[Any]],
        settings: SiteSettings | None = None,
    ) -> Any:
        async def main() -> Any:
            site = Site(settings or SiteSettings())
            await site.start()
            try:
                return await scenario(site, memory_network)
            finally:
                await site.stop()

        return paused_kernel.run(main)

    return run
