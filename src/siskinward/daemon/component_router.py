"""Drives the decision objects of one VM: messages, timers and the effects that they return."""

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
    """A decision object as the embedding program drives it."""

    def on_message(self, message: Any, sender: VmIdentity, now_s: float) -> Sequence[Any]:
        """Take a message of another VM."""
        ...

    def on_timer(self, now_s: float) -> Sequence[Any]:
        """Take the passing of time."""
        ...


class ComponentRouter:
    """Hands each message to the components that registered its class."""

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
        """Return the time that components are driven with."""
        return read_clock_s()

    async def deliver(self, message: Any, sender: VmIdentity) -> bool:
        """Hand over a message; False when no component takes its class."""
        components = self._components_by_type.get(type(message), ())
        for component in components:
            await self.run(component, component.on_message(message, sender, read_clock_s()))
        return bool(components)

    async def tick(self, now_s: float) -> None:
        """Drive each component's timer."""
        for component in self._components:
            await self.run(component, component.on_timer(now_s))

    async def run(self, component: Any, effects: Sequence[Any]) -> None:
        """Carry out effects that a component returned; answers of the table go back to it."""
        if effects:
            await self._runner.run(effects, component)
