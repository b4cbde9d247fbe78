"""Carries out the effects that a component returns and passes the results back to it."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any
from typing import Protocol

import curio

from siskinward.coordination.events import ReadRow
from siskinward.coordination.events import RowFailed
from siskinward.coordination.events import RowRead
from siskinward.coordination.events import RowWritten
from siskinward.coordination.events import Send
from siskinward.coordination.events import WriteOutcome
from siskinward.coordination.events import WriteRow
from siskinward.coordination.platform import RowWrite
from siskinward.transport.clock import read_clock_s

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Sequence

    from siskinward.coordination.events import TableAnswer
    from siskinward.coordination.platform import PlatformTable
    from siskinward.transport.peer_hub import PeerHub


class EffectOwner(Protocol):
    """A component that uses the platform's table or receives its own local decisions."""

    def on_table_answer(self, answer: TableAnswer, now_s: float) -> Sequence[Any]:
        """Process the result of a table effect that it returned before."""
        ...

    async def on_decision(self, decision: Any) -> None:
        """Process a result of its own that is neither a message nor a table call."""
        ...


class EffectRunner:
    """Sends messages at once and runs table calls in tasks of their own."""

    def __init__(self, hub: PeerHub, table: PlatformTable) -> None:
        self._hub = hub
        self._table = table

    async def run(self, effects: Iterable[Any], owner: Any) -> None:
        """Carry out effects; pass table results and decisions to ``owner``, an ``EffectOwner``."""
        for effect in effects:
            match effect:
                case Send(to, message):
                    await self._hub.send(to, message)
                case ReadRow() | WriteRow():
                    await curio.spawn(self._call_table, effect, owner, daemon=True)
                case _:
                    await owner.on_decision(effect)

    async def _call_table(self, effect: ReadRow | WriteRow, owner: EffectOwner) -> None:
        match effect:
            case ReadRow():
                answer = await self._read(effect)
            case WriteRow():
                answer = await self._write(effect)
        await self.run(owner.on_table_answer(answer, read_clock_s()), owner)

    async def _read(self, effect: ReadRow) -> TableAnswer:
        result = await self._table.read((effect.row,))
        if result.is_error():
            return RowFailed(effect.row, effect.request_id)
        row = result.ok[0]
        return RowRead(effect.row, effect.request_id, row.version, row.value)

    async def _write(self, effect: WriteRow) -> TableAnswer:
        write = RowWrite(effect.row, effect.expected_version, effect.value)
        result = await self._table.transact((write,))
        if result.is_error():
            return RowWritten(effect.row, effect.request_id, WriteOutcome.UNKNOWN, 0)
        version = result.ok.rows[0].version
        return RowWritten(effect.row, effect.request_id, result.ok.outcome, version)
