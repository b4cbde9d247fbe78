"""Measures wrongful refusals, messages and processor time of shares of a rate limit.

Usage: ``PYTHONPATH=src python benchmarks/shares.py [orgonahaz|liit|target|cost|hot] [seconds]``.
The traffic holds only requests that one exact, central token bucket would admit, so each refusal
is wrongful.
"""

from __future__ import annotations

import sys
from pathlib import Path
from random import Random
from typing import TYPE_CHECKING

sys.path.insert(0, str(Path(__file__).parent))

from _shares_fleet import Layout
from _shares_fleet import ShareFleet
from attrs import define
from attrs import frozen

from siskinward.coordination.shares import ShareSettings
from siskinward.state.identifiers import AccountName
from siskinward.state.identifiers import DomainName
from siskinward.state.objects import ClientAccount

if TYPE_CHECKING:
    from collections.abc import Callable

ORGONAHAZ = Layout("9 VMs, 6 domains, 12 ms", 9, 6, 3, 0.0002, 0.0015, 0.012)
LIIT = Layout("9 VMs, 6 domains, 20 ms", 9, 6, 3, 0.0002, 0.0005, 0.020)
TARGET = Layout("590 VMs, 20 domains, 12 ms", 590, 20, 8, 0.0002, 0.0015, 0.012)
LAYOUTS = {"orgonahaz": ORGONAHAZ, "liit": LIIT, "target": TARGET}
LOADS = {9: (0.8, 1.5), 590: (0.8,)}
WARM_UP_S = 8.0
FAULT_AFTER_S = 2.0
MOVE_INTERVAL_S = 0.5
SEED = 1
CASES = ("spread", "one VM", "moving", "noisy", "VM dies", "mint dies", "cut")


@define
class Bucket:
    """An exact token bucket that allows the same bounded wait as share pools."""

    rate_per_s: float
    burst: float
    wait_s: float
    level: float
    last_s: float = 0.0

    def offer(self, now_s: float) -> bool:
        """Try to take a token that is available within ``wait_s``."""
        refilled = self.level + (now_s - self.last_s) * self.rate_per_s
        self.level = min(self.burst, refilled)
        self.last_s = now_s
        if self.burst < 1.0 or (1.0 - self.level) / self.rate_per_s > self.wait_s + 1e-9:
            return False
        self.level -= 1.0
        return True


@frozen
class Arrival:
    """A request of the measured account."""

    time_s: float
    vm: int


@frozen
class Result:
    """Percentages of requests refused wrongly and delayed, the p99 wait, and messages sent."""

    refused_percent: float
    waited_percent: float
    wait_p99_ms: float
    messages_per_request: float


def make_bucket(account: ClientAccount, parts: int, wait_s: float) -> Bucket:
    """Return a bucket with one of ``parts`` equal, static parts of an account's limit."""
    burst = account.burst_tokens / parts
    return Bucket(account.rate_per_s / parts, burst, wait_s, burst)


def measured_account(rate_per_s: float, burst_tokens: int) -> ClientAccount:
    """Return an account whose home domain is the one that faults affect."""
    return ClientAccount(
        AccountName("measured"), rate_per_s, burst_tokens, home_domain=DomainName("domain00")
    )


def arrivals(
    account: ClientAccount, load: float, seconds: float, place: Callable[[float, Random], int]
) -> list[Arrival]:
    """Return Poisson arrivals at ``load`` times the rate, less those beyond the account's limit."""
    random = Random(SEED)
    central = make_bucket(account, 1, 0.0)
    time_s = WARM_UP_S
    kept = []
    while True:
        time_s += random.expovariate(account.rate_per_s * load)
        if time_s >= WARM_UP_S + seconds:
            return kept
        if central.offer(time_s):
            kept.append(Arrival(time_s, place(time_s, random)))


