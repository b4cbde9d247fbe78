"""Samples processor time, memory and control traffic of the VMs over a window, by role."""

from __future__ import annotations

import os
import re
import statistics
import time
from pathlib import Path
from typing import TYPE_CHECKING

from attrs import field
from attrs import frozen

if TYPE_CHECKING:
    from _capacity_fleet import Fleet
    from _capacity_layout import PlannedVm

PLAIN, ROOT_RELAY, RELAY, HOLDER = "plain", "root relay", "relay", "grant holder"
ROLES = (PLAIN, ROOT_RELAY, RELAY, HOLDER)
CONTROL_SERIES = re.compile(
    r'siskinward_peer_(bytes|messages)_total\{direction="(\w+)",message="(\w+)"\} (\S+)'
)
TICK_S = 1 / os.sysconf("SC_CLK_TCK")


@frozen
class VmReading:
    """Counters of one VM at one time; traffic by (unit, direction, message class)."""

    at_s: float
    processor_s: float
    memory_bytes: int
    traffic: dict[tuple[str, str, str], float]


@frozen
class VmRates:
    """Mean processor use and control traffic of one VM over a window, and memory at its end."""

    processor_percent: float
    memory_mb: float
    bytes_out_per_s: float
    bytes_in_per_s: float
    messages_out_per_s: float
    messages_in_per_s: float
    by_class: dict[tuple[str, str, str], float] = field(factory=dict)


RATE_NAMES = (
    "processor_percent",
    "memory_mb",
    "bytes_out_per_s",
    "bytes_in_per_s",
    "messages_out_per_s",
    "messages_in_per_s",
)


@frozen
class FleetSample:
    """Mean rates by role (None if no VM has it), and the platform's reads and writes per second."""

    roles: dict[str, VmRates | None]
    reads_per_s: float
    writes_per_s: float


def sample(fleet: Fleet, window_s: float) -> FleetSample:
    """Measure all VMs and the platform over a window."""
    roles = _roles(fleet)
    before = {vm.name: read_vm(fleet, vm) for vm in fleet.vms}
    counts = fleet.platform_counts()
    start_s = time.monotonic()
    time.sleep(window_s)
    after_counts = fleet.platform_counts()
    took_s = time.monotonic() - start_s
    rates = {vm.name: _rates(before[vm.name], read_vm(fleet, vm)) for vm in fleet.vms}
    by_role = {
        role: _mean([rates[name] for name, vm_role in roles.items() if vm_role == role])
        for role in ROLES
    }
    return FleetSample(
        by_role,
        (after_counts["reads"] - counts["reads"]) / took_s,
        (after_counts["writes"] - counts["writes"]) / took_s,
    )


def read_vm(fleet: Fleet, vm: PlannedVm) -> VmReading:
    """Read a VM's traffic counters, and its processor time and memory from ``/proc``."""
    traffic = {
        (unit, direction, message): float(value)
        for unit, direction, message, value in CONTROL_SERIES.findall(fleet.metrics(vm))
    }
    stat = Path(f"/proc/{fleet.pid(vm)}/stat").read_text().rpartition(")")[2].split()
    pages = int(Path(f"/proc/{fleet.pid(vm)}/statm").read_text().split()[1])
    processor_s = (int(stat[11]) + int(stat[12])) * TICK_S
    return VmReading(time.monotonic(), processor_s, pages * os.sysconf("SC_PAGESIZE"), traffic)


def _rates(before: VmReading, after: VmReading) -> VmRates:
    took_s = after.at_s - before.at_s
    by_class = {k: (v - before.traffic.get(k, 0.0)) / took_s for k, v in after.traffic.items()}

    def total(unit: str, direction: str) -> float:
        return sum(v for (u, d, _), v in by_class.items() if (u, d) == (unit, direction))

    return VmRates(
        100 * (after.processor_s - before.processor_s) / took_s,
        after.memory_bytes / 1e6,
        total("bytes", "out"),
        total("bytes", "in"),
        total("messages", "out"),
        total("messages", "in"),
        by_class,
    )


def _roles(fleet: Fleet) -> dict[str, str]:
    """Return the role of each VM; a relay that also holds the grant counts as a relay."""
    found = {}
    health = {vm.name: fleet.health(vm) for vm in fleet.vms}
    for domain in {vm.domain for vm in fleet.vms}:
        names = [vm.name for vm in fleet.vms if vm.domain == domain]
        names.sort(key=lambda name: str(health[name]["incarnation"]))
        holder = health[names[0]]["grant_holder"]
        for rank, name in enumerate(names):
            plain = HOLDER if name == holder else PLAIN
            found[name] = {0: ROOT_RELAY, 1: RELAY}.get(rank, plain)
    return found


def _mean(rates: list[VmRates]) -> VmRates | None:
    if not rates:
        return None
    classes = {key for rate in rates for key in rate.by_class}
    by_class = {k: statistics.fmean(r.by_class.get(k, 0.0) for r in rates) for k in classes}
    means = [statistics.fmean(getattr(rate, name) for rate in rates) for name in RATE_NAMES]
    return VmRates(*means, by_class)
