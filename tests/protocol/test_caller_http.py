"""Headers that reach a target, detection of exposed keys, and rendering of refusals."""

from __future__ import annotations

import json
from urllib.parse import quote

import pytest
from hypothesis import given
from hypothesis import strategies as st

from siskinward.coordination.outcomes import NotRun
from siskinward.coordination.outcomes import RefusalReason
from siskinward.coordination.outcomes import Unknown
from siskinward.protocol.caller_http import contains_key
from siskinward.protocol.caller_http import parse_caller_headers
from siskinward.protocol.caller_http import render_outcome
from siskinward.protocol.target_http import FORWARDED_REQUEST_HEADERS
from siskinward.protocol.target_http import target_headers
from siskinward.state.identifiers import ServiceName
from siskinward.state.objects import Service
from siskinward.state.objects import ServiceClass

SERVICE = Service(ServiceName("listings"), ServiceClass.READ, timeout_s=5.0)
KEY = "demo-alpha"
HEADER_NAMES = st.sampled_from(
    [b"authorization", b"cookie", b"x-api-key", b"x-forwarded-for", b"te", b"accept", b"user-agent"]
)


@given(st.lists(st.tuples(HEADER_NAMES, st.binary(max_size=20)), max_size=8))
def test_target_headers_hold_only_allowed_names(headers: list[tuple[bytes, bytes]]) -> None:
    sent = target_headers(tuple(headers), "alpha", "run-1", 1.0)
    added = {b"x-deadline-ms", b"x-client-account", b"idempotency-key"}
    assert {name for name, _ in sent} <= FORWARDED_REQUEST_HEADERS | added
    assert (b"x-client-account", b"alpha") in sent


@given(st.sampled_from(["target", "escaped", "header", "body"]), st.text(max_size=10))
def test_a_key_anywhere_is_found(part: str, padding: str) -> None:
    text = f"{padding}{KEY}{padding}"
    target = "/listings"
    headers: tuple[tuple[bytes, bytes], ...] = ()
    body = b""
    match part:
        case "target":
            target = f"/listings?q={quote(padding)}{KEY}"
        case "escaped":
            target = "/listings?q=" + "".join(f"%{byte:02x}" for byte in text.encode())
        case "header":
            headers = ((b"user-agent", text.encode()),)
        case "body":
            body = text.encode()
    assert contains_key(target, headers, body, KEY)


@pytest.mark.parametrize(
    ("headers", "reason"),
    [
        (((b"authorization", b"Bearer a"), (b"authorization", b"Bearer b")), "malformed"),
        (((b"x-deadline-ms", b"-1"),), "malformed"),
        (((b"x-deadline-ms", b"1e3"),), "malformed"),
        (((b"idempotency-key", b""),), "ticket-invalid"),
        (((b"idempotency-key", b"x" * 5000),), "ticket-invalid"),
        (((b"idempotency-key", b"\xff"),), "ticket-invalid"),
    ],
)
def test_caller_headers_refuse(headers: tuple[tuple[bytes, bytes], ...], reason: str) -> None:
    assert parse_caller_headers(headers, SERVICE).error.value == reason


def test_deadline_never_exceeds_the_service_timeout() -> None:
    parsed = parse_caller_headers(((b"x-deadline-ms", b"999999"),), SERVICE)
    assert parsed.ok.deadline_s == SERVICE.timeout_s


@pytest.mark.parametrize("reason", list(RefusalReason))
def test_refusals_say_whether_the_request_ran(reason: RefusalReason) -> None:
    not_run = render_outcome(NotRun(reason, 0.4))
    assert json.loads(not_run.body)["outcome"] == "not-run"
    assert json.loads(not_run.body)["retry_after_ms"] == 400
    assert (b"retry-after", b"1") in not_run.headers
    unknown = render_outcome(Unknown(reason))
    assert json.loads(unknown.body) == {"refused": reason.value, "outcome": "unknown"}
    assert 400 <= not_run.status < 600
