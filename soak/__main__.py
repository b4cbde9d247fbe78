"""Runs fresh seeds (``python -m soak --seeds 50``) or repeats one (``python -m soak --seed 7``)."""

from __future__ import annotations

import subprocess
import sys
import tempfile
from pathlib import Path
from random import SystemRandom
from typing import Any

import click
import curio

from soak.faults import FaultKind
from soak.soak_run import create_soak_run
from soak.soak_settings import SoakResult
from soak.soak_settings import SoakSettings

FIRST_BLOCK = 20
BLOCKS = 200
LARGEST_SEED = 10**9


@click.command()
@click.option("--seed", type=int, help="Run only this seed, in this process.")
@click.option("--seeds", type=int, default=1, show_default=True, help="Number of fresh seeds.")
@click.option(
    "--jobs", type=int, default=2, show_default=True, help="Number of seeds that run at once."
)
@click.option("--length-s", type=float, default=12.0, show_default=True)
@click.option("--vms", type=int, default=6, show_default=True)
@click.option(
    "--other-release",
    type=click.Path(path_type=Path, exists=True),
    help="Checkout whose program every second VM runs.",
)
@click.option("--targets", type=int, default=10, show_default=True)
@click.option("--callers", type=int, default=40, show_default=True)
@click.option("--work-s", type=float, default=0.05, show_default=True, help="Work of a request.")
@click.option(
    "--kind",
    "kinds",
    type=click.Choice([kind.value for kind in FaultKind]),
    multiple=True,
    help="Play only faults of this kind; may be given several times.",
)
@click.option("--logs", type=click.Path(path_type=Path), help="Directory for the VMs' logs.")
def main(
    seed: int | None, seeds: int, jobs: int, logs: Path | None, kinds: tuple[str, ...], **sizes: Any
) -> None:
    """Run random faults against real processes and print the broken promises."""
    if seed is not None:
        kinds_played = tuple(FaultKind(kind) for kind in kinds)
        sys.exit(0 if _run_seed(seed, logs, kinds=kinds_played, **sizes) else 1)
    drawn = _draw_seeds(seeds, jobs)
    failed = _run_seeds(drawn, jobs, _as_options(logs=logs, **sizes) + _as_options(kind=kinds))
    click.echo(f"{len(drawn)} seeds, {len(failed)} with a broken promise: {failed or 'none'}")
    sys.exit(1 if failed else 0)


def _block_of(seed: int) -> int:
    return FIRST_BLOCK + seed % BLOCKS


def _draw_seeds(seeds: int, jobs: int) -> list[int]:
    """Draw seeds of which those that run at once use different addresses."""
    drawn: list[int] = []
    while len(drawn) < seeds:
        seed = SystemRandom().randrange(LARGEST_SEED)
        beside = drawn[len(drawn) - len(drawn) % jobs :]
        if _block_of(seed) not in {_block_of(other) for other in beside}:
            drawn.append(seed)
    return drawn


def _as_options(**values: Any) -> list[str]:
    """Return values as options of this command; one that is a tuple is given several times."""
    options = []
    for name, value in values.items():
        for item in value if isinstance(value, tuple) else (value,):
            if item is not None:
                options += [f"--{name.replace('_', '-')}", str(item)]
    return options


def _run_seed(seed: int, logs: Path | None, **sizes: Any) -> bool:
    with tempfile.TemporaryDirectory() as scratch:
        directory = logs / str(seed) if logs else Path(scratch)
        directory.mkdir(parents=True, exist_ok=True)
        settings = SoakSettings(seed, directory, _block_of(seed), **sizes)
        result: SoakResult = curio.run(create_soak_run(settings).run)
    click.echo(
        f"seed {seed}: {result.served} of {result.calls} served; checks {result.check_counts}"
    )
    for text in result.broken:
        click.echo(f"seed {seed}: BROKEN: {text}")
    return not result.broken


def _run_seeds(seeds: list[int], jobs: int, options: list[str]) -> list[int]:
    """Run each seed in its own process, because each run needs its own event loop."""
    failed = []
    for start in range(0, len(seeds), jobs):
        running = {}
        for seed in seeds[start : start + jobs]:
            command = [sys.executable, "-m", "soak", "--seed", str(seed), *options]
            running[seed] = subprocess.Popen(command)
        failed += [seed for seed, process in running.items() if process.wait() != 0]
    return failed


if __name__ == "__main__":
    main()
