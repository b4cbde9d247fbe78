"""Keeps this VM's copy of the configuration current, from the platform or from other VMs."""

from __future__ import annotations

from typing import TYPE_CHECKING

from siskinward.coordination.freshness import FreshnessSettings
from siskinward.coordination.freshness import Isolated
from siskinward.coordination.publishing import CONFIGURATION_ROW
from siskinward.coordination.state_replica import StateReplicaSettings
from siskinward.daemon.replica_driver import ReplicaDriver
from siskinward.daemon.serving_state import create_serving_state
from siskinward.state.configuration import apply_delta
from siskinward.state.configuration import parse_configuration
from siskinward.state.configuration import section_delta
from siskinward.state.errors import StepError

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from siskinward.coordination.freshness import Standing
    from siskinward.daemon.node_components import NodeComponents
    from siskinward.daemon.serving_state import ServingState
    from siskinward.state.identifiers import DomainName
    from siskinward.state.objects import Configuration


class ConfigurationReplica:
    """Parses each version of the configuration and derives the serving state from it.

    Of a version that replaces an active one, only the sections that differ are parsed.
    """

    def __init__(
        self,
        components: NodeComponents,
        platform_domains: tuple[DomainName, ...],
        on_activated: Callable[[ServingState], Awaitable[None]],
        on_error: Callable[[StepError], None],
        now_s: float,
    ) -> None:
        freshness = FreshnessSettings(platform_domains=frozenset(platform_domains))
        settings = StateReplicaSettings(freshness=freshness)
        self.driver = ReplicaDriver(
            components, settings, CONFIGURATION_ROW, self._activate, on_error, now_s
        )
        self._router = components.router
        self._on_activated = on_activated
        self._on_error = on_error
        self._text = ""
        self._configuration: Configuration | None = None
        self._unparsed_since_s: float | None = None

    def standing(self, now_s: float) -> Standing:
        """Return the freshness of the active version: isolated while a newer one fails to parse."""
        if self._unparsed_since_s is not None:
            return Isolated(self._unparsed_since_s)
        return self.driver.standing(now_s)

    async def _activate(self, version: int, content: bytes) -> None:
        text = content.decode("utf-8", "replace")
        parsed = self._parse(version, text)
        if parsed is None:
            self._unparsed_since_s = await self._router.clock()
            return
        self._unparsed_since_s = None
        self._text = text
        self._configuration = parsed
        await self._on_activated(create_serving_state(version, parsed))

    def _parse(self, version: int, text: str) -> Configuration | None:
        name = f"version {version}"
        if self._configuration is None:
            result = parse_configuration(text, name)
        else:
            delta = section_delta(self._text, text)
            result = apply_delta(self._configuration, delta, name)
        if result.is_ok():
            return result.ok
        self._on_error(StepError("parse configuration", name, str(result.error)))
        return None
