"""Errors of a configuration: all reported at once, with object, field, value and allowed values."""

from __future__ import annotations

from pathlib import Path

import pytest

from siskinward.state.configuration import ConfigurationError
from siskinward.state.configuration import load_configuration
from siskinward.state.configuration import parse_configuration

EXAMPLE = (Path(__file__).parents[2] / "examples" / "orgonahaz.ini").read_text(encoding="utf-8")
ACCOUNT = "[client-account a]\nrate_per_s = 1\nburst_tokens = 1"
ROUTE = "[route r]\nservice = listings\npath_prefix = /x\nmethods = GET"
VM = "[vm v]\nfailure_domain = pecs-1\nhost = 127.0.0.1\nfront_port = 8\npeer_port = 9"
TARGET = """[target t]
group = archive-pecs-1
host = 127.0.0.1
port = 9
slots = 1
connection_limit = 1"""
LINK = """[link l]
from_region = pecs
to_region = budapest
capacity_bits_per_s = 1
one_way_latency_ms = 1"""
LIMIT = "[region-limit l]\nregion = r\nservice = listings\ncapacity_per_s = 1"
CAP = "[shift-cap c]\nservice = listings\nshare_limit = 1\ninterval_s = 1"


def errors_of(text: str) -> tuple[ConfigurationError, ...]:
    result = parse_configuration(text, "site.ini")
    return () if result.is_ok() else result.error.errors


def places(text: str) -> list[tuple[str, str]]:
    return [(error.object, error.field) for error in errors_of(text)]


def test_all_faults_are_reported_at_once() -> None:
    faulty_sections = """
[target broken]
group = nowhere
host = example.org
port = 70000
slots = 0
connection_limit = many
colour = red
[key stray]
client_account = nobody
key_hash_hex = 00
[turnip x]
"""
    assert places(EXAMPLE + faulty_sections) == [
        ("target broken", "colour"),
        ("target broken", "host"),
        ("target broken", "port"),
        ("target broken", "slots"),
        ("target broken", "connection_limit"),
        ("key stray", "key_hash_hex"),
        ("turnip x", ""),
        ("target broken", "group"),
        ("key stray", "client_account"),
    ]


def test_error_names_file_object_field_value_and_allowed() -> None:
    (error,) = errors_of(EXAMPLE.replace("slots = 6", "slots = 0", 1))
    assert str(error) == (
        "site.ini: [target archive-budapest-1-1] slots = '0'; allowed: a whole number at least 1"
    )


@pytest.mark.parametrize(
    ("section", "place"),
    [
        ("[region budapest]", ("region budapest", "")),
        ("[region -x]", ("region -x", "name")),
        ("[region a]\n[region  a]", ("region  a", "name")),
        (ACCOUNT.replace("rate_per_s = 1", "rate_per_s = -1"), ("client-account a", "rate_per_s")),
        (ACCOUNT.replace("rate_per_s = 1", "rate_per_s = nan"), ("client-account a", "rate_per_s")),
        (ACCOUNT.replace("tokens = 1", "tokens = 1_0"), ("client-account a", "burst_tokens")),
        (ACCOUNT.replace("rate_per_s = 1", ""), ("client-account a", "rate_per_s")),
        (ROUTE.replace("/x", "/listings"), ("route r", "path_prefix")),
        (ROUTE.replace("/x", "x"), ("route r", "path_prefix")),
        (ROUTE.replace("GET", "get"), ("route r", "methods")),
        (ROUTE + "\nidempotent = no", ("route r", "idempotent")),
        ("[service s]\nservice_class = read", ("service s", "")),
        (VM.replace("8", "17001"), ("vm v", "front_port")),
        (VM.replace("8", "9"), ("vm v", "peer_port")),
        (TARGET.replace("9", "17201"), ("target t", "port")),
        ("[site s]\nfailure_domain = gone", ("site s", "failure_domain")),
        (
            "[failure-domain d]\nregion = pecs\n[site s]\nfailure_domain = d",
            ("failure-domain d", ""),
        ),
        ("[client-block b]\nprefix = 10.1.2.3/16\nsite = pecs-1", ("client-block b", "prefix")),
        ("[client-block b]\nprefix = 10.1.0.0/16\nsite = pecs-1", ("client-block b", "prefix")),
        ("[drain d]\nkind = target\nsubject = pecs", ("drain d", "subject")),
        (LINK, ("link l", "to_region")),
        (LINK.replace("budapest", "pecs"), ("link l", "to_region")),
        (f"[region r]\n{LIMIT}", ("region-limit l", "service")),
        (CAP, ("shift-cap c", "service")),
    ],
)
def test_single_fault_is_named(section: str, place: tuple[str, str]) -> None:
    assert set(places(f"{EXAMPLE}\n{section}\n")) == {place}


def test_drains_must_leave_each_service_a_target() -> None:
    regions = ("budapest", "debrecen", "pecs")
    drains = [f"[drain {name}]\nkind = region\nsubject = {name}\n" for name in regions]
    assert places("\n".join([EXAMPLE, *drains[:2]])) == []
    assert places("\n".join([EXAMPLE, *drains])) == [
        ("service archive", ""),
        ("service bookings", ""),
        ("service listings", ""),
    ]


def test_duplicate_key_is_a_fault() -> None:
    hash_line = next(line for line in EXAMPLE.splitlines() if line.startswith("key_hash_hex"))
    section = f"\n[key again]\nclient_account = parish-guild\n{hash_line}\n"
    assert places(EXAMPLE + section) == [("key again", "key_hash_hex")]


def test_syntax_faults_do_not_hide_later_faults() -> None:
    text = f"stray\n{EXAMPLE}\n[region north]\nodd\ndomain_latency_ms = -1\n"
    assert places(text) == [
        ("line 1", ""),
        (f"line {text.count(chr(10)) - 1}", ""),
        ("region north", "domain_latency_ms"),
    ]


def test_faulty_object_does_not_make_references_to_it_dangle() -> None:
    text = EXAMPLE.replace("service_class = bulk", "service_class = slow")
    assert places(text) == [("service archive", "service_class")]


@pytest.mark.parametrize("content", [None, b"\xff\xfe"])
def test_unreadable_file_is_an_error(tmp_path: Path, content: bytes | None) -> None:
    path = tmp_path / "site.ini"
    if content is not None:
        path.write_bytes(content)
    (error,) = load_configuration(path).error.errors
    assert (error.file, error.object) == (str(path), "file")
