"""Compares time without a holder under domain grants, expiring leases and static splits.

Run with ``PYTHONPATH=src python benchmarks/grants.py`` from the root. Time is simulated. Each
figure is the time in seconds without a holder, times the share of the authority that is lost.
"""

from __future__ import annotations

import sys
from pathlib import Path
from statistics import mean

sys.path.insert(0, str(Path(__file__).parents[1] / "tests" / "coordination" / "grants"))

from typing import TYPE_CHECKING

from grant_world import SETTINGS  # noqa: E402
from grant_world import TICK_S  # noqa: E402
from grant_world import World  # noqa: E402

if TYPE_CHECKING:
    from collections.abc import Callable

OUTAGE_S = 600.0
PAUSE_S = 30.0
RESTART_S = 60.0
LEASE_S = 10.0
LEASE_RENEWAL_S = LEASE_S / 3
LEASE_POLL_S = 1.0
SEEDS = range(20)
DOMAIN_SIZE = 3
TARGET_GRANTS = 120


def lost_by_grant(fault: Callable[[World], None], seed: int, observe_s: float) -> float:
    """Run one fault on a settled domain; return the seconds without a holder."""
    world = World(DOMAIN_SIZE, seed)
    world.run(20.0 + seed * 0.31)
    fault(world)
    lost_s = 0.0
    end_s = world.now_s + observe_s
    while world.now_s < end_s:
        world.run(TICK_S)
        lost_s += 0.0 if world.users() else TICK_S
    return lost_s


def crash(world: World) -> None:
    """Stop the holder without a restart."""
    world.stop(world.users()[0].name)


def pause(world: World) -> None:
    """Pause the holder for ``PAUSE_S``."""
    world.users()[0].paused_until_s = world.now_s + PAUSE_S


def release(world: World) -> None:
    """Shut the holder down gracefully."""
    world.release(world.users()[0].name)


def outage(world: World) -> None:
    """Make the store unreachable for ``OUTAGE_S``, as in an outage or a network partition."""
    world.outage_until_s = world.now_s + OUTAGE_S


def crash_in_outage(world: World) -> None:
    """Stop the holder while the store is unreachable."""
    outage(world)
    crash(world)


def release_in_outage(world: World) -> None:
    """Shut the holder down gracefully while the store is unreachable."""
    outage(world)
    release(world)


def lost_by_lease(seed: int, *, crashed: bool, released: bool, outage_s: float) -> float:
    """Compute the seconds without a holder under an expiring lease, without clock error."""
    since_renewal_s = LEASE_RENEWAL_S * (seed / len(SEEDS))
    expires_s = LEASE_S - since_renewal_s
    if crashed or released:
        stops_at_s = 0.0
        free_at_s = 0.0 if released and outage_s == 0 else expires_s
    else:
        stops_at_s = free_at_s = expires_s
    if outage_s == 0 and not crashed and not released:
        return 0.0
    polls = int(max(free_at_s, outage_s) / LEASE_POLL_S) + 1
    return polls * LEASE_POLL_S - stops_at_s


def lost_by_split(*, gone_s: float) -> float:
    """Return ``gone_s`` times the share of the authority that one VM has in a static split."""
    return gone_s / DOMAIN_SIZE


def main() -> None:
    """Print one line for each fault, then store load and the share that a split refuses."""
    grant_cases: dict[str, tuple[Callable[[World], None], float]] = {
        "crash": (crash, 60.0),
        "pause of 30 s": (pause, 60.0),
        "graceful shutdown": (release, 60.0),
        "store outage or cut of 600 s": (outage, OUTAGE_S),
        "crash in that outage": (crash_in_outage, OUTAGE_S + 60.0),
        "graceful shutdown in that outage": (release_in_outage, OUTAGE_S + 60.0),
    }
    lease_cases = {
        "crash": (True, False, 0.0),
        "pause of 30 s": (True, False, 0.0),
        "graceful shutdown": (False, True, 0.0),
        "store outage or cut of 600 s": (False, False, OUTAGE_S),
        "crash in that outage": (True, False, OUTAGE_S),
        "graceful shutdown in that outage": (False, True, OUTAGE_S),
    }
    split_gone_s = {"crash": RESTART_S, "pause of 30 s": PAUSE_S, "graceful shutdown": RESTART_S}
    split_gone_s |= {"crash in that outage": RESTART_S}
    split_gone_s |= {"graceful shutdown in that outage": RESTART_S}
    print(f"lost authority in seconds, {DOMAIN_SIZE} VMs a domain, mean (worst) of {len(SEEDS)}")
    print(f"{'fault':34} {'grant':>16} {'lease 10 s':>16} {'split':>8} {'grant/lease':>12}")
    for name, (fault, observe_s) in grant_cases.items():
        grant = [lost_by_grant(fault, seed, observe_s) for seed in SEEDS]
        crashed, released, outage_s = lease_cases[name]
        lease = [
            lost_by_lease(seed, crashed=crashed, released=released, outage_s=outage_s)
            for seed in SEEDS
        ]
        split = lost_by_split(gone_s=split_gone_s.get(name, 0.0))
        ratio = f"{mean(grant) / mean(lease):.2f}" if mean(lease) else "-"
        print(
            f"{name:34} {mean(grant):8.2f} ({max(grant):5.1f}) {mean(lease):8.2f} "
            f"({max(lease):5.1f}) {split:8.2f} {ratio:>12}"
        )
    renewals = TARGET_GRANTS / LEASE_RENEWAL_S
    reads = TARGET_GRANTS / SETTINGS.verify_interval_s
    print(
        f"store load of {TARGET_GRANTS} grants: grants {reads:.0f} reads/s and no writes;", end=""
    )
    print(f" leases {renewals:.0f} writes/s")
    unusable = (DOMAIN_SIZE - 1) / DOMAIN_SIZE
    print(f"share of the limit that a split refuses when one VM gets all calls: {unusable:.2f}")


if __name__ == "__main__":
    main()
