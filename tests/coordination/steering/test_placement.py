"""Placement by object: agreement between VMs, locality, capacity, and results under high loads."""

from __future__ import annotations

from random import Random

import pytest
from attrs import evolve
from load_model import HALF_LOST
from load_model import INVOICES
from load_model import SCALE_DAY
from load_model import SLOW_INVOICE_TARGETS
from load_model import LoadModel
from load_model import LoadSettings
from load_model import choose_placement
from load_model import choose_randomly
from steering_fixtures import SERVICE
from steering_fixtures import fleet_of
from steering_fixtures import record_sent
from steering_fixtures import target_record
from steering_fixtures import unlimited_pauses

from siskinward.coordination.steering.locality import region_weights
from siskinward.coordination.steering.placement import NoCapacity
from siskinward.coordination.steering.placement import NoTarget
from siskinward.coordination.steering.placement import Placed
from siskinward.coordination.steering.placement import Placement
from siskinward.coordination.steering.placement import PlacementRequest
from siskinward.coordination.steering.placement import PlacementSettings
from siskinward.coordination.steering.slow_targets import SlowTargets
from siskinward.coordination.steering.slow_targets import SlowTargetSettings
from siskinward.coordination.steering.targets import TargetSettings
from siskinward.coordination.steering.targets import TargetTable
from siskinward.coordination.steering.warm_targets import WarmSettings
from siskinward.coordination.steering.warm_targets import WarmTargets
from siskinward.coordination.steering.warmup import WarmupLimiter
from siskinward.state.identifiers import DomainName
from siskinward.state.identifiers import RegionName

BUDAPEST, DEBRECEN, PECS = (RegionName(name) for name in ("budapest", "debrecen", "pecs"))
DOMAINS = {DomainName(f"{name}-1"): name for name in (BUDAPEST, DEBRECEN, PECS)}


def placement_of(table: TargetTable, region: RegionName, vm: int = 0) -> Placement:
    fleet = fleet_of(8, own=vm)
    return Placement(
        PlacementSettings(),
        region,
        frozenset(DOMAINS.values()),
        table,
        WarmupLimiter(fleet),
        WarmTargets(WarmSettings()),
        SlowTargets(SlowTargetSettings()),
        unlimited_pauses(fleet),
        Random(vm),
    )


def table_of(counts: dict[RegionName, int], **fields: object) -> TargetTable:
    table = TargetTable(TargetSettings(), DOMAINS)
    for region, count in counts.items():
        for index in range(count):
            domain = DomainName(f"{region}-1")
            record = target_record(f"{region}-{index}", failure_domain=domain, **fields)
            table.put(record, 0.0)
    return table


def request_of(object_key: str, **fields: object) -> PlacementRequest:
    return PlacementRequest(SERVICE, object_key, fields.pop("homes", frozenset()), **fields)  # type: ignore[arg-type]


def first_choice(table: TargetTable, region: RegionName, object_key: str, vm: int = 0) -> str:
    choice = placement_of(table, region, vm).choose(request_of(object_key), 0.0)
    assert isinstance(choice, Placed)
    return choice.target.name


@pytest.mark.parametrize("load", [SCALE_DAY, HALF_LOST])
def test_placement_by_object_earns_more_than_random_choice(load: LoadSettings) -> None:
    by_object = LoadModel(load, choose_placement).run()
    at_random = LoadModel(load, choose_randomly(Random(3))).run()
    assert by_object.score > 1.5 * at_random.score
    assert by_object.cold_runs < at_random.cold_runs


def test_placement_two_choices_keep_objects_warm_where_many_choices_do_not() -> None:
    few = LoadModel(HALF_LOST, choose_placement).run()
    many = LoadModel(HALF_LOST, choose_placement, PlacementSettings(choices=12)).run()
    assert few.cold_runs < many.cold_runs
    assert few.score > many.score


def test_placement_short_queue_answers_in_time_where_a_long_one_does_not() -> None:
    chosen = LoadModel(HALF_LOST, choose_placement).run()
    longer = LoadModel(HALF_LOST, choose_placement, PlacementSettings(first_overcommit=1.0)).run()
    assert chosen.in_time > 1.1 * longer.in_time
    assert chosen.score > 1.05 * longer.score


def test_placement_slow_targets_are_avoided_while_they_are_slow() -> None:
    # Five of fourteen targets take twelve times as long for nine seconds; no connection breaks.
    load = evolve(INVOICES, slow_targets=SLOW_INVOICE_TARGETS)
    avoiding = LoadModel(load, choose_placement, slow=SlowTargetSettings(is_enabled=True)).run()
    staying = LoadModel(load, choose_placement, slow=SlowTargetSettings(is_enabled=False)).run()
    assert avoiding.score > staying.score + 0.02
    assert avoiding.in_time > staying.in_time


def test_placement_without_slow_targets_avoids_none() -> None:
    avoiding = LoadModel(SCALE_DAY, choose_placement, slow=SlowTargetSettings(is_enabled=True))
    ignoring = LoadModel(SCALE_DAY, choose_placement, slow=SlowTargetSettings(is_enabled=False))
    assert avoiding.run() == ignoring.run()


