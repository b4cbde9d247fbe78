"""Settings of a process."""

from __future__ import annotations

import pytest

from siskinward.state.settings import LogLevel
from siskinward.state.settings import parse_settings

VALID = """
[node]
vm = entry-1
failure_domain = budapest-1
host = 127.0.0.1
front_port = 17001
peer_port = 17101
[platform]
host = 127.0.0.1
port = 17000
[peers]
shared_secret = not-for-production
seeds = 127.0.0.1:17102 127.0.0.1:17103
[log]
level = warning
"""


def test_settings_are_read_with_defaults() -> None:
    settings = parse_settings(VALID, "node.ini").ok
    assert settings.node.vm == "entry-1"
    assert settings.peers.seeds == ("127.0.0.1:17102", "127.0.0.1:17103")
    assert settings.log.level is LogLevel.WARNING
    assert settings.limits.body_bytes > 0


def test_shared_secret_is_not_shown() -> None:
    assert "not-for-production" not in repr(parse_settings(VALID, "node.ini").ok)


@pytest.mark.parametrize(
    ("text", "places"),
    [
        ("", [("node", ""), ("platform", ""), ("peers", "")]),
        (VALID.replace("17101", "17001"), [("node", "peer_port")]),
        (VALID.replace("warning", "loud\nsize = 1"), [("log", "size"), ("log", "level")]),
        (VALID + "[vm x]\n", [("vm x", "")]),
        (
            VALID.replace("seeds =", "tls_key_path = /key.pem\nseeds ="),
            [("peers", "tls_certificate_path"), ("peers", "tls_ca_path")],
        ),
    ],
)
def test_faulty_settings_are_named(text: str, places: list[tuple[str, str]]) -> None:
    errors = parse_settings(text, "node.ini").error.errors
    assert [(error.object, error.field) for error in errors] == places
