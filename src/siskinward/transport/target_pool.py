"""Pool of idle connections to targets, by address."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Protocol

import curio
from attrs import frozen

from siskinward.transport.clock import read_clock_s
from siskinward.transport.http_messages import HttpResponse
from siskinward.transport.outbound_connection import ExchangeFailedError
from siskinward.transport.outbound_connection import OutboundConnection

if TYPE_CHECKING:
    from collections.abc import Callable

    from siskinward.state.serving import TargetRecord
    from siskinward.transport.answer_memory import AnswerMemory
    from siskinward.transport.http_messages import HttpRequest


@frozen
class PoolLimits:
    """How long and how many idle connections are kept.

    ``unsafe_idle_timeout_s`` limits the idle time of a connection before it carries a request that
    must not be sent twice: the target may have dropped an older connection unnoticed.
    """

    idle_timeout_s: float = 8.0
    unsafe_idle_timeout_s: float = 1.0
    connect_timeout_s: float = 0.4
    settle_s: float = 0.02
    max_idle_per_target: int = 8


@frozen
class TargetAnswer:
    """A target's answer, and the number of the connection that it arrived on."""

    response: HttpResponse
    connection: int


def _allow() -> None:
    """Allow an exchange."""


class TargetPool:
    """Reuses the idle connection that was used last; opens a new one if none is idle.

    Connections are opened from ``source_host``. ``memory`` counts the answers being received.
    """

    def __init__(
        self, limits: PoolLimits, echo_header: bytes, source_host: str, memory: AnswerMemory
    ) -> None:
        self._limits = limits
        self._memory = memory
        self._echo_header = echo_header
        self._source_host = source_host
        self._idle: dict[str, list[OutboundConnection]] = {}
        self._active: dict[OutboundConnection, bool] = {}

    async def exchange(
        self,
        target: TargetRecord,
        request: HttpRequest,
        timeout_s: float,
        *,
        idempotent: bool,
        check: Callable[[], None] = _allow,
    ) -> TargetAnswer:
        """Run one exchange with a target. Raises ``ExchangeFailedError``.

        Nothing is sent if ``check``, which is called once there is a connection, raises an error.
        """
        connection = await self._acquire(target, request, timeout_s, idempotent=idempotent)
        try:
            check()
        except Exception:
            await connection.close()
            raise
        self._active[connection] = idempotent
        try:
            async with self._memory.open_share(connection.fail) as share:
                response = await connection.exchange(request, timeout_s, share)
        finally:
            del self._active[connection]
        if connection.is_open:
            await self._release(target, connection)
        return TargetAnswer(response, connection.number)

    async def try_connect(self, target: TargetRecord) -> bool:
        """Open a connection and keep it for the next request; return False if that fails.

        A firewall may accept a connection and reset it, so it has to last for a moment.
        """
        connection = self._create_connection(target)
        try:
            await connection.connect(self._limits.connect_timeout_s)
        except ExchangeFailedError:
            return False
        await curio.sleep(self._limits.settle_s)
        if not connection.is_reusable(read_clock_s()):
            await connection.close()
            return False
        await self._release(target, connection)
        return True

    async def abandon(self) -> None:
        """Drop all idle connections, and fail the exchanges that may be run again.

        For connections that are presumed dead. Other exchanges go on: their answers may yet come.
        """
        for connections in self._idle.values():
            for connection in connections:
                await connection.close()
        self._idle.clear()
        for connection, idempotent in list(self._active.items()):
            if idempotent:
                await connection.fail()

    async def close_idle(self) -> None:
        """Close connections that have been idle for too long or are no longer reusable."""
        now_s = read_clock_s()
        for address, connections in list(self._idle.items()):
            kept = []
            for connection in connections:
                if self._is_usable(connection, now_s):
                    kept.append(connection)
                else:
                    await connection.close()
            if kept:
                self._idle[address] = kept
            else:
                del self._idle[address]

    def _is_usable(self, connection: OutboundConnection, now_s: float) -> bool:
        idle_s = now_s - connection.idle_since_s
        return idle_s < self._limits.idle_timeout_s and connection.is_reusable(now_s)

    async def _acquire(
        self, target: TargetRecord, request: HttpRequest, timeout_s: float, *, idempotent: bool
    ) -> OutboundConnection:
        now_s = read_clock_s()
        idle = self._idle.get(target.address, [])
        for connection in reversed([item for item in idle if item.may_carry(request)]):
            idle.remove(connection)
            is_recent = now_s - connection.idle_since_s < self._limits.unsafe_idle_timeout_s
            if (idempotent or is_recent) and self._is_usable(connection, now_s):
                return connection
            await connection.close()
        connection = self._create_connection(target)
        await connection.connect(min(timeout_s, self._limits.connect_timeout_s))
        return connection

    def _create_connection(self, target: TargetRecord) -> OutboundConnection:
        return OutboundConnection(target.host, target.port, self._echo_header, self._source_host)

    async def _release(self, target: TargetRecord, connection: OutboundConnection) -> None:
        idle = self._idle.setdefault(target.address, [])
        idle.append(connection)
        if len(idle) > self._limits.max_idle_per_target:
            await idle.pop(0).close()


class IdlePool(Protocol):
    """A pool that keeps idle connections for a while."""

    async def close_idle(self) -> None:
        """Close connections that have been idle for too long."""
        ...


async def close_idle_periodically(pool: IdlePool, interval_s: float = 1.0) -> None:
    """Call ``close_idle`` every ``interval_s`` until cancelled."""
    while True:
        await curio.sleep(interval_s)
        await pool.close_idle()
