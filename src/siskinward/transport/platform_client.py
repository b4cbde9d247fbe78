"""Client of the platform's table service, object store and VM list over HTTP with msgpack bodies.

Published interface: ``POST /table/read`` and ``POST /table/transact``, ``GET`` and ``PUT
/objects/<hash>``, ``GET /vms``.
"""

from __future__ import annotations

import logging
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
from siskinward.protocol.peer_fields import MALFORMED
from siskinward.protocol.peer_fields import decode_bytes
from siskinward.protocol.peer_fields import decode_integer
from siskinward.protocol.peer_fields import decode_port
from siskinward.protocol.peer_fields import decode_text
from siskinward.protocol.peer_fields import unpack
from siskinward.state.addresses import is_ip_address
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
MAX_LOGGED_ENTRIES = 100
_LOGGER = logging.getLogger(__name__)


class PlatformClient:
    """Implements the ports ``PlatformTable``, ``ObjectStore`` and ``VmList``."""

    def __init__(self, settings: PlatformSettings) -> None:
        self._settings = settings
        self._unreadable: set[str] = set()
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
        return await self._call("list VMs", "GET", "/vms", b"", self._decode_vms)

    def _decode_vms(self, body: bytes) -> tuple[ListedVm, ...]:
        """Decode the VM list; an entry that can't be read is left out, and logged once."""
        vms = []
        for fields in unpack(body):
            try:
                vms.append(_decode_vm(fields))
            except MALFORMED as error:
                self._log_unreadable(str(error))
        return tuple(vms)

    def _log_unreadable(self, text: str) -> None:
        if text not in self._unreadable and len(self._unreadable) < MAX_LOGGED_ENTRIES:
            self._unreadable.add(text)
            _LOGGER.warning("an entry of the VM list was left out: %s", text)

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
        except MALFORMED as error:
            return Error(StepError(step, peer, f"invalid response: {error}"))


def _verify_object(content: bytes, content_hash: str) -> bytes:
    if content_hash_of(content) != content_hash:
        raise ValueError("the content does not match its hash")
    return content


def _decode_rows(body: bytes) -> tuple[Row, ...]:
    return tuple(_decode_row(key, version, value) for key, version, value in unpack(body))


def _decode_transact(body: bytes) -> TransactResult:
    outcome, versions = unpack(body)
    rows = tuple(_decode_row(key, version, b"") for key, version in versions)
    return TransactResult(WriteOutcome(outcome), rows)


def _decode_row(key: Any, version: Any, value: Any) -> Row:
    return Row(decode_text(key), decode_integer(version), decode_bytes(value))


def _decode_vm(fields: Any) -> ListedVm:
    vm, domain, host, front_port, peer_port, leaving = fields
    if not is_ip_address(host):
        raise ValueError(f"expected the IP address of VM {vm!r}, found {host!r}")
    return ListedVm(
        VmName(decode_text(vm)),
        DomainName(decode_text(domain)),
        decode_text(host),
        decode_port(front_port),
        decode_port(peer_port),
        bool(leaving),
    )
