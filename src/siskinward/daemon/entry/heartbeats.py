"""Sends this VM's heartbeat to all others and takes theirs in."""

from __future__ import annotations

from math import inf
from typing import TYPE_CHECKING

import curio

from siskinward.coordination.steering.fleet import Heartbeat
from siskinward.daemon.entry.replication import FOLLOWED_TABLES
from siskinward.protocol.heartbeats import PeerMessageError
from siskinward.protocol.heartbeats import decode_heartbeat
from siskinward.protocol.heartbeats import encode_heartbeat
from siskinward.transport.clock import read_clock_s

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from siskinward.daemon.entry.steering import Steering
    from siskinward.transport.decision_log import DecisionLog
    from siskinward.transport.peer_datagrams import PeerDatagrams

UNKNOWN_AGE_S = 1e6


class HeartbeatExchange:
    """Keeps the fleet's view of this VM, and this VM's view of the fleet, current."""

    def __init__(
        self,
        steering: Steering,
        datagrams: PeerDatagrams,
        log: DecisionLog,
        on_heartbeat: Callable[[Heartbeat, float], Awaitable[None]],
    ) -> None:
        self._steering = steering
        self._datagrams = datagrams
        self._log = log
        self._on_heartbeat = on_heartbeat
        self._number = 0

    async def send_periodically(self, after_each: Callable[[], Awaitable[None]]) -> None:
        """Send heartbeats until cancelled."""
        while True:
            now_s = read_clock_s()
            self._steering.shares.measure(now_s)
            self._steering.targets.drop_lapsed(now_s)
            self._count_elsewhere(now_s)
            await self.send()
            await after_each()
            await curio.sleep(self._steering.fleet.interval_s)

    async def send(self) -> None:
        """Send one heartbeat now."""
        fleet = self._steering.fleet
        hosts = {peer.host for peer in fleet.all_peers()}
        hosts.update(self._steering.entry.peer_seeds)
        await self._datagrams.send(encode_heartbeat(self._create(read_clock_s())), hosts)

    async def receive(self, data: bytes, host: str) -> None:
        """Take in a datagram."""
        now_s = read_clock_s()
        try:
            heartbeat = decode_heartbeat(data)
        except PeerMessageError as error:
            self._log.write("heartbeat-unreadable", {"host": host, "error": str(error)})
            return
        if self._steering.fleet.on_heartbeat(heartbeat, now_s):
            vm = heartbeat.sender
            self._log.write("vm-heard", {"peer": vm.vm, "incarnation": vm.incarnation})
        incarnation = heartbeat.sender.incarnation
        self._steering.crashes.on_reports(incarnation, heartbeat.crashers, now_s)
        await self._on_heartbeat(heartbeat, now_s)

    def _create(self, now_s: float) -> Heartbeat:
        steering = self._steering
        self._number += 1
        copies = {table.value: steering.tables[table] for table in FOLLOWED_TABLES}
        loaded = {name: copy for name, copy in copies.items() if copy.is_loaded}
        return Heartbeat(
            sender=steering.fleet.own,
            number=self._number,
            state=steering.fleet.state,
            positions={name: copy.content_version for name, copy in loaded.items()},
            ages_s={
                name: now_s - copy.vouched_s if copy.vouched_s > -inf else UNKNOWN_AGE_S
                for name, copy in loaded.items()
            },
            in_flight={
                target.name: target.in_flight
                for target in steering.targets.all()
                if target.in_flight
            },
            demand_per_s={
                name: rate for name, rate in steering.shares.demand_per_s.items() if rate > 0.01
            },
            crashers=steering.crashes.reports(now_s),
        )

    def _count_elsewhere(self, now_s: float) -> None:
        heartbeats = self._steering.fleet.heartbeats(now_s)
        for target in self._steering.targets.all():
            target.elsewhere = sum(beat.in_flight.get(target.name, 0) for beat in heartbeats)
