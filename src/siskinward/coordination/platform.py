"""Ports to the platform: table service, object store and VM list.

Each has one implementation in ``transport`` and a stand-in in ``standins``.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Protocol

from attrs import frozen

from siskinward.coordination.events import WriteOutcome
from siskinward.state.identifiers import DomainName
from siskinward.state.identifiers import VmName

if TYPE_CHECKING:
    from expression import Result

    from siskinward.state.errors import StepError


@frozen
class Row:
    """A row of the table. Version 0 with an empty value means that the row is absent."""

    key: str
    version: int
    value: bytes


@frozen
class RowWrite:
    """One conditional write: applied only if the row's version equals ``expected_version``."""

    key: str
    expected_version: int
    value: bytes


@frozen
class TransactResult:
    """``APPLIED`` or ``CONFLICT``; ``rows`` has the rows' current versions, with empty values."""

    outcome: WriteOutcome
    rows: tuple[Row, ...]


@frozen
class ListedVm:
    """An entry of the platform's lagging VM list."""

    vm: VmName
    failure_domain: DomainName
    host: str
    front_port: int
    peer_port: int
    leaving: bool


class PlatformTable(Protocol):
    """Transactional table service.

    An error may mean a lost answer: the write may have been applied.
    """

    async def read(self, keys: tuple[str, ...]) -> Result[tuple[Row, ...], StepError]:
        """Read several rows at one point in time."""
        ...

    async def transact(self, writes: tuple[RowWrite, ...]) -> Result[TransactResult, StepError]:
        """Apply all writes or none."""
        ...


class ObjectStore(Protocol):
    """Store of immutable objects named by the hexadecimal BLAKE2b-256 hash of their content."""

    async def get(self, content_hash: str) -> Result[bytes, StepError]:
        """Fetch an object; the caller must verify the hash."""
        ...

    async def put(self, content: bytes) -> Result[str, StepError]:
        """Store an object and return its hash."""
        ...


class VmList(Protocol):
    """The platform's lagging list of live and leaving VMs."""

    async def list_vms(self) -> Result[tuple[ListedVm, ...], StepError]:
        """Fetch the list."""
        ...
