"""Measures the processor time that one VM spends on a look-up over HTTP.

Run as ``python benchmarks/capacity_lookups.py``. One client sends look-ups on a persistent
connection at several rates; the VM's idle processor time in the same run is the baseline.
"""

from __future__ import annotations

import http.client
import time
from typing import TYPE_CHECKING

from _capacity_fleet import Fleet
from _capacity_layout import HOST
from _capacity_layout import Layout
from _capacity_sample import read_vm

if TYPE_CHECKING:
    from _capacity_layout import PlannedVm

RATES_PER_S = (0, 100, 200, 400, 560)
WINDOW_S = 6.0
SETTLE_S = 5.0
PATH = "/lookup?service=listings&client=192.0.2.9"


def send(vm: PlannedVm, rate_per_s: int) -> int:
    """Send look-ups at ``rate_per_s`` for the window; return how many were answered."""
    start_s = time.monotonic()
    if rate_per_s == 0:
        time.sleep(WINDOW_S)
        return 0
    connection = http.client.HTTPConnection(HOST, vm.front_port)
    answered = 0
    while (now_s := time.monotonic()) - start_s < WINDOW_S:
        due_s = start_s + answered / rate_per_s
        if now_s < due_s:
            time.sleep(due_s - now_s)
        connection.request("GET", PATH)
        answer = connection.getresponse()
        answer.read()
        if answer.status != 200:
            raise RuntimeError(f"look-up was answered with status {answer.status}")
        answered += 1
    connection.close()
    return answered


def main() -> None:
    """Print the processor time at each rate of look-ups."""
    idle_percent = 0.0
    with Fleet(Layout(2, 5)) as fleet:
        time.sleep(SETTLE_S)
        vm = fleet.vms[0]
        for rate_per_s in RATES_PER_S:
            before = read_vm(fleet, vm)
            answered = send(vm, rate_per_s)
            after = read_vm(fleet, vm)
            took_s = after.at_s - before.at_s
            percent = 100 * (after.processor_s - before.processor_s) / took_s
            if rate_per_s == 0:
                idle_percent = percent
                print(f"idle: {percent:.1f} % of a core", flush=True)
                continue
            per_s = answered / took_s
            us = (percent - idle_percent) / 100 / per_s * 1e6
            print(
                f"{per_s:.0f} look-ups/s: {percent:.1f} % of a core, {us:.0f} us each", flush=True
            )


if __name__ == "__main__":
    main()
