"""Reads the platform's settings file into ``EntrySettings``."""

from __future__ import annotations

import os
import tomllib
from pathlib import Path
from typing import TYPE_CHECKING
from typing import Any
from typing import TypeVar

from siskinward.platform._units import DecodeError
from siskinward.platform._units import check_text
from siskinward.platform._units import decoding
from siskinward.platform._units import describe
from siskinward.platform._units import read_address
from siskinward.platform._units import read_duration_s
from siskinward.platform._units import read_list
from siskinward.platform._units import read_mapping
from siskinward.platform._units import read_number
from siskinward.platform._units import read_text
from siskinward.state.addresses import is_port
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

# ``deploy/system.toml`` names the same port.
METRICS_PORT = 9464
# Default in place of an address that could not be read.
NO_ADDRESS = ListenAddress("", 0)

# For each bound in the file: the field of ``ServingBounds``, and whether it is a duration.
FIELD_BY_BOUND = {
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
    """Raised for invalid settings; holds every error found."""

    def __init__(self, errors: list[StepError]) -> None:
        super().__init__(errors[0])
        self._errors = tuple(errors)

    @property
    def all_errors(self) -> tuple[StepError, ...]:
        """Every error found."""
        return self._errors

    def __str__(self) -> str:
        return "\n".join(str(error) for error in self._errors)


class SettingsFile:
    """The platform's settings file; implements ``daemon.entry.ports.SettingsSource``."""

    def __init__(self, path: Path | None = None) -> None:
        self.path = path or Path(os.environ.get(SETTINGS_VARIABLE, "/etc/siskinward/node.toml"))
        self._content = b""

    def read(self) -> EntrySettings:
        """Read and decode the file; raises ``SettingsError`` with the file name and every error."""
        try:
            self._content = self.path.read_bytes()
            document = tomllib.loads(self._content.decode("utf-8"))
        except (OSError, RecursionError, ValueError) as error:
            raise SettingsError([StepError("read", str(self.path), str(error))]) from error
        try:
            return decode_settings(document)
        except SettingsError as error:
            located = [
                StepError(item.step, f"{self.path}: {item.peer}", item.detail)
                for item in error.all_errors
            ]
            raise SettingsError(located) from error

    def has_changed(self) -> bool:
        """Return whether the file differs from the last read; False while it cannot be read.

        A file that is being replaced may be missing for a moment.
        """
        try:
            return self.path.read_bytes() != self._content
        except OSError:
            return False


class _ErrorCollector:
    """Collects decoding errors, so that all of them are reported at once."""

    def __init__(self) -> None:
        self.errors: list[StepError] = []

    def read_or(self, default: _Value, read: Callable[..., _Value], *args: Any) -> _Value:
        """Return the result of ``read``, or ``default`` if it raises ``DecodeError``."""
        try:
            return read(*args)
        except DecodeError as error:
            self.errors.append(error.error)
            return default


def decode_settings(document: dict[str, Any]) -> EntrySettings:
    """Decode the settings of one process; raises ``SettingsError`` with every error."""
    try:
        with decoding("settings"):
            return _decode_settings(document)
    except DecodeError as error:
        raise SettingsError([error.error]) from error


def _decode_settings(document: dict[str, Any]) -> EntrySettings:
    collector = _ErrorCollector()
    read_or = collector.read_or
    listen: dict[str, Any] = read_or({}, read_mapping, document, "listen", "settings")
    store: dict[str, Any] = read_or({}, read_mapping, document, "platform", "settings")
    zones: dict[str, Any] = read_or({}, read_mapping, document, "zones", "settings")
    host = read_or("", read_text, document, "ip", "settings")
    heartbeat = document.get("heartbeat", "1500ms")
    settings = EntrySettings(
        vm=VmName(read_or("", read_text, document, "node_name", "settings")),
        host=host,
        failure_domain=DomainName(read_or("", _read_zone, document, zones)),
        region=RegionName(read_or("", read_text, document, "region", "settings")),
        front=read_or(NO_ADDRESS, _read_listen, listen, "front"),
        readiness=read_or(NO_ADDRESS, _read_listen, listen, "ready"),
        directory=read_or(NO_ADDRESS, _read_listen, listen, "directory"),
        metrics=ListenAddress(host, METRICS_PORT),
        peer_port=read_or(0, _read_first_port, document),
        store=read_or(NO_ADDRESS, _read_store, store),
        domain_regions={
            DomainName(domain): RegionName(
                read_or("", check_text, region, f"settings.zones.{domain}")
            )
            for domain, region in zones.items()
        },
        peer_seeds=read_or((), _read_seeds, document),
        link_mbps=read_or(0.0, _read_link_mbps, document),
        target_heartbeat_s=read_or(0.0, read_duration_s, heartbeat, "settings.heartbeat"),
        bounds=_decode_bounds(read_or([], read_list, document, "bounds", "settings"), collector),
    )
    if collector.errors:
        raise SettingsError(collector.errors)
    return settings


def _read_zone(document: dict[str, Any], zones: dict[str, Any]) -> str:
    zone = read_text(document, "zone", "settings")
    if zones and zone not in zones:
        raise DecodeError("settings.zone", f"{zone!r} is not one of the zones {', '.join(zones)}")
    return zone


def _read_first_port(document: dict[str, Any]) -> int:
    ports = document.get("internal_ports")
    first = ports[0] if isinstance(ports, list) and ports else None
    if type(first) is not int or not is_port(first):
        raise DecodeError("settings.internal_ports", f"expected ports, found {describe(ports)}")
    return first


def _read_listen(listen: dict[str, Any], name: str) -> ListenAddress:
    return ListenAddress(*read_address(listen.get(name), f"settings.listen.{name}"))


def _read_link_mbps(document: dict[str, Any]) -> float:
    limits = document.get("limits")
    return read_number(limits, "link_mbps", "settings.limits", 0) if limits else 0.0


def _read_store(store: dict[str, Any]) -> ListenAddress:
    return ListenAddress(*read_address(store.get("address"), "settings.platform.address"))


def _read_seeds(document: dict[str, Any]) -> tuple[str, ...]:
    # Seeds are control addresses; entry VMs run on the same hosts, so only the host is kept.
    seeds = document.get("seeds") or []
    if not isinstance(seeds, list):
        raise DecodeError("settings.seeds", f"expected a list, found {seeds!r}")
    return tuple(read_address(seed, "settings.seeds")[0] for seed in seeds)


def _decode_bounds(texts: list[Any], collector: _ErrorCollector) -> ServingBounds:
    values: dict[str, float] = {}
    for text in texts:
        name, _, value = collector.read_or("", check_text, text, "settings.bounds").partition("=")
        if name in FIELD_BY_BOUND:
            field_name, is_time = FIELD_BY_BOUND[name]
            values[field_name] = collector.read_or(0.0, _read_bound, name, value, is_time)
    return ServingBounds(**values)


def _read_bound(name: str, value: str, is_time: bool) -> float:
    if is_time:
        return read_duration_s(value, f"settings.bounds.{name}")
    return read_number({name: _number_or_text(value)}, name, "settings.bounds")


def _number_or_text(text: str) -> float | str:
    try:
        return float(text)
    except ValueError:
        return text
