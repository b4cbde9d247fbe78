"""Reads traces: JSON lines, of which the first describes the deployment and the others events.

Each line is an object; ``kind`` selects one of the classes below, the other members are its fields.
Times are seconds from the start of the replay. docs/REPLAY.md describes the format.
"""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import attrs
from attrs import frozen
from cattrs import Converter
from cattrs.errors import BaseValidationError
from expression import Error
from expression import Ok
from expression import Result

from siskinward.state.errors import StepError


@frozen
class DeploymentLine:
    """Path of the configuration, relative to the trace, and settings of the stand-ins."""

    configuration: str
    seed: int = 1
    service_time_ms: float = 20.0
    cold_requests: int = 0
    duration_s: float = 20.0


@frozen
class RequestLine:
    """One request on the first route of ``service`` that allows ``method``."""

    at_s: float
    account: str
    service: str
    method: str = "GET"
    client: str = "10.0.0.1"
    vm: str = ""
    ticket: str = ""
    body: str = "{}"
    deadline_ms: float = 5000.0


@frozen
class LoadLine:
    """Requests of one client account with random (Poisson) arrivals until ``until_s``."""

    at_s: float
    until_s: float
    account: str
    service: str
    rate_per_s: float
    method: str = "GET"
    client: str = "10.0.0.1"
    vm: str = ""


@frozen
class KeyWithdrawal:
    """An operator withdraws all keys of a client account."""

    at_s: float
    account: str


@frozen
class DrainStart:
    """An operator drains ``subject``; ``drain_kind`` is target, failure-domain or region."""

    at_s: float
    drain_kind: str
    subject: str


@frozen
class TargetState:
    """Sets a target's state: up, draining, shedding, silent or crashed."""

    at_s: float
    target: str
    state: str


@frozen
class ConnectionSilence:
    """Requests on connections that targets of a service have seen so far get no answer any more."""

    at_s: float
    service: str


@frozen
class StoreFault:
    """Sets faults of the platform's store: an outage, a delay, or answers lost after a write."""

    at_s: float
    is_out: bool = False
    delay_s: float = 0.0
    lost_answers: int = 0


@frozen
class Cut:
    """Failure domains are cut off from all others, and with ``from_platform`` from the platform.

    It replaces the previous cut; without domains it ends it.
    """

    at_s: float
    domains: tuple[str, ...] = ()
    from_platform: bool = False


@frozen
class VmEvent:
    """A VM is killed, started, stopped gracefully, or paused for ``duration_s``."""

    at_s: float
    vm: str
    event: str
    duration_s: float = 0.0


TraceEvent = (
    RequestLine
    | LoadLine
    | KeyWithdrawal
    | DrainStart
    | TargetState
    | ConnectionSilence
    | StoreFault
    | Cut
    | VmEvent
)

KINDS: dict[str, type] = {
    "deployment": DeploymentLine,
    "request": RequestLine,
    "load": LoadLine,
    "withdraw-key": KeyWithdrawal,
    "drain": DrainStart,
    "target-state": TargetState,
    "silence": ConnectionSilence,
    "store-fault": StoreFault,
    "cut": Cut,
    "vm": VmEvent,
}


@frozen
class TraceLine:
    """An event with its line number."""

    number: int
    event: TraceEvent


@frozen
class Trace:
    """A whole trace; its configuration's path is relative to ``folder``."""

    deployment: DeploymentLine
    lines: tuple[TraceLine, ...]
    folder: Path


def load_trace(path: Path) -> Result[Trace, StepError]:
    """Read a trace; an error names the file, line and field."""
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        return Error(StepError("read trace", str(path), str(error)))
    return parse_trace(text, path)


def parse_trace(text: str, path: Path) -> Result[Trace, StepError]:
    """Parse the text of a trace; ``path`` is used in errors."""
    events: list[tuple[int, Any]] = []
    for number, row in enumerate(text.splitlines(), 1):
        if not row.strip():
            continue
        parsed = _parse_line(row, f"{path}:{number}")
        if parsed.is_error():
            return Error(parsed.error)
        events.append((number, parsed.ok))
    if not events or not isinstance(events[0][1], DeploymentLine):
        return Error(
            StepError("read trace", f"{path}:1", "the first line must have the kind deployment")
        )
    rest = events[1:]
    for number, event in rest:
        if isinstance(event, DeploymentLine):
            detail = "only the first line may have the kind deployment"
            return Error(StepError("read trace", f"{path}:{number}", detail))
    lines = tuple(TraceLine(number, event) for number, event in rest)
    return Ok(Trace(events[0][1], lines, path.parent))


def _parse_line(row: str, place: str) -> Result[Any, StepError]:
    try:
        fields = json.loads(row)
    except (ValueError, RecursionError) as error:
        return Error(StepError("read trace", place, f"not JSON: {error}"))
    if not isinstance(fields, dict):
        return Error(StepError("read trace", place, "expected an object"))
    kind = fields.pop("kind", None)
    line_class = KINDS.get(kind) if isinstance(kind, str) else None
    if line_class is None:
        allowed = ", ".join(KINDS)
        return Error(StepError("read trace", place, f"unknown kind {kind!r}; allowed: {allowed}"))
    unknown = fields.keys() - {field.name for field in attrs.fields(line_class)}
    if unknown:
        return Error(StepError("read trace", place, f"unknown field {min(unknown)} of {kind}"))
    try:
        return Ok(_converter.structure(fields, line_class))
    except (BaseValidationError, ValueError, TypeError, KeyError, OverflowError) as error:
        return Error(StepError("read trace", place, f"fields of {kind}: {error}"))


def _structure_exact(value: Any, expected: type) -> Any:
    is_number = expected is float and isinstance(value, int) and not isinstance(value, bool)
    if type(value) is not expected and not is_number:
        raise TypeError(f"expected {expected.__name__}, found {value!r}")
    return expected(value)


_converter = Converter(detailed_validation=False)
for _type in (str, int, float, bool):
    _converter.register_structure_hook(_type, _structure_exact)
