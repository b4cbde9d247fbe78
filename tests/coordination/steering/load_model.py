"""Simulates high loads against the placement decisions alone.

Targets cache the objects that they handled last and serve these in about a third of the time. All
requests for an object come from one region. Several VMs decide, each with delayed counts of the
others' requests.
"""

from __future__ import annotations

import heapq
from collections import OrderedDict
from random import Random
from typing import TYPE_CHECKING

from attrs import define
from attrs import field
from attrs import frozen
from steering_fixtures import SERVICE
from steering_fixtures import fleet_of
from steering_fixtures import record_sent
from steering_fixtures import target_record
from steering_fixtures import unlimited_pauses

from siskinward.coordination.steering.placement import Placed
from siskinward.coordination.steering.placement import Placement
from siskinward.coordination.steering.placement import PlacementRequest
from siskinward.coordination.steering.placement import PlacementSettings
from siskinward.coordination.steering.slow_targets import Run
from siskinward.coordination.steering.slow_targets import SlowTargets
from siskinward.coordination.steering.slow_targets import SlowTargetSettings
from siskinward.coordination.steering.targets import TargetSettings
from siskinward.coordination.steering.targets import TargetTable
from siskinward.coordination.steering.warm_targets import WarmSettings
from siskinward.coordination.steering.warm_targets import WarmTargets
from siskinward.coordination.steering.warmup import WarmupLimiter
from siskinward.state.identifiers import DomainName
from siskinward.state.identifiers import RegionName
from siskinward.state.identifiers import TargetName

if TYPE_CHECKING:
    from collections.abc import Callable


@frozen
class LoadSettings:
    """Load of one service, and the number of its ``targets`` by region."""

    targets: dict[str, int]
    rate_per_s: float
    duration_s: float = 30.0
    slots: int = 3
    objects_per_region: int = 24
    cached_objects: int = 25
    cold_s: float = 0.64
    warm_s: float = 0.192
    objective_s: float = 0.38
    vms_per_region: int = 3
    heartbeat_s: float = 0.2
    wait_limit_s: float = 0.16
    slow_targets: tuple[str, ...] = ()
    slow_ratio: float = 12.0
    slow_from_s: float = 8.0
    slow_until_s: float = 17.0
    seed: int = 7


# Orgonahaz on its scale days: 79 listings per second at 12 targets of 3 slots. With cold targets
# this load would need 51 slots, and there are only 36.
SCALE_DAY = LoadSettings(targets={"budapest": 6, "debrecen": 2, "pecs": 4}, rate_per_s=79.0)
# A hot account and an evacuated region: only 6 targets for 100 requests per second.
HALF_LOST = LoadSettings(targets={"budapest": 1, "debrecen": 2, "pecs": 3}, rate_per_s=100.0)
# Statements of an invoicing service, at targets with many slots.
INVOICES = LoadSettings(
    targets={"taipei": 6, "taichung": 2, "kaohsiung": 6},
    rate_per_s=240.0,
    slots=9,
    objects_per_region=56,
    cached_objects=54,
    duration_s=18.0,
)
SLOW_INVOICE_TARGETS = ("taipei-0", "taipei-2", "taipei-4", "kaohsiung-1", "kaohsiung-3")


@define
class LoadResult:
    """Counts of requests by outcome, and of runs without a cached object."""

    in_time: int = 0
    late: int = 0
    rejected: int = 0
    cold_runs: int = 0

    @property
    def score(self) -> float:
        """Mean score of all requests: 1 if answered in time, 0.2 if late, 0 if rejected."""
        total = self.in_time + self.late + self.rejected
        return (self.in_time + 0.2 * self.late) / total


@define
class _ModelTarget:
    slots: int
    cache_size: int
    running: int = 0
    queue: list[tuple[float, str, int, Run]] = field(factory=list)
    warm: OrderedDict[str, None] = field(factory=OrderedDict)

    def access(self, object_key: str) -> bool:
        """Cache an object and return whether it was cached before."""
        was_warm = object_key in self.warm
        self.warm[object_key] = None
        self.warm.move_to_end(object_key)
        if len(self.warm) > self.cache_size:
            self.warm.popitem(last=False)
        return was_warm


def choose_placement(
    placement: Placement, table: TargetTable, request: PlacementRequest, now_s: float
) -> Placed | None:
    """Choose a target by the placement under test."""
    choice = placement.choose(request, now_s)
    return choice if isinstance(choice, Placed) else None


def choose_randomly(random: Random) -> Callable[..., Placed | None]:
    """Return a function that chooses any target with a free slot, as the baseline."""

    def choose(
        placement: Placement, table: TargetTable, request: PlacementRequest, now_s: float
    ) -> Placed | None:
        free = [item for item in table.usable(SERVICE, now_s) if item.load < item.record.slots]
        return Placed(random.choice(free), 0) if free else None

    return choose


