"""Reads the logs of entry VMs and shows what happened to a request."""

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
TARGET_KINDS = (
    "target",
    "target-gone",
    "target-leaving",
    "target-resting",
    "target-unreached",
    "target-reached",
    "target-replaced",
)
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
# Newest lines that are shown before a request: on the VM's state, and on each target.
MAX_STATE_LINES = 6
MAX_TARGET_LINES = 2


@frozen
class LogLine:
    """One line of a VM's log."""

    vm: str
    at_s: float
    kind: str
    fields: dict[str, Any]


@define
class VmLogs:
    """Log lines of all VMs in the order read.

    ``unreadable`` counts lines that could not be parsed, ``left_out`` those that the VMs dropped
    under load.
    """

    lines: list[LogLine] = field(factory=list)
    unreadable: int = 0
    left_out: int = 0

    def read(self, texts: Iterable[str]) -> None:
        """Add log lines; a prefix such as a container's timestamp is skipped."""
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

    def find_by_id(self, request_id: str) -> list[LogLine]:
        """Return the final lines of the requests with this id, which may have been reused."""
        return [
            line
            for line in self.lines
            if line.kind in REQUEST_KINDS and line.fields.get("id") == request_id
        ]

    def find_by_outcome(self, reason: str) -> list[LogLine]:
        """Return the final lines of the requests with this reason or status."""
        return [
            line
            for line in self.lines
            if line.kind in REQUEST_KINDS
            and reason in (line.fields.get("reason"), str(line.fields.get("status")))
        ]

    def find_killed_processes(self) -> list[LogLine]:
        """Return the last line of each process that ended without a ``stopped`` line.

        Such an end is detected by the next ``start`` line of the same VM.
        """
        last: dict[str, LogLine] = {}
        ends = []
        for line in self.lines:
            before = last.get(line.vm)
            if line.kind == "start" and before is not None and before.kind != STOPPED_KIND:
                ends.append(before)
            last[line.vm] = line
        return ends

    def known_reasons(self) -> list[str]:
        """Return every reason that occurs in the logs, sorted."""
        return sorted({line.fields["reason"] for line in self.lines if "reason" in line.fields})

    def context_of(self, request: LogLine) -> list[LogLine]:
        """Return the VM's last lines before a request, which show the state that it acted on.

        These are lines on the VM itself, the store and the targets that the request was sent to.
        """
        targets = {send["target"] for send in request.fields.get("sends", ())}
        earlier = self._earlier_in_process(request)
        chosen = [line for line in earlier if line.kind in STATE_KINDS][-MAX_STATE_LINES:]
        for target in targets:
            about = [
                line
                for line in earlier
                if line.kind in TARGET_KINDS and line.fields.get("target") == target
            ]
            chosen += about[-MAX_TARGET_LINES:]
        return sorted(chosen, key=lambda line: line.at_s)

    def _earlier_in_process(self, request: LogLine) -> list[LogLine]:
        """Return the lines that the same process logged before the request.

        Earlier processes are left out: their clock is another one.
        """
        place = next(i for i, line in enumerate(self.lines) if line is request)
        earlier = [line for line in self.lines[:place] if line.vm == request.vm]
        starts = [i for i, line in enumerate(earlier) if line.kind == "start"]
        return earlier[starts[-1] :] if starts else earlier


def read_vm_logs(files: Iterable[Iterable[str]]) -> VmLogs:
    """Read the logs of several files."""
    vm_logs = VmLogs()
    for file in files:
        vm_logs.read(file)
    return vm_logs


def _parse(text: str) -> LogLine | None:
    try:
        fields = json.loads(text)
        return LogLine(fields.pop("vm"), float(fields.pop("at_s")), str(fields.pop("kind")), fields)
    except (ValueError, KeyError, TypeError, AttributeError):
        return None


def format_timeline(request: LogLine, context: list[LogLine]) -> list[str]:
    """Return a request's timeline as lines of text."""
    fields = request.fields
    began_s = request.at_s - fields["took_ms"] / 1000.0
    lines = [f"request {fields['id']} at {request.vm}"]
    lines += [
        f"  {line.at_s - began_s:+9.3f} s  before it: {line.kind} {_format_fields(line.fields)}"
        for line in context
    ]
    lines.append(f"  {0:+9.3f} s  read; configuration {fields.get('configuration')}")
    if "route" in fields:
        lines.append(
            f"             route {fields['route']}, account {fields['account']},"
            f" service {fields['service']}, object {fields['object'] or '-'}"
        )
        lines.append(
            f"             waited {fields['waited_ms']} ms for capacity; target table"
            f" confirmed {fields['targets_age_s']} s before the end;"
            f" {fields['vms_heard']} other VMs reachable"
        )
    if "quota_issuer" in fields:
        issuer = fields["quota_issuer"]
        lines.append(
            f"             account {fields['account']} has exhausted its limit, "
            + (
                f"according to {issuer}"
                if issuer
                else "and the VM that issues its tokens did not answer"
            )
        )
    for item in fields.get("considered", ()):
        lines.append(
            f"             no capacity at {item['target']} ({item['state']}): {item['load']}"
            f" requests on {item['slots']} slots; {fields['free_slots']} slots free in the whole"
            " service"
        )
    for number, send in enumerate(fields.get("sends", ()), start=1):
        lines.append(
            f"             send {number}: {send['target']} (choice {send['choice']} for its object,"
            f" {send['load']} requests on {send['slots']} slots): {send['outcome']}"
            f" after {send['took_ms']} ms" + (f" ({send['detail']})" if send.get("detail") else "")
        )
    ending = fields.get("reason", "the target's answer")
    lines.append(f"  {fields['took_ms'] / 1000.0:+9.3f} s  answered {fields['status']}: {ending}")
    return lines


def _format_fields(fields: dict[str, Any]) -> str:
    return " ".join(f"{name}={value}" for name, value in fields.items())
