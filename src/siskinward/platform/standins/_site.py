"""Runs a whole deployment in one event loop: store, targets, entry VMs and callers."""

from __future__ import annotations

import json
import tomllib
from random import Random
from typing import Any

import curio
from attrs import define
from attrs import field
from attrs import frozen

from siskinward.daemon.entry.process import EntryProcess
from siskinward.platform._headers import HEADERS
from siskinward.platform._settings import decode_settings
from siskinward.platform.adapter import PlatformAdapter
from siskinward.platform.standins._operator_configuration import HOST_NAME
from siskinward.platform.standins._operator_configuration import create_configuration
from siskinward.platform.standins._settings_text import DIRECTORY_PORT
from siskinward.platform.standins._settings_text import FRONT_PORT as FRONT_PORT
from siskinward.platform.standins._settings_text import STORE_PORT
from siskinward.platform.standins._settings_text import render_settings
from siskinward.platform.standins._store import StoreStandIn
from siskinward.platform.standins._target import TargetStandIn
from siskinward.state.serving import EntrySettings
from siskinward.transport.decision_log import DecisionLog
from siskinward.transport.decision_log import LogSettings
from siskinward.transport.http_messages import HttpRequest
from siskinward.transport.http_messages import HttpResponse
from siskinward.transport.outbound_connection import OutboundConnection

STORE_HOST = "10.200.0.1"
TARGET_PORT = 8080
CALL_TIMEOUT_S = 10.0
# Longer than any call to the store, so that no task is still running after ``stop``.
STOP_SETTLE_S = 5.0
UNLIMITED_LOG = LogSettings(lines_per_s=1e6, burst_lines=1e6, buffer_limit_bytes=1 << 24)


@frozen
class SiteSettings:
    """Size of a deployment; ``zones`` maps each failure domain to its region.

    ``bounds`` are the platform's bounds in the VMs' settings, each as ``name=value``.
    """

    zones: dict[str, str] = field(factory=lambda: {"bud-a": "budapest", "deb-a": "debrecen"})
    vms_per_zone: int = 2
    targets_per_zone: int = 2
    services: tuple[str, ...] = ("listings", "bookings")
    rate_per_s: float = 0.0
    burst: float = 0.0
    bounds: tuple[str, ...] = ()


@define
class ReplaceableSettings:
    """Source of a VM's settings that tests replace, as the platform replaces the file."""

    settings: EntrySettings
    last_read: EntrySettings

    def read(self) -> EntrySettings:
        """Return the current settings."""
        self.last_read = self.settings
        return self.settings

    def has_changed(self) -> bool:
        """Return whether the settings differ from the last read."""
        return self.settings != self.last_read


