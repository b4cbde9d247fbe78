"""Checks the results of a replay against expectations and names the trace lines at fault."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING
from typing import Any

import attrs
from attrs import frozen
from cattrs import Converter
from cattrs.errors import BaseValidationError
from expression import Error
from expression import Ok
from hdrh.histogram import HdrHistogram

from siskinward.state.errors import StepError
from siskinward.state.identifiers import AccountName

if TYPE_CHECKING:
    from pathlib import Path

    from expression import Result

    from siskinward.standins.caller_record import CallerOutcome
    from siskinward.standins.replay._runner import ReplayResult

UNBOUNDED_S = 1e9
LIMIT_MICROSECONDS = 60_000_000
SIGNIFICANT_DIGITS = 3
WAIT_ALLOWANCE_S = 0.5
"""Longest time a request may wait for its token, which lets requests start closer together."""


@frozen
class ShareExpected:
    """The share of the selected requests with an outcome (and reason) lies within limits.

    An empty field selects all requests; ``from_s`` and ``to_s`` limit their start times.
    """

    outcome: str
    reason: str = ""
    account: str = ""
    service: str = ""
    ticket: str = ""
    from_s: float = 0.0
    to_s: float = UNBOUNDED_S
    at_least: float = 0.0
    at_most: float = 1.0


@frozen
class LatencyExpected:
    """A quantile of the answered requests' latency stays under a limit."""

    service: str
    quantile: float
    limit_ms: float
    from_s: float = 0.0
    to_s: float = UNBOUNDED_S


@frozen
class RateExpected:
    """In no window of the run is an account served more than burst + rate x window.

    Requests with an unknown outcome count as served; ``WAIT_ALLOWANCE_S`` adds some tolerance.
    """

    account: str


@frozen
class WrongfulExpected:
    """At most ``limit`` requests of an account within its rate are refused for their rate."""

    account: str
    limit: int = 0


@frozen
class LostTargetsExpected:
    """Targets crash at most ``limit`` times in total."""

    limit: int


Expectation = (
    ShareExpected | LatencyExpected | RateExpected | WrongfulExpected | LostTargetsExpected
)
KINDS: dict[str, type] = {
    "share": ShareExpected,
    "latency": LatencyExpected,
    "rate": RateExpected,
    "wrongful-refusals": WrongfulExpected,
    "lost-targets": LostTargetsExpected,
}


@frozen
class Violation:
    """A promise or expectation that was not met; ``lines`` are the trace lines at fault."""

    expectation: str
    seen: str
    lines: tuple[int, ...] = ()

    def __str__(self) -> str:
        lines = ", ".join(str(line) for line in self.lines[:5])
        return f"{self.expectation}: {self.seen}" + (f" (trace lines {lines})" if lines else "")


def load_expectations(path: Path) -> Result[tuple[Expectation, ...], StepError]:
    """Read expectations: a JSON list of objects, each with a ``kind`` and its fields."""
    try:
        items = json.loads(path.read_text(encoding="utf-8"))
    except (OSError, ValueError) as error:
        return Error(StepError("read outcomes", str(path), str(error)))
    if not isinstance(items, list):
        return Error(StepError("read outcomes", str(path), "expected a list"))
    found: list[Expectation] = []
    for number, fields in enumerate(items):
        place = f"{path}[{number}]"
        if not isinstance(fields, dict) or fields.get("kind") not in KINDS:
            return Error(
                StepError("read outcomes", place, f"kind must be one of {', '.join(KINDS)}")
            )
        expectation_class = KINDS[fields.pop("kind")]
        unknown = fields.keys() - {field.name for field in attrs.fields(expectation_class)}
        if unknown:
            return Error(StepError("read outcomes", place, f"unknown field {min(unknown)}"))
        try:
            found.append(Converter().structure(fields, expectation_class))
        except (BaseValidationError, ValueError, TypeError) as error:
            return Error(StepError("read outcomes", place, str(error)))
    return Ok(tuple(found))


def find_violations(result: ReplayResult, expectations: tuple[Expectation, ...]) -> list[Violation]:
    """Check the promises that hold for every trace, then the expectations."""
    violations = _check_promises(result)
    for expectation in expectations:
        violations.extend(_check(result, expectation))
    return violations


def _check(result: ReplayResult, expectation: Expectation) -> list[Violation]:
    match expectation:
        case ShareExpected():
            return _check_share(result, expectation)
        case LatencyExpected():
            return _check_latency(result, expectation)
        case RateExpected(account):
            return _check_rate(result, account)
        case WrongfulExpected(account, limit):
            tally = result.record.accounts.get(account)
            count = 0 if tally is None else tally.wrongful_count
            return [] if count <= limit else [Violation(str(expectation), f"{count} refused")]
        case LostTargetsExpected(limit):
            count = sum(target.crash_count for target in result.targets.values())
            return [] if count <= limit else [Violation(str(expectation), f"{count} crashes")]


