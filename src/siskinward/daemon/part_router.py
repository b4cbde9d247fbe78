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


class Part(Protocol):
    """A decision object as the embedding program drives it."""

    def on_message(self, message: Any, sender: VmIdentity, now_s: float) -> Sequence[Any]:
        """Take a message of another VM."""
        ...

    def on_timer(self, now_s: float) -> Sequence[Any]:
        """Take the passing of time."""
        ...


class PartRouter:
    """Hands each message to the components that registered its class."""

    def __init__(self, runner: EffectRunner) -> None:
        self._runner = runner
        self._components: list[Part] = []
        self._components_by_type: dict[type, list[Part]] = {}

    def register(
        self, part: Part, message_types: tuple[type, ...], *, has_timer: bool = True
    ) -> None:
        """Add a part with the message classes that it takes; several components may take a class.

        Without ``has_timer`` another part drives its timer.
        """
        if has_timer:
            self._components.append(part)
        for message_type in message_types:
            self._components_by_type.setdefault(message_type, []).append(part)

    async def clock(self) -> float:
        """Return the time that components are driven with."""
        return read_clock_s()

    async def deliver(self, message: Any, sender: VmIdentity) -> bool:
        """Hand over a message; False when no part takes its class."""
        components = self._components_by_type.get(type(message), ())
        for part in components:
            await self.run(part, part.on_message(message, sender, read_clock_s()))
        return bool(components)

    async def tick(self, now_s: float) -> None:
        """Drive every part's timer."""
        for part in self._components:
            await self.run(part, part.on_timer(now_s))

    async def run(self, part: Any, effects: Sequence[Any]) -> None:
        """Carry out effects that a part returned; answers of the table go back to it."""
        if effects:
            await self._runner.run(effects, part)
