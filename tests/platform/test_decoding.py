"""Decoding of the platform's documents; errors name the object and the field."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING
from typing import Any

import pytest

from siskinward.platform._configuration import decode_configuration
from siskinward.platform._settings import SettingsError
from siskinward.platform._settings import SettingsFile
from siskinward.platform._targets import decode_target
from siskinward.platform._units import DecodeError
from siskinward.platform._units import read_duration_s
from siskinward.platform.standins import render_settings
from siskinward.state.serving import Repeatability
from siskinward.state.serving import ServingIndex

if TYPE_CHECKING:
    from pathlib import Path

ROUTE: dict[str, Any] = {
    "type": "routes",
    "metadata": {"name": "r-1"},
    "spec": {
        "host": "Jepu9.example",
        "prefix": "/lepu270/",
        "route_type": "safe",
        "timeout": "1500ms",
        "target_latency": "0.4s",
        "priority": 2,
        "traffic_split": [
            {"service": "huvo11a", "weight": 90},
            {"service": "kafi81c", "weight": 10},
        ],
        "max_attempts": 2,
        "allowed_regions": ["debrecen"],
    },
}
ENTRY: dict[str, Any] = {
    "address": "10.128.0.9:8080",
    "born": 1779973728046,
    "info": {"service": "huvo11a", "version": "v1", "zone": "bud-a", "slots": 3},
    "status": {"state": "ready", "seq": 4, "warmup_left": "1500ms"},
}


def configuration_of(*resources: dict[str, Any]) -> bytes:
    return json.dumps({"version": "r12", "resources": list(resources)}).encode()


def test_configuration_is_decoded_with_units() -> None:
    limits = {
        "type": "limits",
        "metadata": {},
        "spec": {
            "max_header_bytes": 16384,
            "max_body_bytes": 1024,
            "header_timeout": "3s",
            "idle_timeout": "15000ms",
        },
    }
    configuration = decode_configuration(configuration_of(ROUTE, limits))
    (route,) = configuration.routes
    assert configuration.version == 12
    assert route.repeatability is Repeatability.IDEMPOTENT
    assert (route.timeout_s, route.latency_objective_s) == (1.5, 0.4)
    assert [part.weight for part in route.services] == [90, 10]
    assert configuration.limits.idle_timeout_s == 15.0


def test_route_of_another_type_runs_at_most_once() -> None:
    spec = {**ROUTE["spec"], "route_type": "unsafe"}
    (route,) = decode_configuration(configuration_of({**ROUTE, "spec": spec})).routes
    assert route.repeatability is Repeatability.AT_MOST_ONCE


def test_index_matches_the_longest_prefix_of_the_host() -> None:
    longer = {
        **ROUTE,
        "metadata": {"name": "r-2"},
        "spec": {**ROUTE["spec"], "prefix": "/lepu270/inner/"},
    }
    index = ServingIndex(decode_configuration(configuration_of(ROUTE, longer)))
    names = [
        route.name if route else None
        for route in (
            index.route_of("jepu9.example", "/lepu270/inner/2f?x=/lepu270/"),
            index.route_of("JEPU9.example:8206", "/lepu270/2f"),
            index.route_of("jepu9.example", "/lepu270"),
            index.route_of("other.example", "/lepu270/2f"),
        )
    ]
    assert names == ["r-2", "r-1", None, None]


@pytest.mark.parametrize(
    ("field", "value", "where"),
    [
        ("timeout", 1500, "route r-1.timeout"),
        ("timeout", "soon", "route r-1.timeout"),
        ("prefix", None, "route r-1.prefix"),
        ("max_attempts", "2", "route r-1.max_attempts"),
    ],
)
def test_configuration_error_names_object_and_field(field: str, value: object, where: str) -> None:
    broken = {**ROUTE, "spec": {**ROUTE["spec"], field: value}}
    with pytest.raises(DecodeError, match=where):
        decode_configuration(configuration_of(broken))


def test_target_is_decoded() -> None:
    record = decode_target("i-1", json.dumps(ENTRY).encode())
    assert (record.address, record.slots, record.is_ready) == ("10.128.0.9:8080", 3, True)
    assert record.warmup_left_s == 1.5


@pytest.mark.parametrize(
    "entry",
    [
        b"\xff\xfe",
        b"[]",
        b"{}",
        json.dumps({**ENTRY, "address": "nowhere"}).encode(),
        json.dumps({**ENTRY, "status": {**ENTRY["status"], "state": "dancing"}}).encode(),
        json.dumps({**ENTRY, "status": {**ENTRY["status"], "seq": "4"}}).encode(),
        json.dumps({**ENTRY, "info": {**ENTRY["info"], "slots": 0}}).encode(),
        json.dumps({**ENTRY, "info": {**ENTRY["info"], "service": 7}}).encode(),
    ],
)
def test_unreadable_target_is_rejected(entry: bytes) -> None:
    with pytest.raises(DecodeError, match="target i-1"):
        decode_target("i-1", entry)


SETTINGS = render_settings(
    "vm-1",
    "10.1.0.8",
    "bud-a",
    {"bud-a": "budapest"},
    "10.200.1.7",
    ["drain=2000ms", "quota_slack=20", "some_new_bound=7"],
)


def test_settings_file_is_read(tmp_path: Path) -> None:
    file = tmp_path / "node.toml"
    file.write_text(SETTINGS)
    settings = SettingsFile(file).read()
    assert settings.vm == "vm-1"
    assert settings.bounds.drain_s == 2.0
    assert settings.bounds.quota_slack_requests == 20.0


def test_settings_errors_are_reported_all_at_once(tmp_path: Path) -> None:
    file = tmp_path / "node.toml"
    text = SETTINGS.replace('front = "10.1.0.8:8206"', 'front = "here"')
    text = text.replace("drain=2000ms", "drain=soon").replace('zone = "bud-a"', 'zone = "deb-a"')
    file.write_text(text.replace('node_name = "vm-1"', "node_name = 7"))
    with pytest.raises(SettingsError) as raised:
        SettingsFile(file).read()
    places = {error.peer.removeprefix(f"{file}: ") for error in raised.value.all_errors}
    expected = {"node_name", "zone", "listen.front", "bounds.drain"}
    assert places == {f"settings.{name}" for name in expected}
    assert all(str(file) in line for line in str(raised.value).splitlines())


def test_settings_file_that_is_not_toml_is_named(tmp_path: Path) -> None:
    file = tmp_path / "node.toml"
    file.write_text("node_name = ")
    with pytest.raises(SettingsError, match=r"node\.toml"):
        SettingsFile(file).read()


def test_settings_file_change_is_detected(tmp_path: Path) -> None:
    file = tmp_path / "node.toml"
    file.write_text(SETTINGS)
    source = SettingsFile(file)
    source.read()
    assert not source.has_changed()
    file.write_text(SETTINGS.replace("2000ms", "3000ms"))
    assert source.has_changed()
    source.read()
    assert not source.has_changed()
    file.unlink()
    assert not source.has_changed()


@pytest.mark.parametrize(("text", "seconds"), [("1500ms", 1.5), ("2.5s", 2.5), ("0ms", 0.0)])
def test_durations_are_parsed_with_their_unit(text: str, seconds: float) -> None:
    assert read_duration_s(text, "field") == pytest.approx(seconds)
