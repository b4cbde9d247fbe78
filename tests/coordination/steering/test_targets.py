"""The table of targets when their entries change, become unreadable and return."""

from __future__ import annotations

from typing import Any

from attrs import evolve

from siskinward.coordination.steering.targets import Target
from siskinward.coordination.steering.targets import TargetSettings
from siskinward.coordination.steering.targets import TargetTable
from siskinward.state.identifiers import DomainName
from siskinward.state.identifiers import RegionName
from siskinward.state.identifiers import ServiceName
from siskinward.state.identifiers import TargetName
from siskinward.state.serving import TargetRecord

NAME = TargetName("t-1")
LISTINGS, BOOKINGS = ServiceName("listings"), ServiceName("bookings")
RECORD = TargetRecord(
    name=NAME,
    service=LISTINGS,
    host="10.0.0.1",
    port=80,
    failure_domain=DomainName("bud-a"),
    slots=3,
    is_ready=True,
    warmup_left_s=0.0,
    heartbeat=1,
    started_ms=5,
)
SETTINGS = TargetSettings(remembered_s=60.0)


def table() -> TargetTable:
    regions = {"bud-a": "budapest", "deb-a": "debrecen"}
    targets = TargetTable(
        SETTINGS, {DomainName(key): RegionName(value) for key, value in regions.items()}
    )
    targets.put(RECORD, 0.0)
    return targets


def known(targets: TargetTable) -> Target:
    target = targets.get(NAME)
    assert target is not None
    return target


def names_of(targets: TargetTable, service: ServiceName) -> list[Any]:
    return [target.name for target in targets.of_service(service)]


# The table kept it among the targets of its first service, where it stayed when it was removed.
def test_target_whose_entry_names_another_service_leaves_the_first_one() -> None:
    targets = table()
    targets.put(evolve(RECORD, service=BOOKINGS), 1.0)
    assert (names_of(targets, LISTINGS), names_of(targets, BOOKINGS)) == ([], [NAME])
    targets.remove(NAME)
    assert (names_of(targets, LISTINGS), names_of(targets, BOOKINGS)) == ([], [])


def test_target_whose_entry_names_another_domain_stands_in_its_region() -> None:
    targets = table()
    targets.put(evolve(RECORD, failure_domain=DomainName("deb-a")), 1.0)
    assert known(targets).region == "debrecen"
    targets.put(evolve(RECORD, failure_domain=DomainName("nowhere")), 2.0)
    assert targets.get(NAME) is None


# A target whose entry was odd for a while came back as a new one, with no requests and no limit.
def test_target_whose_entry_returns_is_the_same_target() -> None:
    targets = table()
    before = known(targets)
    before.in_flight = 2
    targets.remove_by_key(NAME)
    assert NAME in targets.names()
    targets.put(evolve(RECORD, heartbeat=9), 3.0)
    assert known(targets) is before
    assert known(targets).record.heartbeat == 9
    assert names_of(targets, LISTINGS) == [NAME]


def test_target_of_another_start_is_a_new_one() -> None:
    targets = table()
    before = known(targets)
    before.in_flight = 2
    targets.remove(NAME)
    targets.put(evolve(RECORD, started_ms=6), 3.0)
    assert known(targets) is not before
    assert known(targets).in_flight == 0
    targets.put(RECORD, 4.0)
    assert known(targets) is not before


def test_removed_target_is_forgotten_in_time() -> None:
    targets = table()
    before = known(targets)
    targets.remove(NAME)
    targets.remove_expired(10.0)
    targets.remove_expired(69.0)
    assert NAME in targets.names()
    targets.remove_expired(70.0)
    assert NAME not in targets.names()
    targets.put(RECORD, 71.0)
    assert known(targets) is not before


def test_target_that_turned_cold_meanwhile_returns_cold() -> None:
    targets = table()
    targets.remove(NAME)
    targets.put(evolve(RECORD, warmup_left_s=2.0), 3.0)
    assert known(targets).is_cold(4.0)
    assert not known(targets).is_cold(5.5)
