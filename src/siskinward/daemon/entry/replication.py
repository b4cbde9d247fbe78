"""Keeps the table copies current: a few VMs read the store, the others fetch from them."""

from __future__ import annotations

from math import inf
from random import Random
from typing import TYPE_CHECKING

import curio
from attrs import frozen

from siskinward.coordination.steering.rows import FOLLOWED_TABLES
from siskinward.coordination.steering.rows import UNREAD
from siskinward.coordination.steering.rows import HistoryDropped
from siskinward.coordination.steering.rows import Snapshot
from siskinward.coordination.steering.rows import StoreTable
from siskinward.protocol.peer_fields import PeerMessageError
from siskinward.protocol.row_messages import Referral
from siskinward.protocol.row_messages import RowsRequest
from siskinward.state.errors import SiskinwardError
from siskinward.transport.clock import read_clock_s
from siskinward.transport.peer_rows import fetch_rows

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable
    from typing import Any

    from siskinward.coordination.steering.fleet import Heartbeat
    from siskinward.coordination.steering.rows import Changes
    from siskinward.daemon.entry.ports import Store
    from siskinward.daemon.entry.steering import Steering
    from siskinward.daemon.entry.store_updates import StoreUpdates
    from siskinward.state.identifiers import IncarnationId
    from siskinward.transport.decision_log import DecisionLog

    _Pull = Callable[[StoreTable, Heartbeat], Awaitable[Any]]

STORE_SOURCE = "store"


@frozen
class ReplicationSettings:
    """When a VM reads the store, and how it fetches rows from other VMs.

    The first ``readers`` live VMs that reach the store, by rank, read it continuously and wait for
    changes up to ``wait_s``. Any other VM reads it once its copy has been unconfirmed for
    ``stale_s``, plus ``rank_step_s`` for each VM ranked between the readers and itself, at most
    ``max_rank_steps`` times. A VM that gets a referral asks one of the named hosts after about
    ``pull_retry_s``.
    """

    readers: int = 2
    wait_s: float = 1.0
    min_gap_s: float = 0.2
    stale_s: float = 1.6
    rank_step_s: float = 0.15
    max_rank_steps: int = 8
    check_interval_s: float = 0.1
    retry_s: float = 0.5
    pull_attempts: int = 20
    pull_retry_s: float = 0.06