def test_placement_spills_to_a_target_that_has_the_object_warm_before_the_first_queues() -> None:
    table = table_of({BUDAPEST: 4})
    placement = placement_of(table, BUDAPEST)
    request = request_of("o1")
    while isinstance(choice := placement.choose(request, 0.0), Placed):
        record_sent(placement, request, choice, 0.0)
        if choice.choice == 1:
            break
    assert isinstance(choice, Placed)
    first = next(target for target in table.all() if target.in_flight > 1)
    first.in_flight = first.record.slots
    spilled = placement.choose(request, 0.0)
    assert isinstance(spilled, Placed) and spilled.target is choice.target
    unspilled = placement.choose(request_of("o1", tried=frozenset({choice.target.name})), 0.0)
    assert isinstance(unspilled, Placed) and unspilled.target is first


def test_placement_calm_load_is_answered_in_time() -> None:
    result = LoadModel(evolve(SCALE_DAY, rate_per_s=40.0), choose_placement).run()
    assert result.rejected == 0
    assert result.score > 0.85


def test_placement_is_the_same_from_every_vm_of_a_region() -> None:
    table = table_of({BUDAPEST: 6, DEBRECEN: 2, PECS: 4})
    for number in range(50):
        choices = {first_choice(table, PECS, f"o{number}", vm) for vm in range(8)}
        assert len(choices) == 1


def test_placement_loses_few_objects_when_a_target_leaves() -> None:
    table = table_of({BUDAPEST: 6, DEBRECEN: 2, PECS: 4})
    before = {f"o{n}": first_choice(table, BUDAPEST, f"o{n}") for n in range(300)}
    removed = "budapest-3"
    table.remove_by_key(removed)
    after = {name: first_choice(table, BUDAPEST, name) for name in before}
    moved = [name for name in before if before[name] != removed and before[name] != after[name]]
    assert len(moved) < 0.15 * len(before)


def test_placement_keeps_to_the_home_regions() -> None:
    table = table_of({BUDAPEST: 3, DEBRECEN: 2})
    homes = frozenset({DEBRECEN})
    choice = placement_of(table, BUDAPEST).choose(request_of("o1", homes=homes), 0.0)
    assert isinstance(choice, Placed)
    assert choice.target.region == DEBRECEN
    none = placement_of(table, BUDAPEST).choose(request_of("o1", homes=frozenset({PECS})), 0.0)
    assert none == NoTarget()


def test_placement_spills_to_the_second_choice_and_no_further() -> None:
    table = table_of({BUDAPEST: 4})
    placement = placement_of(table, BUDAPEST)
    used: dict[str, int] = {}
    while isinstance(choice := placement.choose(request_of("o1"), 0.0), Placed):
        record_sent(placement, request_of("o1"), choice, 0.0)
        used[choice.target.name] = used.get(choice.target.name, 0) + 1
    assert choice == NoCapacity()
    assert sorted(used.values()) == [3, 5]


def test_placement_failing_target_is_tried_with_one_request_unless_all_fail() -> None:
    table = table_of({BUDAPEST: 3})
    placement = placement_of(table, BUDAPEST)
    first = placement.choose(request_of("o1"), 0.0)
    assert isinstance(first, Placed)
    for _ in range(10):
        table.on_error(first.target)
    trial = placement.choose(request_of("o1"), 0.0)
    assert isinstance(trial, Placed) and trial.target is first.target
    record_sent(placement, request_of("o1"), trial, 0.0)
    other = placement.choose(request_of("o1"), 0.0)
    assert isinstance(other, Placed) and other.target is not first.target
    for target in table.all():
        for _ in range(10):
            table.on_error(target)
    again = placement.choose(request_of("o1"), 0.0)
    assert isinstance(again, Placed) and again.target is first.target


def test_placement_cold_target_is_sent_to_by_one_vm_at_its_rate() -> None:
    sent = 0
    for vm in range(8):
        table = table_of({BUDAPEST: 1}, warmup_left_s=3.0, slots=100)
        placement = placement_of(table, BUDAPEST, vm)
        placement.warmup_rates_per_s = {SERVICE: 4.0}
        for step in range(100):
            choice = placement.choose(request_of(f"o{step}"), step / 100)
            if isinstance(choice, Placed):
                record_sent(placement, request_of(f"o{step}"), choice, step / 100)
                sent += 1
    assert 4 <= sent <= 5


def test_region_weights_keep_an_even_share_local_and_send_the_rest_where_slots_are() -> None:
    slots = {BUDAPEST: 18, DEBRECEN: 6, PECS: 12}
    local = region_weights(slots, DOMAINS.values(), BUDAPEST)
    assert local[BUDAPEST] > 10 * max(local[DEBRECEN], local[PECS])
    short = region_weights(slots, DOMAINS.values(), DEBRECEN)
    assert short[DEBRECEN] * slots[DEBRECEN] == pytest.approx(short[BUDAPEST] * slots[BUDAPEST])
    assert short[PECS] == pytest.approx(0.02)


def test_region_weights_without_local_targets_use_the_others() -> None:
    weights = region_weights({BUDAPEST: 9, PECS: 3}, DOMAINS.values(), DEBRECEN)
    assert set(weights) == {BUDAPEST, PECS}
    assert weights[BUDAPEST] > weights[PECS]
