"""Measures reads and writes of the platform after an outage and after the loss of a domain.

Run as ``python benchmarks/capacity_outage.py [DOMAINSxVMS]``. The platform's stand-in does not
answer for ``OUTAGE_S``; after its recovery a new version is published. Then all VMs of one failure
domain are killed, and later restarted all at the same time.
"""

from __future__ import annotations

import argparse
import time
from typing import TYPE_CHECKING

import attrs
from _capacity_fleet import Fleet
from capacity import parse_layout

if TYPE_CHECKING:
    from _capacity_layout import Layout

DEFAULT_LAYOUT = "6x5"
SETTLE_S = 10.0
ORDINARY_S = 10.0
OUTAGE_S = 20.0
AFTERWARDS_S = 30.0
STEP_S = 0.5


def watch(fleet: Fleet, title: str, duration_s: float) -> None:
    """Print mean and peak rates of reads and writes; the peak is over steps of ``STEP_S``."""
    start = fleet.platform_counts()
    steps: list[tuple[float, float]] = []
    before, before_s = start, time.monotonic()
    end_s = before_s + duration_s
    while time.monotonic() < end_s:
        time.sleep(STEP_S)
        counts, now_s = fleet.platform_counts(), time.monotonic()
        took_s = now_s - before_s
        steps.append(
            (
                (counts["reads"] - before["reads"]) / took_s,
                (counts["writes"] - before["writes"]) / took_s,
            )
        )
        before, before_s = counts, now_s
    reads, writes = zip(*steps, strict=True)
    vms = fleet.layout.vms
    print(
        f"{title}: reads/s mean {sum(reads) / len(reads):.1f}, peak {max(reads):.1f} "
        f"({max(reads) / vms:.2f} a VM); writes/s mean {sum(writes) / len(writes):.2f}, "
        f"peak {max(writes):.1f}",
        flush=True,
    )


def measure_activation_s(fleet: Fleet, version: int) -> float:
    """Return the time to publish ``version`` and to activate it on every VM, in seconds."""
    start_s = time.monotonic()
    fleet.publish(attrs.evolve(fleet.layout, accounts=fleet.layout.accounts + version))
    waiting = list(fleet.vms)
    while waiting and time.monotonic() < start_s + AFTERWARDS_S:
        waiting = [vm for vm in waiting if fleet.health(vm)["version"] < version]
        time.sleep(0.05)
    return time.monotonic() - start_s


def measure_change(fleet: Fleet) -> None:
    """Print how long a change takes to become active on all VMs."""
    print(
        f"a change was in force on all VMs after {measure_activation_s(fleet, 2):.1f} s", flush=True
    )


def measure(layout: Layout) -> None:
    """Measure an outage of the platform, then the loss and restart of a failure domain."""
    with Fleet(layout) as fleet:
        time.sleep(SETTLE_S)
        print(f"{layout.vms} VMs: {layout}", flush=True)
        watch(fleet, "ordinary", ORDINARY_S)
        fleet.set_faults(is_out=True)
        time.sleep(OUTAGE_S)
        fleet.set_faults(is_out=False)
        watch(fleet, "after the outage", AFTERWARDS_S)
        measure_change(fleet)
        lost = [vm for vm in fleet.vms if vm.domain == fleet.vms[0].domain]
        fleet.kill(lost)
        watch(fleet, "after a domain was lost", AFTERWARDS_S)
        fleet.start(lost)
        watch(fleet, "after its VMs came back at once", AFTERWARDS_S)


def main() -> None:
    """Measure one layout, or only the propagation of a change."""
    parser = argparse.ArgumentParser()
    parser.add_argument("layout", nargs="?", default=DEFAULT_LAYOUT)
    parser.add_argument("--only-change", action="store_true")
    arguments = parser.parse_args()
    layout = parse_layout(arguments.layout)
    if not arguments.only_change:
        measure(layout)
        return
    with Fleet(layout) as fleet:
        time.sleep(SETTLE_S)
        measure_change(fleet)


if __name__ == "__main__":
    main()
