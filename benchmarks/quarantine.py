"""Counts targets lost to one crashing request that its caller resends through many VMs at once."""

from __future__ import annotations

import heapq
from itertools import count
from random import Random
from typing import Any

from attrs import frozen

from siskinward.coordination.events import Send
from siskinward.coordination.events import VmIdentity
from siskinward.coordination.quarantine import Hold
from siskinward.coordination.quarantine import Permit
from siskinward.coordination.quarantine import Quarantine
from siskinward.coordination.quarantine import QuarantineSettings
from siskinward.coordination.quarantine import Refuse
from siskinward.coordination.quarantine import compute_unproven_hold_s
from siskinward.state.identifiers import DomainName
from siskinward.state.identifiers import IncarnationId
from siskinward.state.identifiers import TargetName
from siskinward.state.identifiers import VmName

VMS = 11
REGIONS = 3
TARGETS = 12
TARGET_RESTART_S = 5.0
RUN_S = 0.01
FIRST_AT_S = 10.0
END_AT_S = 40.0
RESEND_INTERVAL_S = 0.5
TIMER_S = 0.05
TRIALS = 20
MARGIN_S = 0.001
MS_PER_S = 1000.0
INNOCENT_PER_S = 40.0
INNOCENT_RUN_S = 0.03
POPULAR = 20
CRASH = "crash"


@frozen
class Deployment:
    """One-way latencies of a deployment: within a region, between regions, and to a client."""

    name: str
    domain_s: float
    region_s: float
    client_s: float


@frozen
class Variant:
    """A quarantine setup.

    ``shared`` exchanges reports between the VMs, ``held`` delays fingerprints that have not
    succeeded lately, and ``ask_unproven`` makes them ask their owner before each run.
    """

    name: str
    shared: bool = True
    quarantined: bool = True
    held: bool = False
    ask_unproven: bool = False


@frozen
class TrialCounts:
    """Counts of one trial; ``waited_s`` is the time that innocent requests were held in all."""

    lost: int
    innocent: int
    refused: int
    messages: int
    waited_s: float


DEPLOYMENTS = (
    Deployment("Orgonahaz", 0.0015, 0.012, 0.008),
    Deployment("Liit", 0.0005, 0.020, 0.001),
)
VARIANTS = (
    Variant("no quarantine", quarantined=False),
    Variant("per VM", shared=False),
    Variant("fleet, no hold"),
    Variant("fleet, hold", held=True),
    Variant("fleet, ask all", ask_unproven=True),
)


def make_settings(deployment: Deployment, variant: Variant) -> QuarantineSettings:
    """Return the settings of a variant; the hold is computed from the deployment's latencies."""
    hold_s = compute_unproven_hold_s(deployment.region_s, 2.0 * deployment.client_s) + MARGIN_S
    return QuarantineSettings(
        hold_s if variant.held and hold_s > MARGIN_S else 0.0, ask_unproven=variant.ask_unproven
    )


