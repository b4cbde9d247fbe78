"""In-memory table and object store of the platform, with faults queued by tests."""

from __future__ import annotations

import hashlib
from collections import deque
from collections.abc import Awaitable
from collections.abc import Callable
from enum import Enum
from typing import Any

from attrs import Factory
from attrs import define
from expression import Error
from expression import Ok

from siskinward.coordination.events import WriteOutcome
from siskinward.coordination.platform import Row
from siskinward.coordination.platform import RowWrite
from siskinward.coordination.platform import TransactResult
from siskinward.state.errors import StepError


class Fault(Enum):
    """Fault of one call."""

    NONE = "none"
    REQUEST_LOST = "request-lost"
    ANSWER_LOST = "answer-lost"


@define
class MemoryPlatform:
    """Implements ``PlatformTable`` and ``ObjectStore``.

    Each call takes the next entry of ``transact_faults`` or ``read_faults``. ``before_transact``
    runs once, just before the next transaction, to simulate a concurrent operator.
    """

    rows: dict[str, tuple[int, bytes]] = Factory(dict)
    objects: dict[str, bytes] = Factory(dict)
    transact_faults: deque[Fault] = Factory(deque)
    read_faults: deque[Fault] = Factory(deque)
    before_transact: Callable[[], Awaitable[None]] | None = None
    is_out: bool = False

    async def read(self, keys: tuple[str, ...]) -> Any:
        if self._take(self.read_faults) is not Fault.NONE:
            return Error(StepError("read rows", "memory", "no answer"))
        return Ok(tuple(Row(key, *self.rows.get(key, (0, b""))) for key in keys))

    async def transact(self, writes: tuple[RowWrite, ...]) -> Any:
        if self.before_transact is not None:
            action, self.before_transact = self.before_transact, None
            await action()
        fault = self._take(self.transact_faults)
        no_answer = Error(StepError("write rows", "memory", "no answer"))
        if fault is Fault.REQUEST_LOST:
            return no_answer
        outcome = self._apply(writes)
        if fault is Fault.ANSWER_LOST:
            return no_answer
        return Ok(
            TransactResult(outcome, tuple(Row(w.key, self._version(w.key), b"") for w in writes))
        )

    async def get(self, content_hash: str) -> Any:
        if self.is_out or content_hash not in self.objects:
            return Error(StepError("get object", "memory", "no answer"))
        return Ok(self.objects[content_hash])

    async def put(self, content: bytes) -> Any:
        if self.is_out:
            return Error(StepError("put object", "memory", "no answer"))
        name = hashlib.blake2b(content, digest_size=32).hexdigest()
        self.objects[name] = content
        return Ok(name)

    def _apply(self, writes: tuple[RowWrite, ...]) -> WriteOutcome:
        if any(self._version(w.key) != w.expected_version for w in writes):
            return WriteOutcome.CONFLICT
        for write in writes:
            self.rows[write.key] = (write.expected_version + 1, write.value)
        return WriteOutcome.APPLIED

    def _version(self, key: str) -> int:
        return self.rows.get(key, (0, b""))[0]

    def _take(self, faults: deque[Fault]) -> Fault:
        if self.is_out:
            return Fault.REQUEST_LOST
        return faults.popleft() if faults else Fault.NONE
