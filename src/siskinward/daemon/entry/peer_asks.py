"""Questions to other VMs over datagrams, each with one answer."""

from __future__ import annotations

from itertools import count
from typing import TYPE_CHECKING
from typing import Generic
from typing import TypeVar

import curio
from attrs import define
from attrs import field
from attrs import frozen

from siskinward.transport.clock import read_clock_s

if TYPE_CHECKING:
    from siskinward.coordination.steering.fleet import EntryVm
    from siskinward.state.identifiers import IncarnationId
    from siskinward.transport.peer_datagram_socket import PeerDatagramSocket

Answer = TypeVar("Answer")


@frozen
class AskSettings:
    """How often a question is sent, and how long its answer is awaited each time.

    A VM that answers none of the ``max_asks`` is not asked again for ``pause_s``.
    """

    max_asks: int = 2
    timeout_s: float = 0.15
    pause_s: float = 0.3


@define(eq=False)
class _PendingAsk(Generic[Answer]):
    answer: Answer | None = None
    is_answered: curio.Event = field(factory=curio.Event)


class PeerAsks(Generic[Answer]):
    """The unanswered questions of this VM, by number."""

    def __init__(self, settings: AskSettings, datagrams: PeerDatagramSocket) -> None:
        self._settings = settings
        self._datagrams = datagrams
        self._pending: dict[int, _PendingAsk[Answer]] = {}
        self._paused_until_s: dict[IncarnationId, float] = {}
        self._numbers = count(1)

    def next_number(self) -> int:
        """Return the number of a new question."""
        return next(self._numbers)

    async def ask(self, vm: EntryVm, number: int, question: bytes) -> Answer | None:
        """Send a question and return the answer; None if the VM does not answer."""
        if read_clock_s() < self._paused_until_s.get(vm.incarnation, 0.0):
            return None
        pending = self._pending[number] = _PendingAsk()
        try:
            for _ in range(self._settings.max_asks):
                await self._datagrams.send(question, [vm.host])
                async with curio.ignore_after(self._settings.timeout_s):
                    await pending.is_answered.wait()
                if pending.answer is not None:
                    return pending.answer
        finally:
            self._pending.pop(number, None)
        self._pause(vm.incarnation, read_clock_s())
        return None

    async def on_answer(self, number: int, answer: Answer) -> bool:
        """Pass on an answer; return whether its question was still pending."""
        pending = self._pending.pop(number, None)
        if pending is None:
            return False
        pending.answer = answer
        await pending.is_answered.set()
        return True

    def _pause(self, incarnation: IncarnationId, now_s: float) -> None:
        paused = {name: end_s for name, end_s in self._paused_until_s.items() if end_s > now_s}
        self._paused_until_s = {**paused, incarnation: now_s + self._settings.pause_s}
