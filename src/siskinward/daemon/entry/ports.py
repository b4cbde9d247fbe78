"""Interfaces that a platform adapter implements for the entry process."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Protocol

from attrs import frozen

from siskinward.state.identifiers import DomainName

if TYPE_CHECKING:
    from pathlib import Path

    from siskinward.coordination.steering.row import Row
    from siskinward.coordination.steering.row import RowRevision
    from siskinward.coordination.steering.row import Unreadable
    from siskinward.coordination.steering.rows import Changes
    from siskinward.coordination.steering.rows import HistoryDropped
    from siskinward.coordination.steering.rows import Position
    from siskinward.coordination.steering.rows import Snapshot
    from siskinward.coordination.steering.rows import StoreTable
    from siskinward.protocol.steering_headers import SteeringHeaders
    from siskinward.state.serving import EntrySettings
    from siskinward.state.serving import ServingConfiguration
    from siskinward.state.serving import TargetRecord
    from siskinward.transport.http_messages import HttpRequest
    from siskinward.transport.http_messages import HttpResponse


@frozen
class Evacuation:
    """Whether the operator wants a failure domain's targets to get no requests."""

    failure_domain: DomainName
    is_requested: bool


@frozen
class LookupRequest:
    """A caller's request for the addresses of entry VMs."""

    host: str
    failure_domain: DomainName


class SettingsSource(Protocol):
    """The source of the process's settings."""

    def read(self) -> EntrySettings:
        """Read the settings; raise ``SiskinwardError`` if that fails."""
        ...

    def has_changed(self) -> bool:
        """Return whether the settings differ from those read last."""
        ...


class Store(Protocol):
    """The platform's store. Calls raise ``SiskinwardError``; a failed write may have been applied.

    ``calls`` counts the calls by name and outcome.
    """

    calls: dict[tuple[str, str], int]

    async def read_table(self, table: StoreTable) -> Snapshot:
        """Read all rows of a table."""
        ...

    async def read_changes(
        self, table: StoreTable, after: Position, wait_s: float
    ) -> Changes | HistoryDropped:
        """Read what changed after a position, waiting for the first change."""
        ...

    async def write_row(self, table: StoreTable, key: str, value: bytes) -> Position:
        """Write one row; returns the position of the write."""
        ...

    async def remove_row(self, table: StoreTable, key: str, version: int) -> None:
        """Remove one row if it still has ``version``."""
        ...


class Platform(Protocol):
    """The formats, names and clients that differ between platforms."""

    headers: SteeringHeaders

    def open_settings(self, path: Path | None) -> SettingsSource:
        """Open a VM's settings file; by default the one that the environment names."""
        ...

    def create_store(self, settings: EntrySettings) -> Store:
        """Create a client of the store."""
        ...

    def decode_operator_row(self, row: Row) -> ServingConfiguration | Evacuation | None:
        """Decode a row of the operator's table; raise ``SiskinwardError`` if it is invalid."""
        ...

    def decode_target(self, row: Row) -> TargetRecord:
        """Decode the row that describes a target; raise ``SiskinwardError`` if it is invalid."""
        ...

    def revision_of(self, row: Row) -> RowRevision | Unreadable | None:
        """Return the writer's own numbering of a row; None if it has none."""
        ...

    def decode_lookup(self, request: HttpRequest) -> LookupRequest | None:
        """Decode a caller's look-up; None if the request is something else."""
        ...

    def encode_lookup_answer(self, addresses: list[str], lifetime_s: float) -> HttpResponse:
        """Encode the answer to a look-up."""
        ...

    def is_readiness_probe(self, request: HttpRequest) -> bool:
        """Return whether a request is the platform's readiness check."""
        ...