def placement(case: str, layout: Layout) -> Callable[[float, Random], int]:
    """Return a function that picks the VM of a request by arrival time."""
    match case:
        case "one VM":
            return lambda time_s, random: 1
        case "moving":
            return lambda time_s, random: int(time_s / MOVE_INTERVAL_S) * 7 % layout.vms
    return lambda time_s, random: random.randrange(layout.vms)


def measure_shares(
    layout: Layout,
    account: ClientAccount,
    case: str,
    trace: list[Arrival],
    settings: ShareSettings,
    seconds: float,
) -> Result:
    """Replay a trace on a fleet of share pools and issuers, with the fault of ``case``."""
    other = ClientAccount(AccountName("other"), account.rate_per_s, account.burst_tokens)
    fleet = ShareFleet(layout, [account, other], settings)
    for arrival in trace:
        fleet.schedule(arrival.time_s, lambda vm=arrival.vm: fleet.offer(account, vm, counted=True))
    if case == "noisy":
        add_noise(fleet, other, seconds)
    fault_s = WARM_UP_S + FAULT_AFTER_S
    if case == "VM dies":
        fleet.schedule(fault_s, lambda: fleet.kill(layout.vms - 1))
    if case == "mint dies":
        fleet.schedule(fault_s, lambda: fleet.kill(0))
    if case == "cut":
        fleet.schedule(fault_s, lambda: setattr(fleet, "cut", fleet.members[0].own.failure_domain))
    fleet.run_until(WARM_UP_S + seconds + 1.0)
    tally = fleet.tally
    waits = sorted(tally.waits_s) or [0.0]
    refused = tally.refused
    return Result(
        refused_percent=100.0 * refused / tally.offered,
        waited_percent=100.0 * len(tally.waits_s) / tally.offered,
        wait_p99_ms=1000.0 * waits[int(len(waits) * 0.99)],
        messages_per_request=tally.messages / tally.spends,
    )


def add_noise(fleet: ShareFleet, other: ClientAccount, seconds: float) -> None:
    """Send five times the rate of another account, spread over all VMs."""
    random = Random(SEED + 1)
    time_s = WARM_UP_S
    while time_s < WARM_UP_S + seconds:
        time_s += random.expovariate(5 * other.rate_per_s)
        vm = random.randrange(fleet.layout.vms)
        fleet.schedule(time_s, lambda vm=vm: fleet.offer(other, vm, counted=False))


def measure_static(
    layout: Layout, account: ClientAccount, trace: list[Arrival], parts: int, wait_s: float
) -> float:
    """Replay a trace on fixed parts, one per VM or failure domain; faults do not affect them."""
    buckets = [make_bucket(account, parts, wait_s) for _ in range(parts)]
    for part in buckets:
        part.last_s = WARM_UP_S
    refused = sum(not buckets[arrival.vm % parts].offer(arrival.time_s) for arrival in trace)
    return 100.0 * refused / len(trace)


def print_refusals(layout: Layout, seconds: float) -> None:
    """Print wrongful refusals of shares, of a home domain alone and of static parts, in percent."""
    share_settings = ShareSettings()
    home_settings = ShareSettings(min_part_tokens=10**9)
    accounts = {
        9: [(400.0, 200), (20.0, 10), (5.0, 5)],
        590: [(2000.0, 1000), (100.0, 50)],
    }
    print(f"\n{layout.name}: refused wrongly, percent")
    print("rate burst load case       shares (waited, p99, messages/request)   home domain     VM")
    for rate_per_s, burst in accounts[layout.vms]:
        account = measured_account(rate_per_s, burst)
        for load in LOADS[layout.vms]:
            for case in CASES:
                trace = arrivals(account, load, seconds, placement(case, layout))
                pooled = measure_shares(layout, account, case, trace, share_settings, seconds)
                home_only = measure_shares(layout, account, case, trace, home_settings, seconds)
                parts = [
                    measure_static(layout, account, trace, count, share_settings.wait_s)
                    for count in (layout.domains, layout.vms)
                ]
                print(
                    f"{rate_per_s:4.0f} {burst:5} {load:4} {case:10} {pooled.refused_percent:6.2f} "
                    f"({pooled.waited_percent:5.1f}% {pooled.wait_p99_ms:4.0f} ms "
                    f"{pooled.messages_per_request:6.2f}) {home_only.refused_percent:16.2f} "
                    f"{parts[0]:6.2f} {parts[1]:6.2f}",
                    flush=True,
                )


