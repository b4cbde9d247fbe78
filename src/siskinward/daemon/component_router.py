"""Drives the components of one VM: passes messages and timers, carries out their effects."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any
from typing import Protocol

from siskinward.transport.clock import read_clock_s

if TYPE_CHECKING:
    from collections.abc import Sequence

    from siskinward.coordination.events import VmIdentity
    from siskinward.daemon.effect_runner import EffectRunner


class Component(Protocol):
    """A component with a message handler and a timer, both of which return effects."""

    def on_message(self, message: Any, sender: VmIdentity, now_s: float) -> Sequence[Any]:
        """Process a message from another VM."""
        ...

    def on_timer(self, now_s: float) -> Sequence[Any]:
        """Process what is due at ``now_s``."""
        ...


class ComponentRouter:
    """Passes each message to the components that are registered for its class."""

    def __init__(self, runner: EffectRunner) -> None:
        self._runner = runner
        self._components: list[Component] = []
        self._components_by_type: dict[type, list[Component]] = {}

    def register(
        self, component: Component, message_types: tuple[type, ...], *, has_timer: bool = True
    ) -> None:
        """Register a component for message classes; a class may have several components.

        Without ``has_timer``, another component drives its timer.
        """
        if has_timer:
            self._components.append(component)
        for message_type in message_types:
            self._components_by_type.setdefault(message_type, []).append(component)

    async def clock(self) -> float:
        """Return the time that is passed to components."""
        return read_clock_s()

    async def deliver(self, message: Any, sender: VmIdentity) -> bool:
        """Pass on a message; return False if no component is registered for its class."""
        components = self._components_by_type.get(type(message), ())
        for component in components:
            await self.run(component, component.on_message(message, sender, read_clock_s()))
        return bool(components)

    async def tick(self, now_s: float) -> None:
        """Drive the timers of all components."""
        for component in self._components:
            await self.run(component, component.on_timer(now_s))

    async def run(self, component: Any, effects: Sequence[Any]) -> None:
        """Carry out effects that a component returned; pass table results back to it."""
        if effects:
            await self._runner.run(effects, component)
