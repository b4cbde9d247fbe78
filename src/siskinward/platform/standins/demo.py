"""Runs eight entry VMs against the platform stand-ins, injects faults and checks the promises.

Usage: python -m siskinward.platform.standins.demo
"""

from __future__ import annotations

import sys
from collections import Counter
from random import Random

import click
import curio
from attrs import define
from attrs import field

from siskinward.platform._headers import HEADERS
from siskinward.platform.standins._settings_text import FRONT_PORT
from siskinward.platform.standins._site import Site
from siskinward.platform.standins._site import SiteSettings
from siskinward.platform.standins._target import RunRecord
from siskinward.platform.standins._target import TargetStandIn
from siskinward.platform.standins._target_faults import TargetFault
from siskinward.standins.paused_clock import paused_kernel
from siskinward.transport.clock import read_clock_s
from siskinward.transport.outbound_connection import ExchangeFailedError

ZONES = {
    "bud-a": "budapest",
    "bud-b": "budapest",
    "deb-a": "debrecen",
    "pec-a": "pecs",
}
REQUESTS_PER_S = 80.0
RATE_PER_S = 60.0
BURST = 60.0
PHASE_S = 6.0
CONFIGURATION_BOUND_S = 2.0
DRAIN_BOUND_S = 2.0
QUOTA_WINDOW_S = 5.0
SEED = 11


@define
class Traffic:
    """Sends callers' requests and records their outcomes.

    ``refused_ids`` are the attempt ids of requests that were answered as not run.
    """

    site: Site
    random: Random
    outcomes: Counter[str] = field(factory=Counter)
    refused_ids: set[str] = field(factory=set)
    served_after_withdrawal: int = 0
    key_withdrawn_s: float = float("inf")

    async def run(self) -> None:
        """Send requests with exponentially distributed gaps until cancelled."""
        while True:
            await curio.sleep(self.random.expovariate(REQUESTS_PER_S))
            await curio.spawn(self._send_one, daemon=True)

    async def _send_one(self) -> None:
        vm = self.random.choice(list(self.site.vms))
        service = self.random.choice(("listings", "bookings"))
        key = self.random.choice(("key-1", "key-2"))
        path = f"/{service}/{self.random.randrange(12)}"
        started_s = read_clock_s()
        try:
            request = self.site.request(path, key=key)
            response = await self.site.send(vm, request)
        except ExchangeFailedError:
            self.outcomes["connection lost"] += 1
            return
        self.outcomes[str(response.status)] += 1
        if response.status in (429, 503):
            self.refused_ids.add((request.header(HEADERS.attempt_id) or b"").decode())
        is_late = started_s > self.key_withdrawn_s + CONFIGURATION_BOUND_S
        if response.status == 200 and key == "key-1" and is_late:
            self.served_after_withdrawal += 1


@define
class Check:
    """A checked promise, whether it held and what was measured."""

    name: str
    is_held: bool
    measured: str


@define
class _Removal:
    drained: TargetStandIn
    dead_address: str
    at_s: float


async def play() -> tuple[Traffic, list[Check]]:
    """Run all phases; return the traffic and the checked promises."""
    settings = SiteSettings(zones=ZONES, rate_per_s=RATE_PER_S, burst=BURST)
    site = Site(settings)
    await site.start()
    traffic = Traffic(site, Random(SEED))
    task = await curio.spawn(traffic.run, daemon=True)
    _print_phase("eight VMs serve a steady load")
    await curio.sleep(PHASE_S)
    await _inject_target_faults(site)
    await _withdraw_key(site, traffic)
    removal = await _remove_target_and_vm(site)
    named = await site.look_up("vm-bud-a-0", "bud-a")
    await task.cancel()
    await curio.sleep(3.0)
    late_runs = sum(run.started_s > removal.at_s + DRAIN_BOUND_S for run in removal.drained.runs)
    checks = [
        *_check_runs(site, traffic),
        Check(
            "a withdrawn key is refused in time",
            traffic.served_after_withdrawal == 0,
            "0 served after 2 s",
        ),
        Check("a draining target gets no new work", late_runs == 0, f"{late_runs} runs after 2 s"),
        Check(
            "a dead VM is not named", removal.dead_address not in named, f"{len(named)} VMs named"
        ),
    ]
    await site.stop()
    return traffic, checks


async def _inject_target_faults(site: Site) -> None:
    _print_phase("answers of a booking target are lost, and a listing target sheds")
    site.targets["bookings-bud-a-0"].fault = TargetFault.LOSES_ANSWERS
    site.targets["listings-pec-a-0"].fault = TargetFault.SHEDS
    await curio.sleep(PHASE_S)
    for target in site.targets.values():
        target.fault = TargetFault.NONE


async def _withdraw_key(site: Site, traffic: Traffic) -> None:
    _print_phase("the operator withdraws a key")
    site.configuration.spec("tenants", "account-1")["api_keys"] = ["spare-key-1"]
    await site.publish()
    traffic.key_withdrawn_s = read_clock_s()
    await curio.sleep(PHASE_S)


async def _remove_target_and_vm(site: Site) -> _Removal:
    _print_phase("a target drains, and a VM is killed")
    drained = site.targets["listings-bud-b-0"]
    await site.report(drained, "draining")
    at_s = read_clock_s()
    dead = site.vms.pop("vm-bud-a-1")
    await dead.kill()
    await curio.sleep(PHASE_S)
    return _Removal(drained, f"{dead.steering.entry.host}:{FRONT_PORT}", at_s)


def _check_runs(site: Site, traffic: Traffic) -> list[Check]:
    runs = [run for target in site.targets.values() for run in target.runs]
    bookings = Counter(run.attempt_id for run in runs if run.path.startswith("/bookings/"))
    twice = sum(count > 1 for count in bookings.values())
    false_refusals = len(traffic.refused_ids & set(bookings))
    refused = len(traffic.refused_ids)
    keys = sum(bool(run.authorization) for run in runs)
    most = max(_max_runs_in_window(runs, account) for account in ("account-1", "account-2"))
    allowed = (RATE_PER_S * QUOTA_WINDOW_S + BURST) * 1.1 + 20
    return [
        Check("a booking runs at most once", twice == 0, f"{twice} of {len(bookings)} ran twice"),
        Check(
            "refused means not run", false_refusals == 0, f"{false_refusals} of {refused} had run"
        ),
        Check("no target sees a key", keys == 0, f"{keys} of {len(runs)} runs"),
        Check(
            "accounts stay within their rate", most <= allowed, f"{most} of {allowed:.0f} in 5 s"
        ),
    ]


def _max_runs_in_window(runs: list[RunRecord], account: str) -> int:
    times = sorted(run.started_s for run in runs if run.account == account)
    return max(
        (sum(start <= at_s < start + QUOTA_WINDOW_S for at_s in times) for start in times),
        default=0,
    )


def _print_phase(text: str) -> None:
    click.echo(f"{read_clock_s():9.1f} s  {text}")


def main() -> None:
    """Run the demo and print the checks; exit with 5 if a promise was broken."""
    with paused_kernel() as kernel:
        traffic, checks = kernel.run(play)
    total = sum(traffic.outcomes.values())
    outcomes = ", ".join(f"{count} {name}" for name, count in sorted(traffic.outcomes.items()))
    click.echo(f"{total} requests: {outcomes}")
    for check in checks:
        click.echo(f"{'held  ' if check.is_held else 'BROKEN'}  {check.name}: {check.measured}")
    if not all(check.is_held for check in checks):
        sys.exit(5)


if __name__ == "__main__":
    main()