class Replication:
    """Reads tables from the store and from other VMs."""

    def __init__(
        self,
        settings: ReplicationSettings,
        steering: Steering,
        store: Store,
        updates: StoreUpdates,
        log: DecisionLog,
        on_change: Callable[[bool], Awaitable[None]],
    ) -> None:
        self._settings = settings
        self._steering = steering
        self._store = store
        self._updates = updates
        self._log = log
        self._on_change = on_change
        self._pulling: set[StoreTable] = set()
        self._held_rows_asked: dict[tuple[StoreTable, IncarnationId], int] = {}
        self._is_store_lost = False
        self._random = Random(steering.fleet.own.vm)

    async def follow(self, table: StoreTable) -> None:
        """Read a table from the store whenever this VM is due to, until cancelled."""
        settings = self._settings
        while True:
            if not self._is_read_due(table):
                self._steering.store_reads.end(table)
                await curio.sleep(settings.check_interval_s)
                continue
            started_s = read_clock_s()
            is_read = await self._read_tracked(table, self._wait_s(table, started_s))
            spent_s = read_clock_s() - started_s
            gap_s = settings.min_gap_s if is_read else settings.retry_s
            if spent_s < gap_s:
                await curio.sleep(gap_s - spent_s)

    async def _read_tracked(self, table: StoreTable, wait_s: float) -> bool:
        """Read a table, and let the other VMs know whether that fails."""
        reads = self._steering.store_reads
        reads.begin(table, read_clock_s() + wait_s)
        is_read = await self.read_once(table, wait_s)
        if is_read:
            reads.end(table)
        else:
            reads.fail(table)
        return is_read

    def _wait_s(self, table: StoreTable, now_s: float) -> float:
        """Return how long to wait for a change; a copy that is out of date is confirmed first."""
        age_s = now_s - self._steering.tables[table].confirmed_s
        return self._settings.wait_s if age_s <= self._settings.wait_s else 0.0

    async def read_once(self, table: StoreTable, wait_s: float) -> bool:
        """Read a table's changes, or all of it, from the store; False if that failed."""
        try:
            update = await self._read(table, wait_s)
        except SiskinwardError as error:
            self._record_store_state(str(error))
            self._updates.record_read_failure(read_clock_s())
            return False
        self._record_store_state(None)
        await self._apply(table, update, STORE_SOURCE, read_clock_s())
        return True

    def find_missing_rows(self, request: RowsRequest) -> Snapshot | Changes | None:
        """Return the rows that another VM's copy lacks; None if the table is not loaded here."""
        copy = self._steering.tables[request.table]
        return copy.changes_after(request.position) if copy.is_loaded else None

    async def on_heartbeat(self, heartbeat: Heartbeat, now_s: float) -> None:
        """Compare another VM's table versions with the copies here; fetch newer rows."""
        for table in FOLLOWED_TABLES:
            position = heartbeat.positions.get(table.value)
            if position is None:
                continue
            copy = self._steering.tables[table]
            # A copy is complete up to its position, so only one beyond it has rows to fetch.
            if position > copy.position or not copy.is_loaded:
                await self._start_pull(table, self._pull_from, heartbeat)
                continue
            if position.era == copy.position.era:
                age_s = heartbeat.ages_s.get(table.value, inf)
                copy.confirmed_s = max(copy.confirmed_s, now_s - age_s)
            if self._lacks_held_rows(table, heartbeat):
                await self._start_pull(table, self._pull_held_rows, heartbeat)

    def _is_read_due(self, table: StoreTable) -> bool:
        now_s = read_clock_s()
        rank = self._steering.fleet.rank(now_s)
        settings = self._settings
        if rank < settings.readers:
            return True
        steps = min(rank - settings.readers, settings.max_rank_steps)
        age_s = now_s - self._steering.tables[table].confirmed_s
        return age_s > settings.stale_s + steps * settings.rank_step_s

    async def _read(self, table: StoreTable, wait_s: float) -> Snapshot | Changes:
        copy = self._steering.tables[table]
        if copy.is_loaded:
            update = await self._store.read_changes(table, copy.position, wait_s)
            if not isinstance(update, HistoryDropped):
                return update
        return await self._store.read_table(table)

    def _lacks_held_rows(self, table: StoreTable, heartbeat: Heartbeat) -> bool:
        """Whether a VM holds more rows against the store than this one, and was not asked yet."""
        copy = self._steering.tables[table]
        if heartbeat.held.get(table.value, 0) <= copy.held_count:
            return False
        asked_era = self._held_rows_asked.get((table, heartbeat.sender.incarnation), -1)
        return heartbeat.positions[table.value].era == copy.position.era > asked_era

    async def _start_pull(self, table: StoreTable, pull: _Pull, heartbeat: Heartbeat) -> None:
        if table not in self._pulling:
            self._pulling.add(table)
            await curio.spawn(self._pull, table, pull, heartbeat, daemon=True)

    async def _pull(self, table: StoreTable, pull: _Pull, heartbeat: Heartbeat) -> None:
        """Fetch the rows that a heartbeat announces, from its sender or a host it refers to."""
        try:
            await pull(table, heartbeat)
        except (OSError, PeerMessageError) as error:
            self._log.write("rows-not-fetched", {"peer": heartbeat.sender.vm, "error": str(error)})
        finally:
            self._pulling.discard(table)

    async def _pull_held_rows(self, table: StoreTable, heartbeat: Heartbeat) -> None:
        host = heartbeat.sender.host
        request = RowsRequest(table, UNREAD, self._steering.fleet.own.host)
        reply = await fetch_rows(host, self._steering.entry.peer_port, request)
        if not isinstance(reply, Snapshot):
            return
        era = reply.position.era
        self._held_rows_asked = {
            key: asked_era for key, asked_era in self._held_rows_asked.items() if asked_era >= era
        }
        self._held_rows_asked[(table, heartbeat.sender.incarnation)] = era
        if self._updates.adopt_held(table, reply, source=heartbeat.sender.vm, now_s=read_clock_s()):
            await self._on_change(False)

    async def _pull_from(self, table: StoreTable, heartbeat: Heartbeat) -> None:
        copy = self._steering.tables[table]
        wanted_position = heartbeat.positions[table.value]
        age_s = heartbeat.ages_s.get(table.value, inf)
        hosts: tuple[str, ...] = ()
        for _ in range(self._settings.pull_attempts):
            host = self._random.choice(hosts) if hosts else heartbeat.sender.host
            position = copy.position if copy.is_loaded else UNREAD
            request = RowsRequest(table, position, self._steering.fleet.own.host)
            match await fetch_rows(host, self._steering.entry.peer_port, request):
                case Referral(hosts=hosts):
                    await curio.sleep(self._settings.pull_retry_s * self._random.uniform(0.5, 1.5))
                case update:
                    # A host named in a referral may lack these rows; then it confirms nothing.
                    confirmed_s = (
                        read_clock_s() - age_s if update.position >= wanted_position else -inf
                    )
                    await self._apply(table, update, heartbeat.sender.vm, confirmed_s)
                    hosts = ()
            if copy.is_loaded and copy.position >= wanted_position:
                return

    async def _apply(
        self, table: StoreTable, update: Snapshot | Changes, source: str, confirmed_s: float
    ) -> None:
        changed = self._updates.apply(table, update, source=source, now_s=read_clock_s())
        copy = self._steering.tables[table]
        if update.position >= copy.content_position:
            copy.confirmed_s = max(copy.confirmed_s, confirmed_s)
        if changed:
            # Only VMs that read the change from the store announce it. If every VM did, each change
            # would cost a message for each pair of VMs.
            await self._on_change(source == STORE_SOURCE)

    def _record_store_state(self, error: str | None) -> None:
        is_lost = error is not None
        if is_lost != self._is_store_lost:
            self._is_store_lost = is_lost
            self._log.write("store-lost" if is_lost else "store-regained", {"error": error})