class Site:
    """A deployment of stand-ins and entry VMs, with operations for its operator and callers."""

    def __init__(self, settings: SiteSettings) -> None:
        self._settings = settings
        self.store = StoreStandIn(STORE_HOST, STORE_PORT)
        self.targets: dict[str, TargetStandIn] = {}
        self.vms: dict[str, EntryProcess] = {}
        self.logs: dict[str, bytearray] = {}
        self.settings_sources: dict[str, ReplaceableSettings] = {}
        self.configuration = create_configuration(
            settings.services, settings.rate_per_s, settings.burst
        )
        self._attempts = 0
        self._store_task: Any = None
        for number, zone in enumerate(settings.zones, start=1):
            for service in settings.services:
                for index in range(settings.targets_per_zone):
                    self._add_target(f"{service}-{zone}-{index}", service, zone, number)

    async def start(self, *, settle_s: float = 3.0) -> None:
        """Start the store, the targets and the VMs, and wait until they have found one another."""
        self._store_task = await curio.spawn(self.store.run, daemon=True)
        await self.publish()
        for target in self.targets.values():
            await target.start()
            await self.report(target)
        for number, zone in enumerate(self._settings.zones, start=1):
            for index in range(self._settings.vms_per_zone):
                await self.start_vm(f"vm-{zone}-{index}", zone, f"10.{number}.0.{index + 1}")
        await curio.sleep(settle_s)

    async def stop(self) -> None:
        """Kill the VMs, crash the targets and stop the store."""
        for process in self.vms.values():
            await process.kill()
        for target in self.targets.values():
            await target.crash()
        await self._store_task.cancel()
        await curio.sleep(STOP_SETTLE_S)

    async def start_vm(self, name: str, zone: str, host: str) -> EntryProcess:
        """Start an entry VM; a VM started again under the same name continues its log."""
        settings = self._entry_settings(name, zone, host)
        source = self.settings_sources[name] = ReplaceableSettings(settings, settings)
        lines = self.logs.setdefault(name, bytearray())

        def write(data: bytes) -> int:
            lines.extend(data)
            return len(data)

        log = DecisionLog(UNLIMITED_LOG, name, write)
        process = EntryProcess(settings, PlatformAdapter(), source, log, Random(name))
        self.vms[name] = process
        await process.start()
        return process

    async def restart_vm(self, name: str) -> EntryProcess:
        """Kill a VM's process and start it again."""
        settings = self.vms[name].steering.entry
        await self.vms[name].kill()
        return await self.start_vm(name, settings.failure_domain, settings.host)

    async def publish(self) -> None:
        """Publish the next version of the operator's configuration."""
        await self.store.publish(self.configuration)

    async def report(self, target: TargetStandIn, state: str = "ready") -> None:
        """Write a target's status row to the store."""
        await self.store.report(target, state)

    async def call(
        self,
        vm: str,
        path: str = "/listings/1",
        *,
        key: str | None = "key-1",
        time_left_s: float = 3.0,
        headers: tuple[tuple[bytes, bytes], ...] = (),
        body: bytes = b"",
    ) -> HttpResponse:
        """Send a new request to a VM as a caller and return the response."""
        return await self.send(
            vm, self.request(path, key=key, time_left_s=time_left_s, headers=headers, body=body)
        )

    async def send(self, vm: str, request: HttpRequest) -> HttpResponse:
        """Send a request to a VM on a new connection."""
        connection = OutboundConnection(self.vms[vm].steering.entry.host, FRONT_PORT)
        await connection.connect(1.0)
        try:
            return await connection.exchange(request, CALL_TIMEOUT_S)
        finally:
            await connection.close()

    def request(
        self,
        path: str,
        *,
        key: str | None = "key-1",
        time_left_s: float = 3.0,
        headers: tuple[tuple[bytes, bytes], ...] = (),
        body: bytes = b"",
    ) -> HttpRequest:
        """Return a caller's request with a new attempt id."""
        self._attempts += 1
        fields = [
            (b"host", HOST_NAME.encode()),
            (HEADERS.attempt_id, f"attempt-{self._attempts:04}".encode()),
            (HEADERS.time_left_ms, str(int(time_left_s * 1000)).encode()),
        ]
        if key is not None:
            fields.append((b"authorization", f"Bearer {key}".encode()))
        method = "POST" if path.startswith("/bookings/") else "GET"
        return HttpRequest(method, path, (*fields, *headers), body)

    async def look_up(self, vm: str, zone: str) -> list[str]:
        """Return the addresses that a VM names to a caller in ``zone``."""
        host = self.vms[vm].steering.entry.host
        connection = OutboundConnection(host, DIRECTORY_PORT)
        await connection.connect(1.0)
        region = self._settings.zones[zone]
        target = f"/v1/resolve?name={HOST_NAME}&region={region}&zone={zone}"
        request = HttpRequest("GET", target, ((b"host", host.encode()),))
        response = await connection.exchange(request, 1.0)
        await connection.close()
        addresses: list[str] = json.loads(response.body)["addresses"]
        return addresses

    def runs(self, service: str = "") -> int:
        """Return how many requests the targets of matching services started to run."""
        return sum(
            len(target.runs) for target in self.targets.values() if service in target.service
        )

    def lines(self, vm: str) -> list[dict[str, Any]]:
        """Return the parsed log lines of a VM."""
        return [json.loads(line) for line in self.logs[vm].splitlines()]

    def _add_target(self, name: str, service: str, zone: str, number: int) -> None:
        host = f"10.{number}.64.{len(self.targets) + 1}"
        self.targets[name] = TargetStandIn(name, service, host, TARGET_PORT, zone)

    def _entry_settings(self, name: str, zone: str, host: str) -> EntrySettings:
        settings = self._settings
        text = render_settings(name, host, zone, settings.zones, STORE_HOST, settings.bounds)
        return decode_settings(tomllib.loads(text))