class LoadModel:
    """Discrete-event simulation of one load."""

    def __init__(
        self,
        settings: LoadSettings,
        choose: Callable[..., Placed | None],
        placement: PlacementSettings | None = None,
        slow: SlowTargetSettings | None = None,
    ) -> None:
        self._settings = settings
        self._choose = choose
        self._random = Random(settings.seed)
        self._regions = list(settings.targets)
        self._targets: dict[TargetName, _ModelTarget] = {}
        self._tables: list[TargetTable] = []
        self._placements: list[Placement] = []
        self._warm: list[WarmTargets] = []
        self._slow: list[SlowTargets] = []
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._count = 0
        self.now_s = 0.0
        self.result = LoadResult()
        for vm in range(settings.vms_per_region * len(self._regions)):
            self._add_vm(vm, placement or PlacementSettings(), slow or SlowTargetSettings())

    def run(self) -> LoadResult:
        """Simulate all arrivals until every request has ended."""
        self._at(0.0, self._arrive)
        self._at(0.0, self._exchange_counts)
        while self._events:
            self.now_s, _, event = heapq.heappop(self._events)
            event()
        return self.result

    def _add_vm(self, vm: int, placement: PlacementSettings, slow: SlowTargetSettings) -> None:
        regions = {DomainName(f"{name}-1"): RegionName(name) for name in self._regions}
        table = TargetTable(TargetSettings(), regions)
        for region, count in self._settings.targets.items():
            for index in range(count):
                name = f"{region}-{index}"
                domain = DomainName(f"{region}-1")
                slots = self._settings.slots
                table.put(target_record(name, failure_domain=domain, slots=slots), 0.0)
                model = _ModelTarget(slots, self._settings.cached_objects)
                self._targets.setdefault(TargetName(name), model)
        region = RegionName(self._regions[vm % len(self._regions)])
        fleet = fleet_of(len(self._regions) * self._settings.vms_per_region, own=vm)
        self._tables.append(table)
        self._warm.append(WarmTargets(WarmSettings()))
        self._slow.append(SlowTargets(slow))
        self._placements.append(
            Placement(
                placement,
                region,
                frozenset(regions.values()),
                table,
                WarmupLimiter(fleet),
                self._warm[-1],
                self._slow[-1],
                unlimited_pauses(fleet),
                self._random,
            )
        )

    def _at(self, time_s: float, event: Callable[[], None]) -> None:
        self._count += 1
        heapq.heappush(self._events, (time_s, self._count, event))

    def _arrive(self) -> None:
        if self.now_s > self._settings.duration_s:
            return
        self._at(self.now_s + self._random.expovariate(self._settings.rate_per_s), self._arrive)
        vm = self._random.randrange(len(self._tables))
        number = self._random.randrange(self._settings.objects_per_region)
        object_key = f"{self._regions[vm % len(self._regions)]}/{number}"
        self._try(vm, object_key, self.now_s)

    def _try(self, vm: int, object_key: str, arrived_s: float) -> None:
        request = PlacementRequest(SERVICE, object_key, frozenset())
        placed = self._choose(self._placements[vm], self._tables[vm], request, self.now_s)
        if placed is not None:
            placed = record_sent(self._placements[vm], request, placed, self.now_s)
            run = self._slow[vm].on_sent(
                placed.target,
                is_warm=placed.is_warm,
                objective_s=self._settings.objective_s,
                now_s=self.now_s,
            )
            self._send(vm, run, object_key, arrived_s)
        elif self.now_s - arrived_s < self._settings.wait_limit_s:
            self._at(self.now_s + 0.02, lambda: self._try(vm, object_key, arrived_s))
        else:
            self.result.rejected += 1

    def _send(self, vm: int, run: Run, object_key: str, arrived_s: float) -> None:
        model = self._targets[run.target.name]
        if model.running < model.slots:
            self._start(vm, run, object_key, arrived_s)
        else:
            model.queue.append((arrived_s, object_key, vm, run))

    def _start(self, vm: int, run: Run, object_key: str, arrived_s: float) -> None:
        model = self._targets[run.target.name]
        model.running += 1
        is_warm = model.access(object_key)
        self.result.cold_runs += not is_warm
        mean_s = self._settings.warm_s if is_warm else self._settings.cold_s
        took_s = mean_s * self._random.uniform(0.85, 1.15) * self._slowdown(run.target.name)
        self._at(self.now_s + took_s, lambda: self._end(vm, run, arrived_s))

    def _slowdown(self, name: str) -> float:
        settings = self._settings
        is_slow = settings.slow_from_s <= self.now_s < settings.slow_until_s
        return settings.slow_ratio if is_slow and name in settings.slow_targets else 1.0

    def _end(self, vm: int, run: Run, arrived_s: float) -> None:
        model = self._targets[run.target.name]
        model.running -= 1
        run.target.in_flight -= 1
        self._slow[vm].on_ended(run, is_answered=True, is_timeout=False, now_s=self.now_s)
        if self.now_s - arrived_s <= self._settings.objective_s:
            self.result.in_time += 1
        else:
            self.result.late += 1
        if model.queue:
            waiting_s, object_key, other, waiting = model.queue.pop(0)
            self._start(other, waiting, object_key, waiting_s)

    def _exchange_counts(self) -> None:
        """Give every VM the others' counts, as heartbeats do."""
        if self.now_s > self._settings.duration_s + 10.0:
            return
        self._at(self.now_s + self._settings.heartbeat_s, self._exchange_counts)
        self._exchange_runs()
        for name in self._targets:
            known = [table.get(name) for table in self._tables]
            total = sum(target.in_flight for target in known if target)
            for target in known:
                if target:
                    target.in_flight_elsewhere = total - target.in_flight

    def _exchange_runs(self) -> None:
        """Tell every VM where objects ran and which targets were slow for the others."""
        pairs = [warm.next_announcements() for warm in self._warm]
        slow_runs = [slow.own_slow_runs(self.now_s) for slow in self._slow]
        for vm in range(len(self._tables)):
            for other in range(len(self._tables)):
                if other != vm:
                    self._warm[vm].record_announced(pairs[other], self.now_s)
            others = [item for i, item in enumerate(slow_runs) if i != vm]
            self._slow[vm].update(others, self.now_s)
