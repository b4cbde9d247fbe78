"""Sends this VM's heartbeats to the other VMs and processes theirs."""

from __future__ import annotations

from itertools import count
from math import inf
from typing import TYPE_CHECKING

import curio

from siskinward.coordination.steering.account_tokens import TokenAsk
from siskinward.coordination.steering.account_tokens import TokenGrant
from siskinward.coordination.steering.fleet import Heartbeat
from siskinward.coordination.steering.fleet import LoadReport
from siskinward.coordination.steering.hashing import short_id
from siskinward.coordination.steering.limit_tokens import LimitAsk
from siskinward.coordination.steering.limit_tokens import LimitGrant
from siskinward.coordination.steering.rows import FOLLOWED_TABLES
from siskinward.protocol.heartbeats import decode_datagram
from siskinward.protocol.heartbeats import encode_heartbeat
from siskinward.protocol.heartbeats import encode_report
from siskinward.protocol.peer_fields import PeerMessageError
from siskinward.transport.clock import read_clock_s

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from siskinward.coordination.steering.rows import Position
    from siskinward.coordination.steering.rows import TableCopy
    from siskinward.daemon.entry.limit_enforcer import LimitEnforcer
    from siskinward.daemon.entry.quota_enforcer import QuotaEnforcer
    from siskinward.daemon.entry.steering import Steering
    from siskinward.transport.decision_log import DecisionLog
    from siskinward.transport.peer_datagram_socket import PeerDatagramSocket

UNKNOWN_AGE_S = 1e6
INITIAL_HEARTBEATS = 10