def _check_share(result: ReplayResult, expected: ShareExpected) -> list[Violation]:
    selected = [item for item in result.record.outcomes if _is_selected(item, expected)]
    if not selected:
        return [Violation(str(expected), "no request was selected")]
    matching = [
        item
        for item in selected
        if item.outcome == expected.outcome and expected.reason in ("", item.reason)
    ]
    share = len(matching) / len(selected)
    if expected.at_least <= share <= expected.at_most:
        return []
    matched = {id(item) for item in matching}
    offending = matching
    if share < expected.at_least:
        offending = [item for item in selected if id(item) not in matched]
    seen = f"{len(matching)} of {len(selected)}"
    return [Violation(str(expected), seen, _line_numbers(offending))]


def _is_selected(item: CallerOutcome, expected: ShareExpected) -> bool:
    return (
        expected.account in ("", item.account)
        and expected.service in ("", item.service)
        and expected.ticket in ("", item.ticket)
        and expected.from_s <= item.start_s < expected.to_s
    )


def _check_latency(result: ReplayResult, expected: LatencyExpected) -> list[Violation]:
    histogram = HdrHistogram(1, LIMIT_MICROSECONDS, SIGNIFICANT_DIGITS)
    selected = [
        item
        for item in result.record.outcomes
        if (item.service, item.outcome) == (expected.service, "answered")
        and expected.from_s <= item.start_s < expected.to_s
    ]
    for item in selected:
        histogram.record_value(int((item.end_s - item.start_s) * 1e6))
    seen_ms = histogram.get_value_at_percentile(expected.quantile * 100) / 1000
    if selected and seen_ms <= expected.limit_ms:
        return []
    slow = [i for i in selected if (i.end_s - i.start_s) * 1000 > expected.limit_ms]
    return [Violation(str(expected), f"{seen_ms} ms of {len(selected)}", _line_numbers(slow))]


def _check_rate(result: ReplayResult, account: str) -> list[Violation]:
    limits = result.configuration.client_accounts[AccountName(account)]
    starts = sorted(
        item.start_s
        for item in result.record.outcomes
        if item.account == account and item.outcome in ("answered", "unknown")
    )
    # One pass finds the largest excess over all windows: it is the level of a leaky bucket.
    level, last_s = 0.0, 0.0
    for start_s in starts:
        level = max(level - (start_s - last_s) * limits.rate_per_s, 0.0) + 1.0
        last_s = start_s
        if level > limits.burst_tokens + 1.0 + limits.rate_per_s * WAIT_ALLOWANCE_S:
            return [Violation(f"rate of {account}", f"burst of {level:.0f} at {start_s:.1f} s")]
    return []


def _check_promises(result: ReplayResult) -> list[Violation]:
    violations = []
    targets = result.targets.values()
    over = [t.settings.name for t in targets if t.peak_count > t.settings.slots]
    if over:
        violations.append(Violation("slots", f"exceeded at {', '.join(over)}"))
    if any(target.key_seen_count for target in targets):
        violations.append(Violation("keys", "a target received a key"))
    runs = _runs_by_ticket(result)
    twice = [label for label, count in runs.items() if count > 1]
    if twice:
        lines = _line_numbers([i for i in result.record.outcomes if i.ticket in twice])
        violations.append(Violation("at most once", f"ran twice: {', '.join(twice)}", lines))
    violations.extend(_check_not_run(result, runs))
    return violations


def _runs_by_ticket(result: ReplayResult) -> dict[str, int]:
    labels = {ticket: label for label, ticket in result.tickets.items()}
    runs: dict[str, int] = {}
    for target in result.targets.values():
        for ticket, count in target.runs_by_id.items():
            label = labels.get(ticket, ticket)
            runs[label] = runs.get(label, 0) + count
    return runs


def _check_not_run(result: ReplayResult, runs: dict[str, int]) -> list[Violation]:
    by_ticket: dict[str, list[Any]] = {}
    for item in result.record.outcomes:
        if item.ticket:
            by_ticket.setdefault(item.ticket, []).append(item)
    falsely_refused = [
        item
        for label, items in by_ticket.items()
        if runs.get(label, 0) and all(i.outcome == "not-run" for i in items)
        for item in items
    ]
    return (
        [Violation("refused as not run", "the request ran", _line_numbers(falsely_refused))]
        if falsely_refused
        else []
    )


def _line_numbers(items: list[CallerOutcome]) -> tuple[int, ...]:
    return tuple(sorted({item.line for item in items}))
