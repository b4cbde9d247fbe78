"""Client of the platform's table service, object store and VM list over HTTP with msgpack bodies.

Published interface: ``POST /table/read`` and ``POST /table/transact``, ``GET`` and ``PUT
/objects/<hash>``, ``GET /vms``.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

import msgpack
from expression import Error
from expression import Ok

from siskinward.coordination.events import WriteOutcome
from siskinward.coordination.platform import ListedVm
from siskinward.coordination.platform import Row
from siskinward.coordination.platform import RowWrite
from siskinward.coordination.platform import TransactResult
from siskinward.state.errors import StepError
from siskinward.state.identifiers import DomainName
from siskinward.state.identifiers import VmName
from siskinward.state.versions import content_hash_of
from siskinward.transport.connection_pool import ConnectionPool
from siskinward.transport.connection_pool import PoolSettings
from siskinward.transport.http_messages import HttpRequest

if TYPE_CHECKING:
    from collections.abc import Callable

    from expression import Result

    from siskinward.state.settings import PlatformSettings

CONNECTION_LIMIT = 8


class PlatformClient:
    """Implements the ports ``PlatformTable``, ``ObjectStore`` and ``VmList``."""

    def __init__(self, settings: PlatformSettings) -> None:
        self._settings = settings
        self.pool = ConnectionPool(PoolSettings(settings.host, settings.port, CONNECTION_LIMIT))

    async def read(self, keys: tuple[str, ...]) -> Result[tuple[Row, ...], StepError]:
        """Read several rows at one point in time."""
        body = msgpack.packb(list(keys))
        return await self._call("read rows", "POST", "/table/read", body, _decode_rows)

    async def transact(self, writes: tuple[RowWrite, ...]) -> Result[TransactResult, StepError]:
        """Apply all writes or none."""
        body = msgpack.packb([[w.key, w.expected_version, w.value] for w in writes])
        return await self._call("write rows", "POST", "/table/transact", body, _decode_transact)

    async def get(self, content_hash: str) -> Result[bytes, StepError]:
        """Fetch an object and check its hash."""
        return await self._call(
            "get object",
            "GET",
            f"/objects/{content_hash}",
            b"",
            lambda content: _verify_object(content, content_hash),
        )

    async def put(self, content: bytes) -> Result[str, StepError]:
        """Store an object and return its hash."""
        content_hash = content_hash_of(content)
        path = f"/objects/{content_hash}"
        return await self._call("put object", "PUT", path, content, lambda _: content_hash)

    async def list_vms(self) -> Result[tuple[ListedVm, ...], StepError]:
        """Fetch the VM list."""
        return await self._call("list VMs", "GET", "/vms", b"", _decode_vms)

    async def _call(
        self, step: str, method: str, path: str, body: bytes, decode: Callable[[bytes], Any]
    ) -> Result[Any, StepError]:
        peer = f"platform {self._settings.host}:{self._settings.port}"
        request = HttpRequest(method, path, (), body)
        result = await self.pool.exchange(
            request, self._settings.timeout_s, only_recently_used=method != "GET"
        )
        if result.is_error():
            return Error(StepError(step, peer, result.error.detail))
        if result.ok.status != 200:
            return Error(StepError(step, peer, f"HTTP status {result.ok.status}"))
        try:
            return Ok(decode(result.ok.body))
        except (ValueError, TypeError, KeyError) as error:
            return Error(StepError(step, peer, f"invalid response: {error}"))


def _verify_object(content: bytes, content_hash: str) -> bytes:
    if content_hash_of(content) != content_hash:
        raise ValueError("the content does not match its hash")
    return content


def _decode_rows(body: bytes) -> tuple[Row, ...]:
    return tuple(Row(key, version, value) for key, version, value in msgpack.unpackb(body))


def _decode_transact(body: bytes) -> TransactResult:
    outcome, versions = msgpack.unpackb(body)
    rows = tuple(Row(key, version, b"") for key, version in versions)
    return TransactResult(WriteOutcome(outcome), rows)


def _decode_vms(body: bytes) -> tuple[ListedVm, ...]:
    return tuple(
        ListedVm(VmName(vm), DomainName(domain), host, front_port, peer_port, leaving)
        for vm, domain, host, front_port, peer_port, leaving in msgpack.unpackb(body)
    )
