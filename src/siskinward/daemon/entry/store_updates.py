"""Applies changed rows of the store to the state that the VM serves requests by."""

from __future__ import annotations

from typing import TYPE_CHECKING

from siskinward.coordination.steering.rows import StoreTable
from siskinward.daemon.entry.ports import Evacuation
from siskinward.protocol.vm_identity import decode_vm
from siskinward.state.serving import ServingConfiguration
from siskinward.state.serving import ServingIndex

if TYPE_CHECKING:
    from collections.abc import Callable

    from siskinward.coordination.steering.row import Row
    from siskinward.coordination.steering.rows import Changes
    from siskinward.coordination.steering.rows import Snapshot
    from siskinward.coordination.steering.rows import TableCopy
    from siskinward.daemon.entry.ports import Platform
    from siskinward.daemon.entry.steering import Steering
    from siskinward.state.identifiers import DomainName
    from siskinward.state.serving import CallerLimits
    from siskinward.transport.decision_log import DecisionLog

# A copy that is unconfirmed for longer may mean a store outage. For as long after an outage,
# removed targets expire after a delay, because their expired rows may be written again.
STORE_OUTAGE_S = 2.0
# Source in logs of rows that take effect because another row is no longer held against them.
HOLD_SOURCE = "hold-ended"


class StoreUpdates:
    """Applies updates to the table copies, and their rows to configuration, targets and fleet."""

    def __init__(
        self,
        steering: Steering,
        platform: Platform,
        log: DecisionLog,
        on_limits: Callable[[CallerLimits], None],
    ) -> None:
        self._steering = steering
        self._platform = platform
        self._log = log
        self._on_limits = on_limits
        self._evacuated: set[DomainName] = set()
        self._store_recovered_s = float("-inf")
        self._read_failed_s = float("-inf")

    def record_read_failure(self, now_s: float) -> None:
        """Record that this VM could not read the store."""
        self._read_failed_s = now_s

    def apply(
        self, table: StoreTable, update: Snapshot | Changes, *, source: str, now_s: float
    ) -> bool:
        """Apply an update of a table; return whether any row changed."""
        copy = self._steering.tables[table]
        if copy.is_loaded and self._was_store_unreachable(copy, now_s):
            self._store_recovered_s = now_s
        era = copy.position.era
        rows = copy.apply(update, now_s)
        if copy.position.era > era:
            self._record_era(table, copy, source)
        if table is StoreTable.VMS:
            self._steering.fleet.on_membership_loaded()
        return self._apply_rows(table, rows, source, now_s)

    def adopt_held(
        self, table: StoreTable, snapshot: Snapshot, *, source: str, now_s: float
    ) -> bool:
        """Take over the rows that another VM holds; return whether any row changed."""
        rows = self._steering.tables[table].adopt_held(snapshot, now_s)
        return self._apply_rows(table, rows, source, now_s)

    def release_held(self, now_s: float) -> None:
        """Use the store's rows again where the time of a held row is over."""
        for table, copy in self._steering.tables.items():
            if copy.held_count:
                self._apply_rows(table, copy.release_held(now_s), HOLD_SOURCE, now_s)

    def _record_era(self, table: StoreTable, copy: TableCopy, source: str) -> None:
        self._log.write(
            "store-era",
            {
                "table": table.value,
                "era": copy.position.era,
                "position": copy.position.version,
                "held_rows": copy.held_count,
                "source": source,
            },
        )

    def _apply_rows(
        self, table: StoreTable, rows: tuple[Row, ...], source: str, now_s: float
    ) -> bool:
        for row in rows:
            self._apply_row(table, row, source, now_s)
        if table is StoreTable.OPERATOR and rows:
            self._steering.targets.set_evacuated(self._evacuated, now_s)
        return bool(rows)

    def _was_store_unreachable(self, copy: TableCopy, now_s: float) -> bool:
        # A copy also ages while this VM is cut off from the VMs that read the store. Rows that went
        # missing meanwhile were really removed, so only a failed read counts as an outage.
        has_failed = self._read_failed_s > copy.confirmed_s
        return has_failed and now_s - copy.confirmed_s > STORE_OUTAGE_S

    def _apply_row(self, table: StoreTable, row: Row, source: str, now_s: float) -> None:
        try:
            match table:
                case StoreTable.OPERATOR:
                    self._apply_operator_row(row, source)
                case StoreTable.TARGETS:
                    self._apply_target_row(row, source, now_s)
                case StoreTable.VMS:
                    if row.value is not None:
                        self._steering.fleet.add_peers([decode_vm(row.value)], now_s)
        except Exception as error:
            # Whatever is wrong with one row, the others have to be followed.
            self._record_unreadable(table, row, error)
        else:
            if self._steering.unreadable_rows.discard(table, row.key):
                self._log.write("row-readable", {"table": table.value, "key": row.key})

    def _record_unreadable(self, table: StoreTable, row: Row, error: Exception) -> None:
        """Take the row as none; its writer may write it again and again, so it is logged once."""
        if table is StoreTable.TARGETS:
            self._steering.targets.remove_by_key(row.key)
        if self._steering.unreadable_rows.add(table, row.key):
            self._log.write(
                "row-unreadable", {"table": table.value, "key": row.key, "error": str(error)}
            )

    def _apply_operator_row(self, row: Row, source: str) -> None:
        match self._platform.decode_operator_row(row):
            case ServingConfiguration() as configuration:
                self._activate(configuration, source)
            case Evacuation(failure_domain=domain, is_requested=is_requested):
                if is_requested:
                    self._evacuated.add(domain)
                else:
                    self._evacuated.discard(domain)
                self._log.write(
                    "evacuation",
                    {"failure_domain": domain, "requested": is_requested, "source": source},
                )
            case None:
                return

    def _activate(self, configuration: ServingConfiguration, source: str) -> None:
        current = self._steering.index
        if current is not None and configuration.version <= current.configuration.version:
            return
        self._steering.index = ServingIndex(configuration)
        services = configuration.services.values()
        self._steering.targets.set_warmups({item.name: item.warmup_s for item in services})
        self._steering.placement.warmup_rates_per_s = {
            item.name: item.warmup_rate_per_s for item in services
        }
        self._on_limits(configuration.limits)
        self._log.write("configuration", {"version": configuration.version, "source": source})

    def _apply_target_row(self, row: Row, source: str, now_s: float) -> None:
        targets = self._steering.targets
        if row.value is None:
            is_after_outage = now_s - self._store_recovered_s < STORE_OUTAGE_S
            if is_after_outage:
                targets.schedule_expiry(row.key, self._store_recovered_s)
            else:
                targets.remove_by_key(row.key)
            self._log.write(
                "target-gone", {"target": row.key, "source": source, "lapsed": is_after_outage}
            )
            return
        record = self._platform.decode_target(row)
        targets.put(record, now_s)
        self._log.write(
            "target",
            {
                "target": record.name,
                "service": record.service,
                "failure_domain": record.failure_domain,
                "slots": record.slots,
                "ready": record.is_ready,
                "warmup_left_s": record.warmup_left_s,
                "version": row.version,
                "source": source,
            },
        )
