"""Reads the platform's settings file into the product's settings."""

from __future__ import annotations

import os
import tomllib
from pathlib import Path
from typing import TYPE_CHECKING
from typing import Any
from typing import TypeVar

from siskinward.platform._units import WireError
from siskinward.platform._units import read_address
from siskinward.platform._units import read_number
from siskinward.platform._units import read_table
from siskinward.platform._units import read_text
from siskinward.platform._units import read_time_s
from siskinward.state.errors import SiskinwardError
from siskinward.state.errors import StepError
from siskinward.state.identifiers import DomainName
from siskinward.state.identifiers import RegionName
from siskinward.state.identifiers import VmName
from siskinward.state.serving import EntrySettings
from siskinward.state.serving import ListenAddress
from siskinward.state.serving import ServingBounds

if TYPE_CHECKING:
    from collections.abc import Callable

_Value = TypeVar("_Value")

SETTINGS_VARIABLE = "SISKINWARD_BOOT"

# As ``deploy/system.toml`` names it.
METRICS_PORT = 9464
NO_ADDRESS = ListenAddress("", 0)

# Our field of each bound, and whether the platform writes it as a time.
BOUND_FIELDS = {
    "contact": ("settling_s", True),
    "drain": ("drain_s", True),
    "grace": ("grace_s", True),
    "config": ("configuration_s", True),
    "retry_budget_ratio": ("retry_ratio", False),
    "retry_window": ("retry_window_s", True),
    "budget_slack": ("retry_slack_requests", False),
    "quota_window": ("quota_window_s", True),
    "quota_overshoot": ("quota_overshoot", False),
    "quota_slack": ("quota_slack_requests", False),
    "warmup_overshoot": ("warmup_overshoot", False),
    "warmup_slack": ("warmup_slack_requests", False),
    "ttl_max": ("answer_lifetime_s", True),
    "max_shift": ("shift_share", False),
}


class SettingsError(SiskinwardError):
    """Settings that cannot be used, with all that is wrong with them."""

    def __init__(self, faults: list[StepError]) -> None:
        super().__init__(faults[0])
        self._faults = tuple(faults)

    @property
    def all_errors(self) -> tuple[StepError, ...]:
        """Every fault."""
        return self._faults

    def __str__(self) -> str:
        return "\n".join(str(fault) for fault in self._faults)


class SettingsFile:
    """The platform's settings file; implements ``daemon.entry.ports.SettingsSource``."""

    def __init__(self, path: Path | None = None) -> None:
        self.path = path or Path(os.environ.get(SETTINGS_VARIABLE, "/etc/siskinward/node.toml"))
        self._content = b""

    def read(self) -> EntrySettings:
        """Read and decode the file; raises ``SettingsError`` naming the file and every fault."""
        try:
            self._content = self.path.read_bytes()
            document = tomllib.loads(self._content.decode("utf-8"))
        except (OSError, ValueError) as error:
            raise SettingsError([StepError("read", str(self.path), str(error))]) from error
        try:
            return decode_settings(document)
        except SettingsError as error:
            in_file = [
                StepError(fault.step, f"{self.path}: {fault.peer}", fault.detail)
                for fault in error.all_errors
            ]
            raise SettingsError(in_file) from error

    def has_changed(self) -> bool:
        """Whether the file differs from what was read last; one that is being replaced does not."""
        try:
            return self.path.read_bytes() != self._content
        except OSError:
            return False


class _FaultCollector:
    """Calls readers, and goes on with a stand-in value where one finds a fault."""

    def __init__(self) -> None:
        self.faults: list[StepError] = []

    def take(self, stand_in: _Value, read: Callable[..., _Value], *args: Any) -> _Value:
        """Return what ``read`` returns, or ``stand_in`` after a fault."""
        try:
            return read(*args)
        except WireError as error:
            self.faults.append(error.error)
            return stand_in


def decode_settings(document: dict[str, Any]) -> EntrySettings:
    """Decode the settings of one process; raises ``SettingsError`` naming every fault."""
    collector = _FaultCollector()
    take = collector.take
    listen: dict[str, Any] = take({}, read_table, document, "listen", "settings")
    store: dict[str, Any] = take({}, read_table, document, "platform", "settings")
    zones: dict[str, Any] = take({}, read_table, document, "zones", "settings")
    host = take("", read_text, document, "ip", "settings")
    heartbeat = document.get("heartbeat", "1500ms")
    settings = EntrySettings(
        vm=VmName(take("", read_text, document, "node_name", "settings")),
        host=host,
        failure_domain=DomainName(take("", _read_zone, document, zones)),
        region=RegionName(take("", read_text, document, "region", "settings")),
        front=take(NO_ADDRESS, _read_listen, listen, "front"),
        readiness=take(NO_ADDRESS, _read_listen, listen, "ready"),
        directory=take(NO_ADDRESS, _read_listen, listen, "directory"),
        metrics=ListenAddress(host, METRICS_PORT),
        peer_port=take(0, _read_first_port, document),
        store=take(NO_ADDRESS, _read_store, store),
        domain_regions={
            DomainName(domain): RegionName(str(region)) for domain, region in zones.items()
        },
        peer_seeds=take((), _read_seeds, document),
        link_mbps=take(0.0, _read_link, document),
        target_heartbeat_s=take(0.0, read_time_s, heartbeat, "settings.heartbeat"),
        bounds=_decode_bounds(document.get("bounds") or [], collector),
    )
    if collector.faults:
        raise SettingsError(collector.faults)
    return settings


def _read_zone(document: dict[str, Any], zones: dict[str, Any]) -> str:
    zone = read_text(document, "zone", "settings")
    if zones and zone not in zones:
        raise WireError("settings.zone", f"{zone!r} is none of the zones {', '.join(zones)}")
    return zone


def _read_first_port(document: dict[str, Any]) -> int:
    ports = document.get("internal_ports")
    if not isinstance(ports, list) or not ports or not isinstance(ports[0], int):
        raise WireError("settings.internal_ports", f"expected ports, found {ports!r}")
    return ports[0]


def _read_listen(listen: dict[str, Any], name: str) -> ListenAddress:
    return ListenAddress(*read_address(listen.get(name), f"settings.listen.{name}"))


def _read_link(document: dict[str, Any]) -> float:
    limits = document.get("limits")
    return read_number(limits, "link_mbps", "settings.limits", 0) if limits else 0.0


def _read_store(store: dict[str, Any]) -> ListenAddress:
    return ListenAddress(*read_address(store.get("address"), "settings.platform.address"))


def _read_seeds(document: dict[str, Any]) -> tuple[str, ...]:
    # Seeds are control addresses; entry VMs run on the same hosts.
    seeds = document.get("seeds") or []
    if not isinstance(seeds, list):
        raise WireError("settings.seeds", f"expected a list, found {seeds!r}")
    return tuple(read_address(seed, "settings.seeds")[0] for seed in seeds)


def _decode_bounds(texts: list[str], collector: _FaultCollector) -> ServingBounds:
    values: dict[str, float] = {}
    for text in texts:
        name, _, value = text.partition("=")
        if name in BOUND_FIELDS:
            field_name, is_time = BOUND_FIELDS[name]
            values[field_name] = collector.take(0.0, _read_bound, name, value, is_time)
    return ServingBounds(**values)


def _read_bound(name: str, value: str, is_time: bool) -> float:
    if is_time:
        return read_time_s(value, f"settings.bounds.{name}")
    return read_number({name: _as_number(value)}, name, "settings.bounds")


def _as_number(text: str) -> float | str:
    try:
        return float(text)
    except ValueError:
        return text
