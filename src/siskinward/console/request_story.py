"""Reads the logs of entry VMs and tells what happened to one request."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING
from typing import Any

from attrs import define
from attrs import field
from attrs import frozen

if TYPE_CHECKING:
    from collections.abc import Iterable

LINE_START = '{"at_s"'
REQUEST_KINDS = ("request-answered", "request-refused")
TARGET_KINDS = ("target", "target-gone", "target-unreached", "target-reached", "target-replaced")
STATE_KINDS = (
    "start",
    "stop",
    "reload",
    "ready",
    "configuration",
    "evacuation",
    "store-lost",
    "store-regained",
)
STOPPED_KIND = "stopped"
STATE_LINES = 6
TARGET_LINES = 2


@frozen
class LogLine:
    """One line of a VM's log."""

    vm: str
    at_s: float
    kind: str
    fields: dict[str, Any]


@define
class LogBook:
    """Lines by VM in the order read, and how many could not be read."""

    lines: list[LogLine] = field(factory=list)
    unreadable: int = 0
    left_out: int = 0

    def read(self, texts: Iterable[str]) -> None:
        """Take in log lines; what stands before the line's own start is skipped."""
        for text in texts:
            start = text.find(LINE_START)
            if start < 0:
                continue
            line = _parse(text[start:])
            if line is None:
                self.unreadable += 1
                continue
            self.left_out += int(line.fields.get("left_out", 0))
            self.lines.append(line)

    def requests(self, request_id: str) -> list[LogLine]:
        """The ends of a request; several if its id was used more than once."""
        return [
            line
            for line in self.lines
            if line.kind in REQUEST_KINDS and line.fields.get("id") == request_id
        ]

    def ended_by(self, reason: str) -> list[LogLine]:
        """The requests that ended for a reason, or with a status."""
        return [
            line
            for line in self.lines
            if line.kind in REQUEST_KINDS
            and reason in (line.fields.get("reason"), str(line.fields.get("status")))
        ]

    def sudden_ends(self) -> list[LogLine]:
        """The last line of each process that ended without saying so; a later start shows it."""
        last: dict[str, LogLine] = {}
        ends = []
        for line in self.lines:
            before = last.get(line.vm)
            if line.kind == "start" and before is not None and before.kind != STOPPED_KIND:
                ends.append(before)
            last[line.vm] = line
        return ends

    def reasons(self) -> list[str]:
        """Every reason that a request ended for."""
        return sorted({line.fields["reason"] for line in self.lines if "reason" in line.fields})

    def beliefs_before(self, request: LogLine) -> list[LogLine]:
        """What the VM last learnt of itself, the store and the targets that it sent to."""
        targets = {send["target"] for send in request.fields.get("sends", ())}
        earlier = self._same_start(request)
        chosen = [line for line in earlier if line.kind in STATE_KINDS][-STATE_LINES:]
        for target in targets:
            about = [
                line
                for line in earlier
                if line.kind in TARGET_KINDS and line.fields.get("target") == target
            ]
            chosen += about[-TARGET_LINES:]
        return sorted(chosen, key=lambda line: line.at_s)

    def _same_start(self, request: LogLine) -> list[LogLine]:
        """The lines of the request's process before it; a restart begins a clock of its own."""
        place = next(i for i, line in enumerate(self.lines) if line is request)
        earlier = [line for line in self.lines[:place] if line.vm == request.vm]
        starts = [i for i, line in enumerate(earlier) if line.kind == "start"]
        return earlier[starts[-1] :] if starts else earlier


def _parse(text: str) -> LogLine | None:
    try:
        fields = json.loads(text)
        return LogLine(fields.pop("vm"), float(fields.pop("at_s")), str(fields.pop("kind")), fields)
    except (ValueError, KeyError, TypeError, AttributeError):
        return None


def tell(request: LogLine, beliefs: list[LogLine]) -> list[str]:
    """The story of one request, a line each."""
    fields = request.fields
    began_s = request.at_s - fields["took_ms"] / 1000.0
    lines = [f"request {fields['id']} at {request.vm}"]
    lines += [
        f"  {line.at_s - began_s:+9.3f} s  before it: {line.kind} {_short(line.fields)}"
        for line in beliefs
    ]
    lines.append(f"  {0:+9.3f} s  read; configuration {fields.get('configuration')}")
    if "route" in fields:
        lines.append(
            f"             route {fields['route']}, account {fields['account']},"
            f" service {fields['service']}, object {fields['object'] or '-'}"
        )
        lines.append(
            f"             waited {fields['waited_ms']} ms for capacity; targets vouched for"
            f" {fields['targets_age_s']} s before the end; {fields['vms_heard']} other VMs heard"
        )
    if "quota_issuer" in fields:
        issuer = fields["quota_issuer"]
        lines.append(
            f"             account {fields['account']} has used its limit up, "
            + (f"says {issuer}" if issuer else "and the VM that issues its tokens did not answer")
        )
    for item in fields.get("considered", ()):
        lines.append(
            f"             no capacity at {item['target']} ({item['state']}): {item['load']}"
            f" requests on {item['slots']} slots; {fields['free_slots']} slots free in the whole"
            " service"
        )
    for number, send in enumerate(fields.get("sends", ()), start=1):
        lines.append(
            f"             send {number}: {send['target']} (choice {send['choice']} of its object,"
            f" {send['load']} requests on {send['slots']} slots): {send['outcome']}"
            f" after {send['took_ms']} ms"
        )
    ending = fields.get("reason", "the target's answer")
    lines.append(f"  {fields['took_ms'] / 1000.0:+9.3f} s  answered {fields['status']}: {ending}")
    return lines


def _short(fields: dict[str, Any]) -> str:
    return " ".join(f"{name}={value}" for name, value in fields.items())