def print_cost(seconds: float) -> None:
    """Print messages, bytes and processor time per VM at several sizes."""
    print("VMs domains accounts requests/s/VM  msg/s/VM  B/s/VM  us/spend us/message us/timer")
    for vms, domains in ((59, 20), (295, 20), (590, 20)):
        layout = Layout("", vms, domains, 8, 0.0002, 0.0015, 0.012)
        for count in (4, 16):
            print_cost_row(layout, count, seconds)


def print_cost_row(layout: Layout, count: int, seconds: float) -> None:
    """Print the cost of ``count`` accounts that each use 0.8 of their rate over all VMs."""
    rate_per_s = 2.0 * layout.vms
    accounts = [
        ClientAccount(AccountName(f"account{number}"), rate_per_s, int(rate_per_s / 2))
        for number in range(count)
    ]
    fleet = ShareFleet(layout, accounts, ShareSettings())
    random = Random(SEED)
    for account in accounts:
        for arrival in arrivals(account, 0.8, seconds, placement("spread", layout)):
            vm = random.randrange(layout.vms)
            fleet.schedule(
                arrival.time_s, lambda vm=vm, a=account: fleet.offer(a, vm, counted=True)
            )
    fleet.run_until(WARM_UP_S + seconds)
    tally = fleet.tally
    vm_seconds = layout.vms * seconds
    timers = layout.vms * (WARM_UP_S + seconds) / 0.02
    print(
        f"{layout.vms:3} {layout.domains:7} {count:8} {tally.offered / vm_seconds:13.2f} "
        f"{tally.messages / vm_seconds:9.2f} {tally.wire_bytes / vm_seconds:7.0f} "
        f"{1e6 * tally.spend_cpu_s / tally.spends:9.1f} "
        f"{1e6 * tally.handle_cpu_s / tally.handled:10.1f} "
        f"{1e6 * tally.timer_cpu_s / timers:8.1f}   refused {tally.refused}",
        flush=True,
    )


def print_hot_spend() -> None:
    """Print the processor time of a spend while the share pool mostly has tokens."""
    for domains in (1, 20):
        print_hot_spend_row(domains)


def print_hot_spend_row(domains: int) -> None:
    """Print the cost of spends on one VM that uses a fifth of a large account's rate."""
    layout = Layout("", domains, domains, 1, 0.0002, 0.0015, 0.012)
    account = measured_account(5000.0 * domains, 2500 * domains)
    fleet = ShareFleet(layout, [account], ShareSettings())
    for arrival in arrivals(account, 0.2, 2.0, placement("one VM", layout)):
        fleet.schedule(arrival.time_s, lambda: fleet.offer(account, 0, counted=True))
    fleet.run_until(WARM_UP_S + 2.0)
    tally = fleet.tally
    waited = 100.0 * len(tally.waits_s) / tally.offered
    print(
        f"{domains} domains, {tally.offered / 2.0:.0f} spends/s on one VM: "
        f"{1e6 * tally.spend_cpu_s / tally.spends:.1f} us a spend, {waited:.2f} % waited, "
        f"{tally.messages / 2.0:.1f} messages/s"
    )


def main() -> None:
    """Run the measurement named on the command line, or all of them."""
    which = sys.argv[1] if len(sys.argv) > 1 else "all"
    seconds = float(sys.argv[2]) if len(sys.argv) > 2 else 10.0
    for name, layout in LAYOUTS.items():
        if which in (name, "all"):
            print_refusals(layout, seconds)
    if which in ("cost", "all"):
        print_cost(min(seconds, 5.0))
    if which in ("hot", "all"):
        print_hot_spend()


if __name__ == "__main__":
    main()
