"""Measures a VM's control overhead at several fleet sizes and extrapolates to the two-year size.

Run as ``python benchmarks/capacity.py [DOMAINSxVMS ...]``; see docs/CAPACITY.md.
"""

from __future__ import annotations

import argparse
import json
import time
from pathlib import Path

import attrs
from _capacity_fit import fit
from _capacity_fleet import Fleet
from _capacity_layout import Layout
from _capacity_sample import RATE_NAMES
from _capacity_sample import ROLES
from _capacity_sample import FleetSample
from _capacity_sample import VmRates
from _capacity_sample import sample

DEFAULT_LAYOUTS = ("2x5", "6x5", "2x15", "4x8", "18x5", "20x10", "2x30")
TARGET_DOMAINS, TARGET_VMS_PER_DOMAIN = 20, 29.5
SETTLE_S = 12.0
WINDOW_S = 15.0
TOP_CLASSES = 6
ALL_VMS_RATES = ("memory_mb",)


def parse_layout(text: str) -> Layout:
    """Parse DOMAINSxVMS, optionally followed by xTARGETS_PER_VM and xACCOUNTS."""
    return Layout(*(int(part) for part in text.split("x")))


def run(layout: Layout, window_s: float) -> FleetSample:
    """Start a layout and measure one idle window."""
    with Fleet(layout) as fleet:
        time.sleep(SETTLE_S)
        return sample(fleet, window_s)


def print_sample(layout: Layout, measured: FleetSample) -> None:
    """Print the rates of each role and its top message classes by bytes."""
    print(f"\n{layout.vms} VMs: {layout}", flush=True)
    print(f"  platform: {measured.reads_per_s:.1f} reads/s, {measured.writes_per_s:.1f} writes/s")
    for role in ROLES:
        rates = measured.roles[role]
        if rates is None:
            continue
        values = " ".join(f"{name}={getattr(rates, name):.2f}" for name in RATE_NAMES)
        print(f"  {role}: {values}")
        top = sorted(((v, k) for k, v in rates.by_class.items() if k[0] == "bytes"), reverse=True)
        for value, (_, direction, message) in top[:TOP_CLASSES]:
            count = rates.by_class["messages", direction, message]
            print(f"      {message} {direction}: {value:.0f} B/s in {count:.1f} messages/s")


def terms(name: str, domains: float, vms_per_domain: float) -> list[float]:
    """Return the terms of the linear model of a rate.

    The terms are a constant, the VMs of the own domain and the number of domains. Memory also
    depends on the number of all VMs, as configuration and membership hold an object for each.
    """
    found = [1.0, vms_per_domain, domains]
    if name in ALL_VMS_RATES:
        found.append(domains * vms_per_domain)
    return found


def print_fit(samples: dict[Layout, FleetSample]) -> None:
    """Print the fitted factors of each role's rates and their extrapolation to two-year size."""
    print("\nconstant, a VM of the own domain, a domain, a VM anywhere -> two-year size")
    for role in ROLES:
        for name in RATE_NAMES:
            points = [
                (terms(name, layout.domains, layout.vms_per_domain), getattr(rates, name))
                for layout, measured in samples.items()
                if (rates := measured.roles[role]) is not None
            ]
            target = terms(name, TARGET_DOMAINS, TARGET_VMS_PER_DOMAIN)
            factors = fit([row for row, _ in points], [value for _, value in points])
            if factors is None:
                continue
            extrapolated = sum(f * t for f, t in zip(factors, target, strict=True))
            numbers = ", ".join(f"{factor:.4g}" for factor in factors)
            print(f"  {role} {name}: {numbers} -> {extrapolated:.1f}")


def main() -> None:
    """Measure the layouts one after another, or fit the samples of earlier runs."""
    parser = argparse.ArgumentParser()
    parser.add_argument("layouts", nargs="*", default=DEFAULT_LAYOUTS)
    parser.add_argument("--window-s", type=float, default=WINDOW_S)
    parser.add_argument("--json", help="Write the samples to this JSON file.")
    parser.add_argument(
        "--fit", nargs="+", help="Fit samples of JSON files; the last sample of a layout counts."
    )
    arguments = parser.parse_args()
    if arguments.fit:
        print_fit(_read_samples(arguments.fit))
        return
    samples = {}
    for layout in map(parse_layout, arguments.layouts):
        samples[layout] = run(layout, arguments.window_s)
        print_sample(layout, samples[layout])
        if arguments.json:
            _write_samples(arguments.json, samples)
    print_fit(samples)


def _write_samples(path: str, samples: dict[Layout, FleetSample]) -> None:
    rows = [{"layout": attrs.asdict(k), **_plain(v)} for k, v in samples.items()]
    Path(path).write_text(json.dumps(rows), encoding="utf-8")


def _read_samples(paths: list[str]) -> dict[Layout, FleetSample]:
    samples = {}
    for row in (row for path in paths for row in json.loads(Path(path).read_text())):
        roles = {
            role: VmRates(**row["roles"][role]) if role in row["roles"] else None for role in ROLES
        }
        sampled = FleetSample(roles, row["reads_per_s"], row["writes_per_s"])
        samples[Layout(**row["layout"])] = sampled
    return samples


def _plain(measured: FleetSample) -> dict[str, object]:
    roles = {
        role: {name: getattr(rates, name) for name in RATE_NAMES}
        for role, rates in measured.roles.items()
        if rates is not None
    }
    reads, writes = measured.reads_per_s, measured.writes_per_s
    return {"roles": roles, "reads_per_s": reads, "writes_per_s": writes}


if __name__ == "__main__":
    main()