class Trial:
    """Simulates one variant: a caller's crashing request amid innocent requests."""

    def __init__(
        self, deployment: Deployment, variant: Variant, resend_vms: int, random: Random
    ) -> None:
        self._deployment = deployment
        self._variant = variant
        self._resend_vms = resend_vms
        self._random = random
        self._events: list[tuple[float, int, Any]] = []
        self._order = count()
        self._identities = [_identity(number) for number in range(VMS)]
        self._numbers = {one.vm: number for number, one in enumerate(self._identities)}
        settings = make_settings(deployment, variant)
        self._quarantines = [Quarantine(settings, one) for one in self._identities]
        for book, one in zip(self._quarantines, self._identities, strict=True):
            book.on_members(self._identities if variant.shared else [one], 0.0)
        self._down_until_s = dict.fromkeys(range(TARGETS), 0.0)
        self._running: dict[str, tuple[int, int, str]] = {}
        self._fingerprints: dict[str, str] = {}
        self._begun_at_s: dict[str, float] = {}
        self._waited_s = 0.0
        self._lost = self._innocent = self._refused = self._messages = 0

    def run(self) -> TrialCounts:
        """Run the trial to its end and return its counts."""
        self._schedule(FIRST_AT_S, lambda now_s: self._begin(0, CRASH, now_s))
        self._schedule(FIRST_AT_S, self._resend_periodically)
        innocent_s = 0.0
        while innocent_s < END_AT_S:
            innocent_s += self._random.expovariate(INNOCENT_PER_S)
            self._schedule(innocent_s, self._begin_innocent)
        for number in range(int(END_AT_S / TIMER_S)):
            self._schedule(number * TIMER_S, self._tick)
        while self._events:
            now_s, _, action = heapq.heappop(self._events)
            if now_s > END_AT_S:
                break
            action(now_s)
        return TrialCounts(
            self._lost, self._innocent, self._refused, self._messages, self._waited_s
        )

    def _schedule(self, at_s: float, action: Any) -> None:
        heapq.heappush(self._events, (at_s, next(self._order), action))

    def _tick(self, now_s: float) -> None:
        for vm, book in enumerate(self._quarantines):
            self._apply(vm, book.on_timer(now_s), now_s)

    def _begin_innocent(self, now_s: float) -> None:
        # Half of the innocent requests repeat popular fingerprints; the others occur only once.
        popular = self._random.random() < 0.5
        name = self._random.randrange(POPULAR) if popular else next(self._order)
        self._begin(self._random.randrange(VMS), f"innocent-{popular}-{name}", now_s)

    def _begin(self, vm: int, fingerprint: str, now_s: float) -> None:
        attempt = f"attempt-{next(self._order)}"
        self._fingerprints[attempt] = fingerprint
        self._begun_at_s[attempt] = now_s
        if fingerprint != CRASH:
            self._innocent += 1
        if not self._variant.quarantined:
            self._dispatch(vm, attempt, alone=False, now_s=now_s)
            return
        self._apply(vm, self._quarantines[vm].admit(attempt, fingerprint, now_s), now_s)

    def _apply(self, vm: int, steps: list[Any], now_s: float) -> None:
        for step in steps:
            match step:
                case Send():
                    self._messages += 1
                    self._send(vm, step, now_s)
                case Permit(attempt, alone):
                    self._dispatch(vm, attempt, alone=alone, now_s=now_s)
                case Hold(attempt, for_s):
                    self._schedule(now_s + for_s, self._admit_held(vm, attempt))
                case Refuse(attempt):
                    self._refused += self._fingerprints[attempt] != CRASH

    def _admit_held(self, vm: int, attempt: str) -> Any:
        def admit(now_s: float) -> None:
            fingerprint = self._fingerprints[attempt]
            self._apply(
                vm, self._quarantines[vm].admit(attempt, fingerprint, now_s, held=True), now_s
            )

        return admit

    def _send(self, vm: int, send: Send, now_s: float) -> None:
        to = self._numbers[send.to]
        same_region = vm % REGIONS == to % REGIONS
        delay_s = self._deployment.domain_s if same_region else self._deployment.region_s

        def arrive(at_s: float) -> None:
            steps = self._quarantines[to].on_message(send.message, self._identities[vm], at_s)
            self._apply(to, steps, at_s)

        self._schedule(now_s + delay_s, arrive)

    def _dispatch(self, vm: int, attempt: str, *, alone: bool, now_s: float) -> None:
        if self._fingerprints[attempt] != CRASH:
            self._waited_s += now_s - self._begun_at_s[attempt]
        busy = {target for _, target, _ in self._running.values()}
        up = [target for target, until_s in self._down_until_s.items() if until_s <= now_s]
        free = [target for target in up if target not in busy] if alone else up
        if not free:
            self._finish(vm, attempt, ran=False, now_s=now_s)
            return
        target = self._random.choice(free)
        self._running[attempt] = (vm, target, attempt)
        if self._variant.quarantined:
            self._quarantines[vm].on_started(attempt, TargetName(f"target-{target}"))
        is_crash = self._fingerprints[attempt] == CRASH
        run_s = RUN_S if is_crash else self._random.expovariate(1.0 / INNOCENT_RUN_S)
        self._schedule(now_s + run_s, lambda at_s: self._on_run_ended(attempt, is_crash, at_s))

    def _on_run_ended(self, attempt: str, is_crash: bool, now_s: float) -> None:
        if attempt not in self._running:
            return
        vm, target, _ = self._running[attempt]
        if is_crash:
            self._crash_target(target, now_s)
            return
        del self._running[attempt]
        self._finish(vm, attempt, ran=True, now_s=now_s)

    def _finish(self, vm: int, attempt: str, *, ran: bool, now_s: float) -> None:
        if self._variant.quarantined:
            steps = self._quarantines[vm].on_finished(attempt, ran=ran, now_s=now_s)
            self._apply(vm, steps, now_s)

    def _crash_target(self, target: int, now_s: float) -> None:
        self._lost += 1
        self._down_until_s[target] = now_s + TARGET_RESTART_S
        affected = [run for run in self._running.values() if run[1] == target]
        for _, _, attempt in affected:
            del self._running[attempt]
        if self._variant.quarantined:
            for vm in {vm for vm, _, _ in affected}:
                steps = self._quarantines[vm].on_target_lost(TargetName(f"target-{target}"), now_s)
                self._apply(vm, steps, now_s)
        for _, _, attempt in affected:
            if self._fingerprints[attempt] == CRASH:
                # The caller gets the error and resends without delay, through several VMs.
                self._schedule(now_s + 2.0 * self._deployment.client_s, self._resend)

    def _resend(self, now_s: float) -> None:
        for vm in self._random.sample(range(VMS), self._resend_vms):
            self._begin(vm, CRASH, now_s)

    def _resend_periodically(self, now_s: float) -> None:
        self._schedule(now_s + RESEND_INTERVAL_S, self._resend_periodically)
        if now_s > FIRST_AT_S:
            self._resend(now_s)


def _identity(number: int) -> VmIdentity:
    domain = DomainName(f"domain-{number % (2 * REGIONS)}")
    return VmIdentity(VmName(f"vm-{number}"), domain, IncarnationId(f"vm-{number}-0"))


def main() -> None:
    """Print lost targets, refused innocent requests, waits and messages for each variant."""
    print(f"{TRIALS} trials each, {VMS} VMs, {TARGETS} targets")
    for deployment in DEPLOYMENTS:
        for resend_vms in (1, 3, VMS):
            for variant in VARIANTS:
                random = Random(1)
                counts = [
                    Trial(deployment, variant, resend_vms, random).run() for _ in range(TRIALS)
                ]
                lost = [one.lost for one in counts]
                refused = sum(one.refused for one in counts)
                innocent = sum(one.innocent for one in counts)
                messages = sum(one.messages for one in counts) / innocent
                waited_ms = sum(one.waited_s for one in counts) / innocent * MS_PER_S
                print(
                    f"{deployment.name:9} resent by {resend_vms:2} VMs, {variant.name:14}: "
                    f"targets lost mean {sum(lost) / TRIALS:5.1f} most {max(lost):3}; "
                    f"innocent refused {refused} of {innocent}, waited {waited_ms:.1f} ms; "
                    f"{messages:.3f} messages a request"
                )


if __name__ == "__main__":
    main()
