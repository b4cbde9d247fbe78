"""Bounded pool of connections to one target."""

from __future__ import annotations

from typing import TYPE_CHECKING

import curio
from expression import Error

from siskinward.transport.http_client import ExchangeError
from siskinward.transport.http_client import ExchangePhase
from siskinward.transport.http_client import HttpClientConnection

if TYPE_CHECKING:
    from expression import Result

    from siskinward.transport.http_messages import HttpRequest
    from siskinward.transport.http_messages import HttpResponse

PROOF_OF_LIFE_AGE_S = 5.0
IDLE_LIMIT_S = 60.0


class ConnectionPool:
    """Lends idle connections, newest first, and opens new ones up to ``connection_limit``."""

    def __init__(self, host: str, port: int, connection_limit: int) -> None:
        self._host = host
        self._port = port
        self._connection_limit = connection_limit
        self._idle: list[HttpClientConnection] = []
        self.open_count = 0

    def serves(self, host: str, port: int) -> bool:
        """Tell whether the pool leads to this address."""
        return (self._host, self._port) == (host, port)

    async def exchange(
        self, request: HttpRequest, timeout_s: float, *, needs_recent_proof: bool
    ) -> Result[HttpResponse, ExchangeError]:
        """Run one exchange. ``needs_recent_proof`` avoids connections that were idle for long."""
        connection = await self._take(needs_recent_proof=needs_recent_proof)
        if connection is None:
            detail = f"all {self._connection_limit} connections are in use"
            peer = f"{self._host}:{self._port}"
            return Error(ExchangeError("take connection", peer, detail, ExchangePhase.CONNECT))
        try:
            result = await connection.exchange(request, timeout_s)
        finally:
            await self._give_back(connection)
        return result

    async def close(self) -> None:
        """Close the idle connections."""
        while self._idle:
            await self._discard(self._idle.pop())

    async def _take(self, *, needs_recent_proof: bool) -> HttpClientConnection | None:
        now_s = await curio.clock()
        age_limit_s = PROOF_OF_LIFE_AGE_S if needs_recent_proof else IDLE_LIMIT_S
        while self._idle:
            connection = self._idle.pop()
            is_recent = now_s - connection.last_answer_at_s <= age_limit_s
            if is_recent and connection.is_reusable():
                return connection
            await self._discard(connection)
        if self.open_count >= self._connection_limit:
            return None
        self.open_count += 1
        return HttpClientConnection(self._host, self._port)

    async def _give_back(self, connection: HttpClientConnection) -> None:
        if connection.is_reusable():
            self._idle.append(connection)
            return
        await self._discard(connection)

    async def _discard(self, connection: HttpClientConnection) -> None:
        self.open_count -= 1
        await connection.close()
