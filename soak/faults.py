"""Draws overlapping faults from a seed."""

from __future__ import annotations

from enum import Enum
from random import Random

from attrs import frozen

GAP_S = (0.2, 1.6)
REPEAT_COUNT = (1, 3)
RESTORES = (0, 0, 1, 2)
DURATIONS_S = (0.2, 0.8, 2.0, 4.0)
LIMIT_GAP_S = (2.0, 8.0)
LIMIT_DURATIONS_S = (2.0, 5.0, 9.0)
CUT_DURATIONS_S = (2.0, 6.0, 9.0)
ENDLESS_GAP_S = (3.0, 9.0)
ANSWER_FAULT_GAP_S = (1.0, 4.0)
ZONE_CUT_GAP_S = (1.0, 8.0)
ZONE_CUT_DURATIONS_S = (1.0, 3.0, 5.5)
ODD_ENTRIES_GAP_S = (0.5, 6.0)
ODD_ENTRY_COUNTS = (1, 3, 40, 300)
# Drawn as an index, and taken modulo what there is of it.
LARGEST_INDEX = 1000
# A multiple of the number of forms of each fault, so that each form is as likely.
VARIANTS = 12
LEAVING_GAP_S = (1.0, 6.0)
LEAVING_DURATIONS_S = (1.0, 3.0, 5.0)
REST_GAP_S = (1.0, 6.0)
RATE_LIMITS = ("0", "0.5", "1.3", "1.8", "4", "12.5", "many", "")


class FaultKind(Enum):
    """Kind of a fault, which affects one or several VMs, links or targets, or the store."""

    VM_LEAVE = "vm-leave"
    VM_KILL = "vm-kill"
    VM_PAUSE = "vm-pause"
    VM_RELOAD = "vm-reload"
    ALL_VMS_KILL = "all-vms-kill"
    STORE_DELAY = "store-delay"
    STORE_CUT_TO = "store-cut-to"
    STORE_CUT_FROM = "store-cut-from"
    STORE_REFUSE = "store-refuse"
    STORE_RESET = "store-reset"
    STORE_SILENCE = "store-silence"
    STORE_BUSY = "store-busy"
    STORE_LOSE_ANSWERS = "store-lose-answers"
    STORE_FORGET_HISTORY = "store-forget-history"
    TARGET_DELAY = "target-delay"
    TARGET_CUT_FROM = "target-cut-from"
    TARGET_RESET = "target-reset"
    TARGET_SILENCE = "target-silence"
    TARGET_CRASH = "target-crash"
    TARGET_LOSE_ANSWERS = "target-lose-answers"
    TARGET_TRUNCATE = "target-truncate"
    TARGET_DOUBLE = "target-double"
    TARGET_SHED = "target-shed"
    TARGET_DRAIN = "target-drain"
    KEY_WITHDRAWN = "key-withdrawn"
    CONFIGURATION = "configuration"
    STORE_RESTORED = "store-restored"
    TARGET_LIMIT = "target-limit"
    TARGET_ENDLESS = "target-endless"
    VM_CUT_FROM_TARGETS = "vm-cut-from-targets"
    VM_STOP = "vm-stop"
    TARGET_REPEAT_REFUSALS = "target-repeat-refusals"
    TARGET_STOP_IN_HEAD = "target-stop-in-head"
    TARGET_FAIL_AS_REFUSED = "target-fail-as-refused"
    TARGET_NO_LENGTH = "target-no-length"
    ZONE_CUT = "zone-cut"
    ODD_ENTRIES = "odd-entries"
    TARGET_LEAVING = "target-leaving"
    TARGET_REST = "target-rest"


ANSWER_FAULTS = (
    FaultKind.TARGET_REPEAT_REFUSALS,
    FaultKind.TARGET_STOP_IN_HEAD,
    FaultKind.TARGET_FAIL_AS_REFUSED,
    FaultKind.TARGET_NO_LENGTH,
)
# Drawn apart from the other faults, so that the seeds of earlier failures still draw the faults
# that they had.
DRAWN_APART = (
    FaultKind.STORE_RESTORED,
    FaultKind.TARGET_LIMIT,
    FaultKind.TARGET_ENDLESS,
    FaultKind.VM_CUT_FROM_TARGETS,
    FaultKind.VM_STOP,
    *ANSWER_FAULTS,
    FaultKind.ZONE_CUT,
    FaultKind.ODD_ENTRIES,
    FaultKind.TARGET_LEAVING,
    FaultKind.TARGET_REST,
)


