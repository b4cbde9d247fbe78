"""Bounded pool of connections to one server, which closes connections that went silent."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING

from attrs import frozen
from expression import Error
from expression import Ok

from siskinward.coordination.connections import ConnectionSettings
from siskinward.coordination.connections import ExchangeTable
from siskinward.coordination.connections import Reuse
from siskinward.coordination.connections import TargetConnections
from siskinward.protocol.not_run import NOT_RUN_STATUSES
from siskinward.state.identifiers import IncarnationId
from siskinward.transport.clock import read_clock_s
from siskinward.transport.http_client import ExchangeError
from siskinward.transport.http_client import ExchangePhase
from siskinward.transport.http_client import HttpClientConnection
from siskinward.transport.http_messages import HttpRequest

if TYPE_CHECKING:
    from expression import Result

    from siskinward.transport.http_messages import HttpResponse

PROBE_TIMEOUT_S = 1.0


@frozen
class PoolSettings:
    """Address and size of a pool.

    ``probe_path`` is requested on a new connection, to tell a dead connection from a busy server.
    """

    host: str
    port: int
    connection_limit: int
    probe_path: str | None = None


class ConnectionPool:
    """Reuses the idle connection last confirmed alive, and opens new ones up to the limit."""

    def __init__(self, settings: PoolSettings) -> None:
        self.settings = settings
        self._connections = TargetConnections(
            ConnectionSettings(), ExchangeTable(IncarnationId(""))
        )
        self._open: dict[int, HttpClientConnection] = {}
        self._ids = itertools.count(1)
        self.silent_count = 0

    @property
    def open_count(self) -> int:
        """Number of open connections."""
        return len(self._open)

    async def exchange(
        self, request: HttpRequest, timeout_s: float, *, only_recently_used: bool
    ) -> Result[HttpResponse, ExchangeError]:
        """Run one exchange. ``only_recently_used`` skips connections that were idle for long."""
        acquired = await self._acquire(timeout_s, only_recently_used=only_recently_used)
        if acquired.is_error():
            return Error(acquired.error)
        return await self._exchange(acquired.ok, request, timeout_s)

    async def close(self) -> None:
        """Close all connections."""
        for connection_id in list(self._open):
            await self._discard(connection_id)

    async def probe(self) -> None:
        """Request ``probe_path`` on a new connection, to see whether the server responds."""
        path = self.settings.probe_path
        if path is None:
            return
        opened = await self._open_new(PROBE_TIMEOUT_S)
        if opened.is_ok():
            await self._exchange(opened.ok, HttpRequest("GET", path), PROBE_TIMEOUT_S)

    async def _exchange(
        self, connection_id: int, request: HttpRequest, timeout_s: float
    ) -> Result[HttpResponse, ExchangeError]:
        connection = self._open[connection_id]
        exchange_id = self._connections.on_sent(connection_id, read_clock_s())
        detector = _PoolSilenceDetector(self, self._connections, connection_id)
        is_kept = False
        try:
            result = await connection.exchange(request, timeout_s, detector)
            # A refusal might be written once more, and be taken for the next response.
            is_refused = result.is_ok() and result.ok.status in NOT_RUN_STATUSES
            is_kept = result.is_ok() and not is_refused and connection.is_reusable()
        finally:
            if is_kept:
                now_s = read_clock_s()
                self._connections.on_answered(connection_id, exchange_id, now_s)
            else:
                await self._discard(connection_id)
        return result

    async def _acquire(
        self, timeout_s: float, *, only_recently_used: bool
    ) -> Result[int, ExchangeError]:
        now_s = read_clock_s()
        for connection_id in self._connections.expired_connections(now_s):
            await self._discard(connection_id)
        while True:
            choice = self._connections.choose(idempotent=not only_recently_used, now_s=now_s)
            if not isinstance(choice, Reuse):
                return await self._open_new(timeout_s)
            if self._open[choice.connection_id].is_reusable():
                return Ok(choice.connection_id)
            await self._discard(choice.connection_id)

    async def _open_new(self, timeout_s: float) -> Result[int, ExchangeError]:
        settings = self.settings
        oldest_id = self._connections.oldest_idle()
        if self.open_count >= settings.connection_limit and oldest_id is not None:
            await self._discard(oldest_id)
        if self.open_count >= settings.connection_limit:
            detail = f"all {settings.connection_limit} connections are in use"
            peer = f"{settings.host}:{settings.port}"
            return Error(ExchangeError("take connection", peer, detail, ExchangePhase.CONNECT))
        connection_id = next(self._ids)
        connection = HttpClientConnection(settings.host, settings.port)
        self._open[connection_id] = connection
        connected = await connection.connect(timeout_s)
        if connected.is_error():
            await self._discard(connection_id)
            return Error(connected.error)
        self._connections.on_opened(connection_id, read_clock_s())
        return Ok(connection_id)

    async def _discard(self, connection_id: int) -> None:
        self._connections.on_closed(connection_id)
        connection = self._open.pop(connection_id, None)
        if connection is not None:
            await connection.close()


class _PoolSilenceDetector:
    """Detects that the connection of one exchange went silent."""

    def __init__(
        self, pool: ConnectionPool, connections: TargetConnections, connection_id: int
    ) -> None:
        self._pool = pool
        self._connections = connections
        self._connection_id = connection_id

    def check_interval_s(self) -> float:
        return self._connections.timeout_s

    async def check_silence(self) -> bool:
        if self._connections.needs_probe(read_clock_s()):
            await self._pool.probe()
        is_suspect = self._connection_id in self._connections.suspected_connections(read_clock_s())
        self._pool.silent_count += int(is_suspect)
        return is_suspect

    async def on_first_byte(self) -> None:
        self._connections.on_answer_begun(self._connection_id, read_clock_s())
