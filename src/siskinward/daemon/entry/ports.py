"""What the entry process needs of a platform; an adapter provides it."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Protocol

from attrs import frozen

from siskinward.state.identifiers import DomainName

if TYPE_CHECKING:
    from pathlib import Path

    from siskinward.coordination.steering.rows import Changes
    from siskinward.coordination.steering.rows import HistoryDropped
    from siskinward.coordination.steering.rows import Row
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
    """Whether the operator wants a failure domain's targets to get nothing."""

    failure_domain: DomainName
    is_requested: bool


@frozen
class LookupRequest:
    """A caller that asks which entry VMs to use."""

    host: str
    failure_domain: DomainName


class SettingsSource(Protocol):
    """Where the process has its settings from."""

    def read(self) -> EntrySettings:
        """Read the settings; raises ``SiskinwardError``."""
        ...

    def has_changed(self) -> bool:
        """Whether they differ from what was read last."""
        ...


class Store(Protocol):
    """The platform's store. Calls raise ``SiskinwardError``; a failed write may have happened.

    ``calls`` counts them by name and outcome.
    """

    calls: dict[tuple[str, str], int]

    async def read_table(self, table: StoreTable) -> Snapshot:
        """Read all rows of a table."""
        ...

    async def read_changes(
        self, table: StoreTable, after: int, wait_s: float
    ) -> Changes | HistoryDropped:
        """Read what changed after a position, waiting for the first change."""
        ...

    async def write_row(self, table: StoreTable, key: str, value: bytes) -> int:
        """Write one row; returns its version."""
        ...

    async def remove_row(self, table: StoreTable, key: str, version: int) -> None:
        """Remove one row if it still has ``version``."""
        ...


class Platform(Protocol):
    """Everything that depends on the platform's names."""

    headers: SteeringHeaders

    def open_settings(self, path: Path | None) -> SettingsSource:
        """The settings file of a VM; None for the one that the environment names."""
        ...

    def create_store(self, settings: EntrySettings) -> Store:
        """A client of the store."""
        ...

    def decode_operator_row(self, row: Row) -> ServingConfiguration | Evacuation | None:
        """Decode a row of the operator's table; raises ``SiskinwardError``."""
        ...

    def decode_target(self, row: Row) -> TargetRecord:
        """Decode what a target says of itself; raises ``SiskinwardError``."""
        ...

    def decode_lookup(self, request: HttpRequest) -> LookupRequest | None:
        """Decode a caller's look-up; None if the request is something else."""
        ...

    def encode_lookup_answer(self, addresses: list[str], lifetime_s: float) -> HttpResponse:
        """Encode the addresses that a caller may use."""
        ...

    def is_readiness_check(self, request: HttpRequest) -> bool:
        """Whether the platform asks if this VM takes requests."""
        ...