@frozen
class Fault:
    """One fault, ``at_s`` after the start, on the VMs or targets at ``indexes`` of their lists.

    ``rate_limit`` is what targets state as their limit; empty for other kinds. ``variant`` selects
    one of the fault's forms.
    """

    kind: FaultKind
    at_s: float
    for_s: float
    indexes: tuple[int, ...]
    rate_limit: str = ""
    variant: int = 0


def draw_faults(seed: int, length_s: float, vms: int, targets: int) -> list[Fault]:
    """Draw faults that start before ``length_s``; the same seed gives the same faults."""
    random = Random(seed)
    faults = _draw_restores(Random(f"restores of {seed}"), length_s)
    faults += _draw_limits(Random(f"limits of {seed}"), length_s, targets)
    faults += _draw_cuts(Random(f"cuts of {seed}"), length_s, vms)
    faults += _draw_endless(Random(f"endless answers of {seed}"), length_s, targets)
    faults += _draw_stops(Random(f"stops of {seed}"), length_s, vms)
    faults += _draw_answer_faults(Random(f"spoilt answers of {seed}"), length_s, targets)
    faults += _draw_zone_cuts(Random(f"zone cuts of {seed}"), length_s)
    faults += _draw_odd_entries(Random(f"odd entries of {seed}"), length_s)
    faults += _draw_leaving(Random(f"leaving targets of {seed}"), length_s, targets)
    faults += _draw_rests(Random(f"resting targets of {seed}"), length_s, targets)
    kinds = [kind for kind in FaultKind if kind not in DRAWN_APART]
    at_s = random.uniform(*GAP_S)
    while at_s < length_s:
        kind = random.choice(kinds)
        count = targets if kind.value.startswith("target") else vms
        for step in range(random.randint(*REPEAT_COUNT)):
            indexes = random.sample(range(count), random.randint(1, max(1, count // 3)))
            start_s = at_s + step * random.choice(DURATIONS_S)
            if start_s < length_s:
                faults.append(Fault(kind, start_s, random.choice(DURATIONS_S), tuple(indexes)))
        at_s += random.uniform(*GAP_S)
    return sorted(faults, key=lambda fault: fault.at_s)


def _draw_restores(random: Random, length_s: float) -> list[Fault]:
    """Draw how often the store comes back from a copy, which is ``for_s`` old."""
    return [
        Fault(
            FaultKind.STORE_RESTORED, random.uniform(0.0, length_s), random.choice(DURATIONS_S), ()
        )
        for _ in range(random.choice(RESTORES))
    ]


def _draw_limits(random: Random, length_s: float, targets: int) -> list[Fault]:
    """Draw limits that targets state, of single targets and of all, some of them in series."""
    faults = []
    at_s = random.uniform(*GAP_S)
    while at_s < length_s:
        count = random.choice((1, 1, 2, targets))
        indexes = tuple(random.sample(range(targets), count))
        for_s = random.choice(LIMIT_DURATIONS_S)
        for step in range(random.randint(*REPEAT_COUNT)):
            start_s = at_s + step * for_s
            rate_limit = random.choice(RATE_LIMITS)
            if start_s < length_s:
                faults.append(Fault(FaultKind.TARGET_LIMIT, start_s, for_s, indexes, rate_limit))
        at_s += random.uniform(*LIMIT_GAP_S)
    return faults


def _draw_cuts(random: Random, length_s: float, vms: int) -> list[Fault]:
    """Draw cuts of one VM, of some or of all but one from all targets, up to two in a run."""
    faults = []
    for _ in range(random.choice((0, 1, 2))):
        count = random.choice((1, max(1, vms // 3), vms - 1))
        indexes = tuple(random.sample(range(vms), count))
        at_s, for_s = random.uniform(0.0, length_s), random.choice(CUT_DURATIONS_S)
        variant = random.randrange(VARIANTS)
        faults.append(Fault(FaultKind.VM_CUT_FROM_TARGETS, at_s, for_s, indexes, variant=variant))
    return faults


def _draw_endless(random: Random, length_s: float, targets: int) -> list[Fault]:
    """Draw answers without end of one or two targets, in one of their forms."""
    series = _Series(ENDLESS_GAP_S, DURATIONS_S, (1, 2))
    return series.draw(FaultKind.TARGET_ENDLESS, random, length_s, targets)


def _draw_stops(random: Random, length_s: float, vms: int) -> list[Fault]:
    """Draw planned stops of one VM after the other, up to two series in a run."""
    faults = []
    for _ in range(random.choice((0, 1, 2))):
        at_s, gap_s = random.uniform(0.0, length_s), random.uniform(*GAP_S)
        for step, index in enumerate(random.sample(range(vms), random.randint(1, vms))):
            faults.append(Fault(FaultKind.VM_STOP, at_s + step * gap_s, 0.0, (index,)))
    return [fault for fault in faults if fault.at_s < length_s]


def _draw_answer_faults(random: Random, length_s: float, targets: int) -> list[Fault]:
    """Draw answers that are repeated, cut short or no promise, of up to half of the targets."""
    faults = []
    at_s = random.uniform(*GAP_S)
    while at_s < length_s:
        kind = random.choice(ANSWER_FAULTS)
        indexes = tuple(random.sample(range(targets), random.randint(1, max(1, targets // 2))))
        for_s, variant = random.choice(DURATIONS_S), random.randrange(VARIANTS)
        faults.append(Fault(kind, at_s, for_s, indexes, variant=variant))
        at_s += random.uniform(*ANSWER_FAULT_GAP_S)
    return faults


def _draw_zone_cuts(random: Random, length_s: float) -> list[Fault]:
    """Draw cuts between one failure domain and the others, one after another."""
    faults = []
    at_s = random.uniform(*ZONE_CUT_GAP_S)
    while at_s < length_s:
        for_s, variant = random.choice(ZONE_CUT_DURATIONS_S), random.randrange(VARIANTS)
        indexes = (random.randrange(LARGEST_INDEX),)
        faults.append(Fault(FaultKind.ZONE_CUT, at_s, for_s, indexes, variant=variant))
        at_s += for_s + random.uniform(*ZONE_CUT_GAP_S)
    return faults


def _draw_odd_entries(random: Random, length_s: float) -> list[Fault]:
    """Draw how many odd entries another writer leaves, by indexes into the known ones."""
    faults = []
    at_s = random.uniform(*ODD_ENTRIES_GAP_S)
    while at_s < length_s:
        count = random.choice(ODD_ENTRY_COUNTS)
        indexes = tuple(random.randrange(LARGEST_INDEX) for _ in range(count))
        for_s, variant = random.choice(DURATIONS_S), random.randrange(VARIANTS)
        faults.append(Fault(FaultKind.ODD_ENTRIES, at_s, for_s, indexes, variant=variant))
        at_s += random.uniform(*ODD_ENTRIES_GAP_S)
    return faults


def _draw_leaving(random: Random, length_s: float, targets: int) -> list[Fault]:
    """Draw times in which some targets, or half of them, say that they leave, and start again."""
    series = _Series(LEAVING_GAP_S, LEAVING_DURATIONS_S, (1, 2, max(1, targets // 2)))
    return series.draw(FaultKind.TARGET_LEAVING, random, length_s, targets)


def _draw_rests(random: Random, length_s: float, targets: int) -> list[Fault]:
    """Draw times in which some targets, or all, turn requests away and ask for rests."""
    series = _Series(REST_GAP_S, DURATIONS_S, (1, 2, targets))
    return series.draw(FaultKind.TARGET_REST, random, length_s, targets)


@frozen
class _Series:
    """Faults of targets, a gap apart, each for a time and of so many targets."""

    gap_s: tuple[float, float]
    durations_s: tuple[float, ...]
    counts: tuple[int, ...]

    def draw(self, kind: FaultKind, random: Random, length_s: float, targets: int) -> list[Fault]:
        faults = []
        at_s = random.uniform(*self.gap_s)
        while at_s < length_s:
            indexes = tuple(random.sample(range(targets), random.choice(self.counts)))
            for_s, variant = random.choice(self.durations_s), random.randrange(VARIANTS)
            faults.append(Fault(kind, at_s, for_s, indexes, variant=variant))
            at_s += random.uniform(*self.gap_s)
        return faults
