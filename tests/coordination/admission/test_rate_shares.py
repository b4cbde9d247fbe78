from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from siskinward.coordination.admission import RateShares
from siskinward.state.identifiers import DomainName
from siskinward.state.identifiers import RegionName
from siskinward.state.identifiers import ServiceName
from siskinward.state.identifiers import TargetName
from siskinward.state.objects import Configuration
from siskinward.state.objects import FailureDomain
from siskinward.state.objects import RegionLimit
from siskinward.state.objects import Target
from siskinward.state.objects import TargetGroup

SERVICE = ServiceName("catalogue")
HARJU = RegionName("harju")
DOMAINS = (DomainName("harju-1"), DomainName("harju-2"))
LIMIT_PER_S = 90.0
SLOTS = {"one": 3, "two": 4, "three": 2}


def make_configuration() -> Configuration:
    groups = dict(zip(SLOTS, (DOMAINS[0], DOMAINS[0], DOMAINS[1]), strict=True))
    return Configuration(
        failure_domains={name: FailureDomain(name, HARJU) for name in DOMAINS},
        target_groups={name: TargetGroup(name, SERVICE, at) for name, at in groups.items()},
        targets={
            TargetName(name): Target(TargetName(name), name, "::1", 80, slots, 390)
            for name, slots in SLOTS.items()
        },
        region_limits={"limit": RegionLimit("limit", HARJU, SERVICE, LIMIT_PER_S)},
    )


def make_shares() -> RateShares:
    shares = RateShares()
    shares.set_configuration(make_configuration(), SERVICE, DOMAINS[0])
    return shares


@given(st.lists(st.tuples(st.floats(0.0, 0.6), st.booleans()), max_size=40))
def test_region_stays_within_its_limit_while_targets_change_owners(
    steps: list[tuple[float, bool]],
) -> None:
    shares = make_shares()
    started: list[float] = []
    now_s = 0.0
    for wait_s, changes_owner in steps:
        now_s += wait_s
        if changes_owner:
            shares = make_shares()
        for name in SLOTS:
            while shares.available(TargetName(name), now_s) >= 1.0:
                shares.charge(TargetName(name), now_s)
                started.append(now_s)
    for end_s in started:
        # The window excludes its start: a request started exactly then counts for the one before.
        assert sum(end_s - 1.0 < at_s <= end_s for at_s in started) <= LIMIT_PER_S


def test_service_without_limit_is_not_bounded() -> None:
    shares = RateShares()
    shares.set_configuration(make_configuration(), ServiceName("payments"), DOMAINS[0])
    assert shares.available(TargetName("one"), 0.0) == float("inf")


def test_steady_demand_gets_most_of_the_limit() -> None:
    shares = make_shares()
    started = 0
    for number in range(1000):
        for name in SLOTS:
            if shares.available(TargetName(name), number / 100) >= 1.0:
                shares.charge(TargetName(name), number / 100)
                started += 1
    assert started >= 0.85 * LIMIT_PER_S * 10
