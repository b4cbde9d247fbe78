"""Property tests: any text is parsed without an exception, and valid sets round-trip."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING

import pytest
from fakes.configurations import configurations
from hypothesis import given
from hypothesis import strategies as st

from siskinward.state.configuration import apply_delta
from siskinward.state.configuration import load_configuration
from siskinward.state.configuration import parse_configuration
from siskinward.state.configuration import render_configuration
from siskinward.state.configuration import section_delta
from siskinward.state.settings import parse_settings

if TYPE_CHECKING:
    from siskinward.state.objects import Configuration

EXAMPLES = sorted((Path(__file__).parents[2] / "examples").glob("*.ini"))
KINDS = ("vm", "key", "route", "target", "drain", "service", "client-account", "DEFAULT")

lines = st.one_of(
    st.text(),
    st.builds("[{} {}]".format, st.sampled_from(KINDS), st.text(max_size=4)),
    st.builds("{} = {}".format, st.sampled_from(("host", "port", "methods", "slots")), st.text()),
    st.builds("  {}".format, st.text()),
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


@given(configurations(), configurations())
def test_section_delta_leads_from_one_configuration_to_the_other(
    old: Configuration, new: Configuration
) -> None:
    old_text, new_text = render_configuration(old), render_configuration(new)
    parsed_old = parse_configuration(old_text, "old").ok
    parsed_new = parse_configuration(new_text, "new").ok
    result = apply_delta(parsed_old, section_delta(old_text, new_text), "delta")
    assert result.ok == parsed_new
