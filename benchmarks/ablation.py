"""Replays load patterns on the in-memory model with each decision of placement switched off.

    python benchmarks/ablation.py [--seeds N]

Prints for each load and each switched-off mechanism the mean score over the seeds (1 for a request
answered in time, 0.2 for a late one, 0 for a refused one), its range, and the difference to all
mechanisms on.
"""

from __future__ import annotations

import argparse
import sys
from pathlib import Path
from statistics import mean

from attrs import evolve
from attrs import field
from attrs import frozen

sys.path.insert(0, str(Path(__file__).parents[1] / "tests" / "coordination" / "steering"))

from load_model import HALF_LOST  # noqa: E402
from load_model import INVOICES  # noqa: E402
from load_model import SLOW_INVOICE_TARGETS  # noqa: E402
from load_model import LoadModel  # noqa: E402
from load_model import LoadSettings  # noqa: E402
from load_model import choose_placement  # noqa: E402

from siskinward.coordination.steering.placement import PlacementSettings  # noqa: E402
from siskinward.coordination.steering.slow_targets import SlowTargetSettings  # noqa: E402

LOADS = {
    "invoices, mean rate": INVOICES,
    "invoices, top of the wave": evolve(INVOICES, rate_per_s=370.0),
    "invoices, five of 14 targets slow": evolve(INVOICES, slow_targets=SLOW_INVOICE_TARGETS),
    "listings, half of the targets lost": evolve(HALF_LOST, duration_s=INVOICES.duration_s),
}


@frozen
class Variant:
    """Settings with one mechanism switched off."""

    placement: PlacementSettings = field(factory=PlacementSettings)
    slow: SlowTargetSettings = field(factory=SlowTargetSettings)


VARIANTS = {
    "all on": Variant(),
    "no second choice": Variant(PlacementSettings(choices=1)),
    "three choices": Variant(PlacementSettings(choices=3)),
    "no queue at the first target": Variant(PlacementSettings(first_overcommit=0.0)),
    "no spill to warm targets": Variant(PlacementSettings(spills_to_warm=False)),
    "slow targets not avoided": Variant(slow=SlowTargetSettings(is_enabled=False)),
}


def scores(load: LoadSettings, variant: Variant, seeds: int) -> list[float]:
    """Return the score of each seed."""
    models = (
        LoadModel(evolve(load, seed=seed), choose_placement, variant.placement, variant.slow)
        for seed in range(seeds)
    )
    return [model.run().score for model in models]


def main() -> None:
    """Print one table a load."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=5)
    seeds = parser.parse_args().seeds
    for name, load in LOADS.items():
        print(name)
        values_by_label = {
            label: scores(load, variant, seeds) for label, variant in VARIANTS.items()
        }
        all_on = mean(values_by_label["all on"])
        for label, values in values_by_label.items():
            print(
                f"  {label:30} {mean(values):.4f}  {min(values):.4f} to {max(values):.4f}"
                f"  {mean(values) - all_on:+.4f}"
            )


if __name__ == "__main__":
    main()
