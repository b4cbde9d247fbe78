"""Reads a deployment's state from the store, and the age of the VMs' copies from their metrics."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from attrs import field
from attrs import frozen

from siskinward.coordination.steering.fleet import EntryVm
from siskinward.coordination.steering.rows import StoreTable
from siskinward.coordination.steering.targets import LEAVING_STATE
from siskinward.daemon.entry.metrics_page import METRICS_PATH
from siskinward.daemon.entry.metrics_page import PREFIX
from siskinward.daemon.entry.ports import Evacuation
from siskinward.protocol.peer_fields import PeerMessageError
from siskinward.protocol.vm_identity import decode_vm
from siskinward.state.errors import SiskinwardError
from siskinward.state.errors import StepError
from siskinward.state.identifiers import DomainName
from siskinward.state.identifiers import ServiceName
from siskinward.state.serving import ServingConfiguration
from siskinward.transport.http_messages import HttpRequest
from siskinward.transport.outbound_connection import ExchangeFailedError
from siskinward.transport.outbound_connection import OutboundConnection

if TYPE_CHECKING:
    from siskinward.coordination.steering.row import Row
    from siskinward.daemon.entry.ports import Platform
    from siskinward.state.serving import EntrySettings

SCRAPE_TIMEOUT_S = 1.0


class MetricsError(SiskinwardError):
    """Raised for a page that is not the metrics of an entry VM."""


@frozen
class UnreadableRow:
    """A row of the store that could not be decoded."""

    table: StoreTable
    key: str
    error: str


@frozen
class TargetCount:
    """Number of targets of a service that report a state."""

    service: ServiceName
    state: str
    count: int


@frozen
class VmReport:
    """A VM that is registered in the store; its metrics are None if it gave none.

    The tasks that follow the ``unfollowed_tables`` have ended by an error and wait to be restarted.
    ``leaving_targets`` counts the targets that said that they leave, as far as the VM knows.
    """

    vm: EntryVm
    configuration_version: int | None = None
    live_vms: int | None = None
    table_ages_s: dict[str, float] = field(factory=dict)
    unfollowed_tables: tuple[str, ...] = ()
    leaving_targets: int = 0

    @property
    def has_answered(self) -> bool:
        """Whether the VM's process returned its metrics."""
        return self.configuration_version is not None


@frozen
class DeploymentReport:
    """The state that the store holds, and the state that each VM reports."""

    configuration: ServingConfiguration | None
    evacuated: frozenset[DomainName]
    targets: tuple[TargetCount, ...]
    vms: tuple[VmReport, ...]
    unreadable: tuple[UnreadableRow, ...]


class DeploymentReader:
    """Reads the report of one deployment."""

    def __init__(self, platform: Platform, settings: EntrySettings) -> None:
        self._platform = platform
        self._settings = settings
        self._store = platform.create_store(settings)
        self._unreadable: list[UnreadableRow] = []

    async def read(self) -> DeploymentReport:
        """Read the store and scrape the VMs; raise ``SiskinwardError`` if the store fails."""
        operator = (await self._store.read_table(StoreTable.OPERATOR)).rows
        targets = (await self._store.read_table(StoreTable.TARGETS)).rows
        vms = (await self._store.read_table(StoreTable.VMS)).rows
        configuration, evacuated = self._read_operator(operator)
        return DeploymentReport(
            configuration,
            evacuated,
            self._count_targets(targets),
            tuple([await self._scrape(vm) for vm in self._read_vms(vms)]),
            tuple(self._unreadable),
        )

    def _read_operator(
        self, rows: tuple[Row, ...]
    ) -> tuple[ServingConfiguration | None, frozenset[DomainName]]:
        configuration = None
        evacuated = set()
        for row in rows:
            try:
                item = self._platform.decode_operator_row(row)
            except SiskinwardError as error:
                self._record_unreadable(StoreTable.OPERATOR, row, error)
                continue
            match item:
                case ServingConfiguration():
                    configuration = item
                case Evacuation(failure_domain=domain, is_requested=True):
                    evacuated.add(domain)
        return configuration, frozenset(evacuated)

    def _count_targets(self, rows: tuple[Row, ...]) -> tuple[TargetCount, ...]:
        counts: Counter[tuple[ServiceName, str]] = Counter()
        for row in rows:
            try:
                record = self._platform.decode_target(row)
            except SiskinwardError as error:
                self._record_unreadable(StoreTable.TARGETS, row, error)
                continue
            counts[record.service, "ready" if record.is_ready else "draining"] += 1
        return tuple(
            TargetCount(service, state, count) for (service, state), count in sorted(counts.items())
        )

    def _read_vms(self, rows: tuple[Row, ...]) -> list[EntryVm]:
        vms = []
        for row in rows:
            try:
                vms.append(decode_vm(row.value or b""))
            except PeerMessageError as error:
                self._record_unreadable(StoreTable.VMS, row, error)
        return vms

    def _record_unreadable(self, table: StoreTable, row: Row, error: Exception) -> None:
        self._unreadable.append(UnreadableRow(table, row.key, str(error)))

    async def _scrape(self, vm: EntryVm) -> VmReport:
        port = self._settings.metrics.port
        connection = OutboundConnection(vm.host, port)
        request = HttpRequest("GET", METRICS_PATH, ((b"host", f"{vm.host}:{port}".encode()),))
        try:
            await connection.connect(SCRAPE_TIMEOUT_S)
            response = await connection.exchange(request, SCRAPE_TIMEOUT_S)
        except ExchangeFailedError:
            return VmReport(vm)
        finally:
            await connection.close()
        try:
            return decode_metrics(vm, response.body)
        except MetricsError:
            return VmReport(vm)


def decode_metrics(vm: EntryVm, page: bytes) -> VmReport:
    """Decode a VM's page of metrics; raises ``MetricsError``."""
    from prometheus_client.parser import text_string_to_metric_families

    try:
        text = page.decode()
        families = {item.name: item.samples for item in text_string_to_metric_families(text)}
        ages = families.get(PREFIX + "table_age_seconds", [])
        followed = families.get(PREFIX + "table_followed", [])
        targets = families.get(PREFIX + "targets", [])
        return VmReport(
            vm,
            configuration_version=int(families[PREFIX + "configuration_version"][0].value),
            live_vms=int(families[PREFIX + "vms_live"][0].value),
            table_ages_s={sample.labels["table"]: sample.value for sample in ages},
            unfollowed_tables=tuple(
                sample.labels["table"] for sample in followed if not sample.value
            ),
            leaving_targets=sum(
                int(sample.value) for sample in targets if sample.labels["state"] == LEAVING_STATE
            ),
        )
    except (ArithmeticError, LookupError, ValueError) as error:
        raise MetricsError(StepError("read metrics", vm.host, str(error))) from error
