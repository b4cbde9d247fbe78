"""Limits of all kinds of resources, enforced by the same ledger."""

from __future__ import annotations

from random import Random

import cattrs
import pytest
from attrs import evolve
from shares_fleet import ACCOUNT
from shares_fleet import Fleet
from shares_fleet import excess_tokens
from shares_fleet import make_configuration

from siskinward.coordination.shares import LinkBytes
from siskinward.coordination.shares import Refused
from siskinward.coordination.shares import ResourceKey
from siskinward.coordination.shares import RetryTokens
from siskinward.coordination.shares import ShareSettings
from siskinward.coordination.shares import ShiftShare
from siskinward.coordination.shares.limits import MICRO_PER_UNIT
from siskinward.coordination.shares.limits import SHARE_UNITS
from siskinward.coordination.shares.limits import limits_of
from siskinward.coordination.shares.messages import TokenRecall
from siskinward.state.identifiers import RegionName
from siskinward.state.identifiers import ServiceName
from siskinward.state.objects import Configuration
from siskinward.state.objects import Link
from siskinward.state.objects import Service
from siskinward.state.objects import ServiceClass
from siskinward.state.objects import ShiftCap

SETTINGS = ShareSettings()
LINK = LinkBytes("d0-d1")
RETRIES = RetryTokens(ServiceName("listings"))
CAP = ShiftShare("listings-cap")


def full_configuration() -> Configuration:
    service = Service(RETRIES.service, ServiceClass.READ)
    link = Link(LINK.link, RegionName("r-d0"), RegionName("r-d1"), 8e6, 12.0)
    cap = ShiftCap(CAP.shift_cap, service.name, share_limit=0.05, interval_s=60.0)
    return evolve(
        make_configuration(),
        services={service.name: service},
        links={link.name: link},
        shift_caps={cap.name: cap},
    )


@pytest.mark.parametrize(
    ("domains", "burst", "issuing"),
    [(20, 5, 1), (20, 25, 2), (20, 1000, 20), (6, 200, 6), (1, 3, 1), (3, 2, 1)],
)
def test_parts_are_whole_tokens_and_never_exceed_the_limit(
    domains: int, burst: int, issuing: int
) -> None:
    configuration = make_configuration(domains, rate_per_s=33.3, burst_tokens=burst)
    limit = limits_of(configuration, SETTINGS)[ACCOUNT]
    parts = [limit.part_of(domain) for domain in configuration.failure_domains]
    assert sum(part.burst_micro for part in parts) == burst * MICRO_PER_UNIT
    assert sum(part.rate_micro_per_s for part in parts) <= limit.rate_micro_per_s
    assert all(part.burst_micro % MICRO_PER_UNIT == 0 for part in parts)
    assert sum(part.burst_micro > 0 for part in parts) == issuing


def test_shift_cap_holds_in_any_interval() -> None:
    limit = limits_of(full_configuration(), SETTINGS)[CAP]
    most = limit.burst_micro + limit.rate_micro_per_s * 60.0
    assert most <= 0.05 * SHARE_UNITS * MICRO_PER_UNIT


def test_limit_without_issuers_refuses() -> None:
    link = Link("nowhere", RegionName("empty"), RegionName("r-d1"), 8e6, 12.0)
    configuration = evolve(make_configuration(), links={link.name: link})
    fleet = Fleet(Random(1), configuration=configuration)
    pool = next(iter(fleet.nodes.values())).pool
    assert not pool.spend(LinkBytes(link.name), 1, fleet.now_s)
    assert isinstance(pool.reserve(LinkBytes(link.name), 1, fleet.now_s), Refused)


def test_link_bytes_are_issued_in_the_sending_region() -> None:
    limit = limits_of(full_configuration(), SETTINGS)[LINK]
    assert limit.domains == ("d0",)


@pytest.mark.parametrize(
    ("key", "units", "rate_per_s", "burst"),
    [
        (RETRIES, 1, SETTINGS.retry_rate_per_s, SETTINGS.retry_burst_tokens),
        (LINK, 1000, 800_000.0, 80_000),
    ],
)
def test_other_resources_stay_within_their_limit_over_the_fleet(
    key: ResourceKey, units: int, rate_per_s: float, burst: int
) -> None:
    settings = evolve(SETTINGS, growth_delay_s=0.0)
    fleet = Fleet(Random(5), configuration=full_configuration(), settings=settings)
    spends: list[tuple[float, int]] = []
    for _ in range(400):
        fleet.now_s += 0.02
        for vm, node in fleet.nodes.items():
            domain = node.own.failure_domain
            if fleet.holders[domain] == vm:
                node.issuer.on_grant(True, fleet.epochs[domain], fleet.now_s)
            fleet.enqueue(node, node.pool.on_timer(fleet.now_s))
            for _ in range(10):
                if node.pool.spend(key, units, fleet.now_s):
                    spends.append((fleet.now_s, units))
            fleet.enqueue(node, node.pool.take_effects())
        fleet.deliver_in_flight(loss=0.1, duplication=0.1)
    assert excess_tokens(spends, rate_per_s, burst) == 0.0
    # Six seconds after settling, with 10 % of the messages lost: at least half of the rate.
    assert sum(amount for _, amount in spends) >= 0.5 * 6.0 * rate_per_s


@pytest.mark.parametrize("key", [ACCOUNT, LINK, RETRIES, CAP])
def test_messages_survive_conversion(key: ResourceKey) -> None:
    message = TokenRecall(key)
    assert cattrs.structure(cattrs.unstructure(message), TokenRecall) == message
