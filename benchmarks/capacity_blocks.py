"""Measures a VM's memory and configuration times by number of client blocks.

Run as ``python benchmarks/capacity_blocks.py``; each size runs in its own process. It measures the
first activation of a configuration, a changed account, a moved block and look-ups. The first line
of each size shows the memory of the process before it loads anything.
"""

from __future__ import annotations

import os
import subprocess
import sys
import time
from pathlib import Path

import curio
from _capacity_layout import Layout
from _capacity_layout import render_configuration

from siskinward.coordination.events import VmIdentity
from siskinward.coordination.lookup import LookupSettings
from siskinward.daemon.lookup import LookupService
from siskinward.daemon.metrics import NodeMetrics
from siskinward.daemon.serving_state import create_serving_state
from siskinward.state.configuration import apply_delta
from siskinward.state.configuration import parse_configuration
from siskinward.state.configuration import section_delta
from siskinward.state.identifiers import DomainName
from siskinward.state.identifiers import IncarnationId
from siskinward.state.identifiers import VmName

LAYOUT = Layout(20, 30)
SITES = 120
SIZES = (10_000, 40_000, 110_000, 440_000)
LOOKUPS = 20_000


def render_blocks(count: int) -> str:
    """Return the sites and ``count`` client blocks in INI format."""
    parts = [f"[site site-{n}]\nfailure_domain = domain-{n % LAYOUT.domains}" for n in range(SITES)]
    for n in range(count):
        prefix = f"{1 + (n >> 16)}.{n >> 8 & 255}.{n & 255}.0/24"
        parts.append(f"[client-block block-{n}]\nprefix = {prefix}\nsite = site-{n % SITES}")
    return "\n".join(parts)


def resident_mb() -> float:
    """Return the resident memory of this process in megabytes."""
    pages = int(Path("/proc/self/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGESIZE") / 1e6


def print_elapsed(title: str, start_s: float) -> None:
    """Print the time since ``start_s`` and the resident memory."""
    print(f"  {title}: {time.perf_counter() - start_s:.2f} s, {resident_mb():.0f} MB", flush=True)


def measure(count: int) -> None:
    """Measure one size in this process."""
    print(f"{count} blocks, {resident_mb():.0f} MB before", flush=True)
    text = render_configuration(LAYOUT) + "\n" + render_blocks(count)
    print(f"  text of {len(text) / 1e6:.1f} MB, {resident_mb():.0f} MB", flush=True)
    own = VmIdentity(VmName("vm"), DomainName("domain-0"), IncarnationId("1"))
    lookups = LookupService(own, LookupSettings(), lambda count, now_s: [], NodeMetrics())
    start_s = time.perf_counter()
    configuration = parse_configuration(text, "first").ok
    print_elapsed("parsed", start_s)
    start_s = time.perf_counter()
    lookups.on_configuration(create_serving_state(1, configuration))
    print_elapsed("first adoption", start_s)
    start_s = time.perf_counter()
    after = text.replace("rate_per_s = 100\n", "rate_per_s = 101\n", 1)
    changed = apply_delta(configuration, section_delta(text, after), "second").ok
    lookups.on_configuration(create_serving_state(2, changed))
    print_elapsed("changed account", start_s)
    start_s = time.perf_counter()
    moved = after.replace("site = site-1\n", "site = site-2\n", 1)
    changed = apply_delta(changed, section_delta(after, moved), "third").ok
    lookups.on_configuration(create_serving_state(3, changed))
    print_elapsed("moved block", start_s)
    curio.run(_look_up, lookups, count)


async def _look_up(lookups: LookupService, count: int) -> None:
    start_s = time.process_time()
    for n in range(LOOKUPS):
        block = n * 7919 % count
        address = f"{1 + (block >> 16)}.{block >> 8 & 255}.{block & 255}.9"
        await lookups.answer({"service": ["listings"], "client": [address]}, "127.0.0.1")
    took_us = (time.process_time() - start_s) / LOOKUPS * 1e6
    print(f"  look-up in memory: {took_us:.1f} us", flush=True)


def main() -> None:
    """Measure all sizes, or the one given."""
    if len(sys.argv) > 1:
        measure(int(sys.argv[1]))
        return
    for size in SIZES:
        subprocess.run([sys.executable, __file__, str(size)], check=True)


if __name__ == "__main__":
    main()
