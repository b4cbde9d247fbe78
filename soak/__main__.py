"""Plays seeds: ``python -m soak --seeds 50``, or ``python -m soak --seed 7`` for one again."""

from __future__ import annotations

import subprocess
import sys
import tempfile
from pathlib import Path
from random import SystemRandom

import click
import curio

from soak.series import SoakResult
from soak.series import SoakSettings
from soak.series import create_series

FIRST_BLOCK = 20
BLOCKS = 200
LARGEST_SEED = 10**9


@click.command()
@click.option("--seed", type=int, help="Play this seed only, here.")
@click.option("--seeds", type=int, default=1, show_default=True, help="How many fresh seeds.")
@click.option("--jobs", type=int, default=2, show_default=True, help="How many at once.")
@click.option("--length-s", type=float, default=12.0, show_default=True)
@click.option("--vms", type=int, default=6, show_default=True)
@click.option("--logs", type=click.Path(path_type=Path), help="Keep the VMs' logs here.")
def main(
    seed: int | None, seeds: int, jobs: int, length_s: float, vms: int, logs: Path | None
) -> None:
    """Play randomized faults against real processes and print what broke."""
    if seed is not None:
        sys.exit(0 if _play(seed, length_s, vms, logs) else 1)
    drawn = [SystemRandom().randrange(LARGEST_SEED) for _ in range(seeds)]
    failed = _play_many(drawn, jobs, length_s, vms, logs)
    click.echo(f"{len(drawn)} seeds, {len(failed)} with a broken promise: {failed or 'none'}")
    sys.exit(1 if failed else 0)


def _play(seed: int, length_s: float, vms: int, logs: Path | None) -> bool:
    with tempfile.TemporaryDirectory() as scratch:
        directory = logs / str(seed) if logs else Path(scratch)
        directory.mkdir(parents=True, exist_ok=True)
        block = FIRST_BLOCK + seed % BLOCKS
        settings = SoakSettings(seed, directory, block, length_s=length_s, vms=vms)
        result: SoakResult = curio.run(create_series(settings).play)
    click.echo(f"seed {seed}: {result.served} of {result.calls} served; judged {result.judged}")
    for text in result.broken:
        click.echo(f"seed {seed}: BROKEN: {text}")
    return not result.broken


def _play_many(
    seeds: list[int], jobs: int, length_s: float, vms: int, logs: Path | None
) -> list[int]:
    """Play seeds in processes of their own, since each series has a loop of its own."""
    failed = []
    for start in range(0, len(seeds), jobs):
        running = {}
        for seed in seeds[start : start + jobs]:
            command = [sys.executable, "-m", "soak", "--seed", str(seed)]
            command += ["--length-s", str(length_s), "--vms", str(vms)]
            command += ["--logs", str(logs)] if logs else []
            running[seed] = subprocess.Popen(command)
        failed += [seed for seed, process in running.items() if process.wait() != 0]
    return failed


if __name__ == "__main__":
    main()