class HeartbeatExchange:
    """Exchanges heartbeats and load reports, so that the VMs know each other's state."""

    def __init__(
        self,
        steering: Steering,
        datagrams: PeerDatagramSocket,
        quota: QuotaEnforcer,
        limits: LimitEnforcer,
        log: DecisionLog,
        on_heartbeat: Callable[[Heartbeat, float], Awaitable[None]],
    ) -> None:
        self._steering = steering
        self._datagrams = datagrams
        self._quota = quota
        self._limits = limits
        self._log = log
        self._on_heartbeat = on_heartbeat
        self._number = 0
        self._told_store_lost = False

    async def send_periodically(self, after_each: Callable[[], Awaitable[None]]) -> None:
        """Send heartbeats and load reports until cancelled."""
        for step in count():
            now_s = read_clock_s()
            self._steering.shares.update_demand(now_s)
            self._steering.issuer.update_membership(now_s)
            self._steering.targets.remove_expired(now_s)
            for target in self._steering.targets.take_ended_leaving():
                self._log.write("target-leaving-ended", {"target": target})
            for target in self._steering.targets.take_ended_rests(now_s):
                self._log.write("target-rest-ended", {"target": target})
            self._steering.limit_tokens.update_membership(now_s)
            self._steering.limits.retain(self._steering.targets.names())
            heartbeats = self._steering.fleet.heartbeats(now_s)
            self._update_load_elsewhere(heartbeats)
            self._update_slow_targets(heartbeats, now_s)
            if self._is_heartbeat_due(step, now_s):
                await self.send()
            else:
                await self._send_report(step)
            await after_each()
            await curio.sleep(self._steering.fleet.interval_s)

    async def send(self) -> None:
        """Send a full heartbeat to all other VMs now."""
        hosts = {peer.host for peer in self._steering.fleet.all_peers()}
        hosts.update(self._steering.entry.peer_seeds)
        heartbeat = self._create(read_clock_s())
        self._told_store_lost = heartbeat.is_store_lost
        await self._datagrams.send(encode_heartbeat(heartbeat), hosts)

    async def _send_report(self, step: int) -> None:
        """Send a load report; every ``reports_per_remote_report``-th one also to other regions."""
        fleet = self._steering.fleet
        includes_all_regions = step % fleet.settings.reports_per_remote_report == 0
        hosts = [
            peer.host
            for peer in fleet.all_peers()
            if includes_all_regions or peer.region == fleet.own.region
        ]
        await self._datagrams.send(encode_report(self._create_report(read_clock_s())), hosts)

    async def receive(self, data: bytes, host: str) -> None:
        """Decode a datagram from another VM and process its message."""
        now_s = read_clock_s()
        try:
            message = decode_datagram(data)
        except PeerMessageError as error:
            self._log.write("heartbeat-unreadable", {"host": host, "error": str(error)})
            return
        match message:
            case Heartbeat():
                self._apply_statements(message, host, now_s)
                self._apply_heartbeat(message, now_s)
                self._steering.warm.record_announced(message.warm, now_s)
                await self._on_heartbeat(message, now_s)
            case LoadReport():
                self._apply_statements(message, host, now_s)
                heartbeat = self._steering.fleet.on_report(message, now_s)
                if heartbeat is not None:
                    self._steering.warm.record_announced(message.warm, now_s)
                    await self._on_heartbeat(heartbeat, now_s)
            case TokenAsk():
                await self._quota.on_ask(message, host)
            case TokenGrant():
                await self._quota.on_grant(message)
            case LimitAsk():
                await self._limits.on_ask(message, host)
            case LimitGrant():
                await self._limits.on_grant(message)

    def _apply_statements(self, message: Heartbeat | LoadReport, host: str, now_s: float) -> None:
        """Record what targets stated to another VM."""
        self._steering.targets.apply_warmups(message.warmups, now_s)
        for target in self._steering.targets.apply_leaving(message.leaving, now_s):
            self._log.write("target-leaving", {"target": target, "told_by": host})
        changed = self._steering.limits.apply_reports(message.limits, now_s)
        if changed:
            self._log_limits(changed, host)

    def _log_limits(self, target_ids: list[int], host: str) -> None:
        for target in self._steering.targets.all():
            if short_id(target.name) in target_ids:
                rate_per_s = self._steering.limits.rate_per_s(target.name)
                fields = {"target": target.name, "rate_per_s": rate_per_s, "told_by": host}
                self._log.write("target-limit", fields)

    def _apply_heartbeat(self, heartbeat: Heartbeat, now_s: float) -> None:
        if self._steering.fleet.on_heartbeat(heartbeat, now_s):
            vm = heartbeat.sender
            self._log.write("vm-heard", {"peer": vm.vm, "incarnation": vm.incarnation})
        incarnation = heartbeat.sender.incarnation
        crashes = self._steering.crashes
        if heartbeat.losses:
            crashes.on_peer_losses(heartbeat.losses, now_s)
        else:
            crashes.on_peer_loss_counts(incarnation, heartbeat.crashing_requests, now_s)
        crashes.on_peer_answers(heartbeat.answered_requests, now_s)

    def _is_heartbeat_due(self, step: int, now_s: float) -> bool:
        """Whether this step sends a full heartbeat; a new process introduces itself by several.

        Whether the store can be read is told to all at once, since others then read in its place.
        """
        if step < INITIAL_HEARTBEATS:
            return True
        if self._steering.store_reads.are_failing(now_s) != self._told_store_lost:
            return True
        return step % self._steering.fleet.settings.reports_per_heartbeat == 0

    def _create_report(self, now_s: float) -> LoadReport:
        self._number += 1
        return LoadReport(
            incarnation=self._steering.fleet.own.incarnation,
            number=self._number,
            positions=self._positions(),
            ages_s=self._ages_s(now_s),
            in_flight=self._in_flight(),
            warm=self._steering.warm.next_announcements(),
            slow=self._slow_runs(now_s),
            limits=self._steering.limits.own_reports(now_s),
            warmups=self._steering.targets.own_warmups(now_s),
            leaving=self._steering.targets.own_leaving(),
            is_cut_off=self._steering.paths.is_cut_off,
            is_store_lost=self._steering.store_reads.are_failing(now_s),
        )

    def _create(self, now_s: float) -> Heartbeat:
        steering = self._steering
        report = self._create_report(now_s)
        losses = steering.crashes.own_losses(now_s)
        return Heartbeat(
            sender=steering.fleet.own,
            number=report.number,
            state=steering.fleet.state,
            positions=report.positions,
            ages_s=report.ages_s,
            in_flight=report.in_flight,
            warm=report.warm,
            slow=report.slow,
            limits=report.limits,
            warmups=report.warmups,
            leaving=report.leaving,
            is_cut_off=report.is_cut_off,
            is_store_lost=report.is_store_lost,
            demand_per_s=steering.shares.publish(),
            crashing_requests={key: len(ages_s) for key, ages_s in losses.items()},
            losses=losses | steering.crashes.blocked_losses(now_s),
            answered_requests=steering.crashes.own_answers(now_s),
            held={name: copy.held_count for name, copy in self._loaded().items()},
        )

    def _slow_runs(self, now_s: float) -> dict[int, int]:
        """Return the slow runs to report; while cut off, this VM's connections are what is slow."""
        if self._steering.paths.is_cut_off:
            return {}
        return self._steering.slow.own_slow_runs(now_s)

    def _loaded(self) -> dict[str, TableCopy]:
        copies = {table.value: self._steering.tables[table] for table in FOLLOWED_TABLES}
        return {name: copy for name, copy in copies.items() if copy.is_loaded}

    def _positions(self) -> dict[str, Position]:
        return {name: copy.content_position for name, copy in self._loaded().items()}

    def _ages_s(self, now_s: float) -> dict[str, float]:
        return {
            name: now_s - copy.confirmed_s if copy.confirmed_s > -inf else UNKNOWN_AGE_S
            for name, copy in self._loaded().items()
        }

    def _in_flight(self) -> dict[int, int]:
        return {
            short_id(target.name): target.in_flight
            for target in self._steering.targets.all()
            if target.in_flight
        }

    def _update_slow_targets(self, heartbeats: list[Heartbeat], now_s: float) -> None:
        found = set(self._steering.slow.update((item.slow for item in heartbeats), now_s))
        if not found:
            return
        for target in self._steering.targets.all():
            if short_id(target.name) in found:
                self._log.write("target-slow", {"target": target.name, "load": target.load})

    def _update_load_elsewhere(self, heartbeats: list[Heartbeat]) -> None:
        for target in self._steering.targets.all():
            key = short_id(target.name)
            target.in_flight_elsewhere = sum(
                heartbeat.in_flight.get(key, 0) for heartbeat in heartbeats
            )
