"""Property tests: any text is parsed without an exception, and valid sets round-trip."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from siskinward.state.configuration import load_configuration
from siskinward.state.configuration import parse_configuration
from siskinward.state.configuration import render_configuration
from siskinward.state.objects import ClientAccount
from siskinward.state.objects import Configuration
from siskinward.state.objects import FailureDomain
from siskinward.state.objects import Region
from siskinward.state.objects import Vm
from siskinward.state.objects import WhenIsolated
from siskinward.state.settings import parse_settings

EXAMPLES = sorted((Path(__file__).parents[2] / "examples").glob("*.ini"))
KINDS = ("vm", "key", "route", "target", "drain", "service", "client-account", "DEFAULT")

names = st.from_regex(r"[A-Za-z0-9][A-Za-z0-9._-]{0,20}", fullmatch=True)
rates = st.floats(min_value=0, allow_nan=False, allow_infinity=False)
weights = st.floats(min_value=0, exclude_min=True, allow_nan=False, allow_infinity=False)
counts = st.integers(min_value=1, max_value=10**9)
lines = st.one_of(
    st.text(),
    st.builds("[{} {}]".format, st.sampled_from(KINDS), st.text(max_size=4)),
    st.builds("{} = {}".format, st.sampled_from(("host", "port", "methods", "slots")), st.text()),
    st.builds("  {}".format, st.text()),
)


@st.composite
def configurations(draw: Any) -> Configuration:
    regions = draw(st.sets(names, min_size=1, max_size=4))
    domains = draw(st.dictionaries(names, st.sampled_from(sorted(regions)), min_size=1, max_size=4))
    domain_names = st.sampled_from(sorted(domains))
    accounts = draw(
        st.lists(
            st.builds(
                ClientAccount,
                name=names,
                rate_per_s=rates,
                burst_tokens=counts,
                weight=weights,
                when_isolated=st.sampled_from(WhenIsolated),
                home_domain=st.none() | domain_names,
            ),
            max_size=4,
        )
    )
    vms = [
        Vm(name, draw(domain_names), str(draw(st.ip_addresses())), 2 * number + 1, 2 * number + 2)
        for number, name in enumerate(sorted(draw(st.sets(names, max_size=4))))
    ]
    return Configuration(
        regions={name: Region(name, draw(rates), draw(rates)) for name in sorted(regions)},
        failure_domains={name: FailureDomain(name, domains[name]) for name in domains},
        vms={vm.name: vm for vm in vms},
        client_accounts={account.name: account for account in accounts},
    )


@given(configurations())
def test_valid_configuration_round_trips(configuration: Configuration) -> None:
    text = render_configuration(configuration)
    parsed = parse_configuration(text, "site.ini").ok
    assert parsed == configuration
    assert render_configuration(parsed) == text


@given(st.lists(lines, max_size=12).map("\n".join))
def test_any_text_is_parsed_without_an_exception(text: str) -> None:
    for result in (parse_configuration(text, "site.ini"), parse_settings(text, "node.ini")):
        assert result.is_ok() or result.error.errors


@pytest.mark.parametrize("path", EXAMPLES, ids=lambda path: path.stem)
def test_example_round_trips(path: Path) -> None:
    configuration = load_configuration(path).ok
    assert parse_configuration(render_configuration(configuration), "site.ini").ok == configuration


@pytest.mark.parametrize(
    ("example", "connection_limit", "targets", "slots"),
    [
        ("orgonahaz", 330, {"listings": 12, "bookings": 12, "archive": 14}, (3, 3, 6)),
        ("liit", 390, {"catalogue": 12, "payments": 12, "certificates": 20}, (3, 3, 4)),
    ],
)
def test_example_has_the_stated_sizes(
    example: str, connection_limit: int, targets: dict[str, int], slots: tuple[int, ...]
) -> None:
    path = next(path for path in EXAMPLES if path.stem == example)
    configuration = load_configuration(path).ok
    assert (len(configuration.regions), len(configuration.failure_domains)) == (3, 6)
    assert len(configuration.client_accounts) == 8
    assert 8 <= len(configuration.vms) <= 11
    assert {link.capacity_bits_per_s for link in configuration.links.values()} == {4e9}
    services = {g.name: g.service for g in configuration.target_groups.values()}
    for (service, count), slot_count in zip(targets.items(), slots, strict=True):
        found = [t for t in configuration.targets.values() if services[t.group] == service]
        assert len(found) == count
        assert {(t.slots, t.connection_limit) for t in found} == {(slot_count, connection_limit)}
