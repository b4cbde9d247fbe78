"""Traces: what is accepted, what is rejected, and that a violation names its trace lines."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from siskinward.standins.replay import find_violations
from siskinward.standins.replay import load_expectations
from siskinward.standins.replay import load_trace
from siskinward.standins.replay import replay
from siskinward.standins.replay._trace import KINDS
from siskinward.standins.replay._trace import parse_trace
from siskinward.state.configuration import load_configuration

EXAMPLES = Path(__file__).parents[2] / "examples"
TRACES = sorted((EXAMPLES / "traces").glob("*.jsonl"))
HEAD = json.dumps({"kind": "deployment", "configuration": "../orgonahaz.ini", "duration_s": 4})
PLACE = Path("trace.jsonl")
VALUES = st.none() | st.booleans() | st.integers() | st.text(max_size=5) | st.floats()


@pytest.mark.parametrize("path", TRACES, ids=lambda path: path.stem)
def test_shipped_trace_and_its_outcomes_are_readable(path: Path) -> None:
    assert load_trace(path).is_ok()
    assert load_expectations(path.with_suffix("").with_suffix(".expect.json")).is_ok()


@given(st.text(max_size=200))
def test_any_text_is_read_without_an_exception(text: str) -> None:
    parse_trace(text, PLACE)


@given(
    st.sampled_from(sorted(KINDS)),
    st.dictionaries(st.sampled_from(["at_s", "account", "vm", "domains"]), VALUES),
)
def test_any_fields_are_read_without_an_exception(kind: str, fields: dict[str, Any]) -> None:
    parsed = parse_trace(f"{HEAD}\n{json.dumps({'kind': kind, **fields})}", PLACE)
    if parsed.is_error():
        assert parsed.error.peer == "trace.jsonl:2"


@pytest.mark.parametrize(
    ("line", "detail"),
    [
        ("nonsense", "not JSON"),
        ("[]", "expected an object"),
        ('{"kind": "absent"}', "allowed: deployment"),
        ('{"kind": "cut", "at_s": 1, "domain": "a"}', "unknown field domain"),
        ('{"kind": "request", "at_s": "x", "account": "a", "service": "s"}', "expected float"),
        (HEAD, "only the first line"),
    ],
)
def test_faulty_line_is_named(line: str, detail: str) -> None:
    error = parse_trace(f"{HEAD}\n{line}", PLACE).error
    assert error.peer == "trace.jsonl:2"
    assert detail in error.detail


def _run(paused_kernel: Any, lines: list[dict[str, Any]]) -> Any:
    text = "\n".join([HEAD, *(json.dumps(line) for line in lines)])
    trace = parse_trace(text, PLACE).ok
    configuration = load_configuration(EXAMPLES / "orgonahaz.ini").ok
    return paused_kernel.run(replay, trace, configuration)


def test_replay_reports_only_expectations_that_are_not_met(
    paused_kernel: Any, tmp_path: Path
) -> None:
    request = {"kind": "request", "account": "parish-guild", "service": "listings"}
    result = _run(
        paused_kernel,
        [
            {**request, "at_s": 0.1},
            {**request, "at_s": 0.2, "account": "nobody"},
            {**request, "at_s": 0.3, "service": "bookings", "method": "POST", "ticket": "t"},
            {**request, "at_s": 0.4, "service": "bookings", "method": "POST", "ticket": "t"},
        ],
    )
    expectations = [
        {"kind": "share", "outcome": "answered", "account": "parish-guild", "at_least": 1.0},
        {"kind": "share", "outcome": "answered", "at_least": 1.0},
        {"kind": "rate", "account": "parish-guild"},
    ]
    path = tmp_path / "expectations.json"
    path.write_text(json.dumps(expectations), encoding="utf-8")
    violations = find_violations(result, load_expectations(path).ok)
    assert [item.lines for item in violations] == [(3,)]
    assert "trace lines 3" in str(violations[0])


def test_replay_reports_a_second_run(paused_kernel: Any) -> None:
    request = {"kind": "request", "account": "parish-guild", "service": "bookings"}
    result = _run(paused_kernel, [{**request, "at_s": 0.1, "method": "POST", "ticket": "t"}])
    (ticket,) = result.tickets.values()
    next(iter(result.targets.values())).runs_by_id[ticket] = 1
    violations = find_violations(result, ())
    assert [item.expectation for item in violations] == ["at most once"]
    assert violations[0].lines == (2,)
