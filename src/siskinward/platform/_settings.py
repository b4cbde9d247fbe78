"""Reads the platform's settings file into the product's settings."""

from __future__ import annotations

import os
import tomllib
from pathlib import Path
from typing import Any

from siskinward.platform._units import WireError
from siskinward.platform._units import read_address
from siskinward.platform._units import read_number
from siskinward.platform._units import read_table
from siskinward.platform._units import read_text
from siskinward.platform._units import read_time_s
from siskinward.state.identifiers import DomainName
from siskinward.state.identifiers import RegionName
from siskinward.state.identifiers import VmName
from siskinward.state.serving import EntrySettings
from siskinward.state.serving import ListenAddress
from siskinward.state.serving import ServingBounds

SETTINGS_VARIABLE = "SISKINWARD_BOOT"

# As ``deploy/system.toml`` names it.
METRICS_PORT = 9464

# Our field of each bound, and whether the platform writes it as a time.
BOUND_FIELDS = {
    "contact": ("touch_s", True),
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


def read_settings(path: Path | None = None) -> EntrySettings:
    """Read the file that the environment names; raises ``WireError`` naming file and field."""
    file = path or Path(os.environ.get(SETTINGS_VARIABLE, "/etc/siskinward/node.toml"))
    try:
        return decode_settings(tomllib.loads(file.read_text(encoding="utf-8")))
    except (OSError, ValueError, WireError) as error:
        raise WireError(str(file), str(error)) from error


def decode_settings(document: dict[str, Any]) -> EntrySettings:
    """Decode the settings of one process."""
    listen = read_table(document, "listen", "settings")
    store = read_table(document, "platform", "settings")
    ports = document.get("internal_ports")
    if not isinstance(ports, list) or not ports:
        raise WireError("settings.internal_ports", f"expected ports, found {ports!r}")
    return EntrySettings(
        vm=VmName(read_text(document, "node_name", "settings")),
        host=read_text(document, "ip", "settings"),
        failure_domain=DomainName(read_text(document, "zone", "settings")),
        region=RegionName(read_text(document, "region", "settings")),
        front=_decode_listen(listen, "front"),
        readiness=_decode_listen(listen, "ready"),
        directory=_decode_listen(listen, "directory"),
        metrics=ListenAddress(read_text(document, "ip", "settings"), METRICS_PORT),
        peer_port=int(ports[0]),
        store=ListenAddress(*read_address(store.get("address"), "settings.platform.address")),
        domain_regions={
            DomainName(domain): RegionName(region)
            for domain, region in read_table(document, "zones", "settings").items()
        },
        # Seeds are control addresses; entry VMs run on the same hosts.
        peer_seeds=tuple(read_address(seed, "settings.seeds")[0] for seed in _seeds(document)),
        target_heartbeat_s=read_time_s(document.get("heartbeat", "1500ms"), "settings.heartbeat"),
        bounds=_decode_bounds(document.get("bounds") or []),
    )


def _seeds(document: dict[str, Any]) -> list[object]:
    seeds = document.get("seeds") or []
    return list(seeds) if isinstance(seeds, list) else []


def _decode_listen(listen: dict[str, Any], name: str) -> ListenAddress:
    return ListenAddress(*read_address(listen.get(name), f"settings.listen.{name}"))


def _decode_bounds(texts: list[str]) -> ServingBounds:
    values: dict[str, float] = {}
    for text in texts:
        name, _, value = text.partition("=")
        if name not in BOUND_FIELDS:
            continue
        field_name, is_time = BOUND_FIELDS[name]
        where = f"settings.bounds.{name}"
        if is_time:
            values[field_name] = read_time_s(value, where)
        else:
            values[field_name] = read_number({name: _as_number(value)}, name, "settings.bounds")
    return ServingBounds(**values)


def _as_number(text: str) -> float | str:
    try:
        return float(text)
    except ValueError:
        return text
