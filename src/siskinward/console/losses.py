"""Says why requests were refused, failed or answered late, from the logs of entry VMs."""

from __future__ import annotations

from collections import Counter
from enum import Enum
from typing import TYPE_CHECKING
from typing import Any

from attrs import define
from attrs import field

from siskinward.console.vm_logs import REQUEST_KINDS

if TYPE_CHECKING:
    from collections.abc import Iterable

    from siskinward.console.vm_logs import LogLine

SUCCESSES = range(200, 300)
# A wait at the VM that took less of the latency objective than this is not what made it late.
WAIT_SHARE = 0.1
# A VM's log is never silent for this long, so a larger step means another clock.
CLOCK_JUMP_S = 60.0


class Loss(Enum):
    """Why a request earned less than it could, apart from the reasons of refusals."""

    FAILED = "the target failed it"
    SENT_AGAIN = "late: sent again after a first try"
    WAITED = "late: waited at the VM"
    QUEUED = "late: sent to a target without a free slot"
    COLD = "late: cold run at the first choice"
    COLD_SPILL = "late: cold run at another choice"
    SLOW = "late: warm run with a free slot"


@define
class LossTable:
    """Counts of requests by why they lost, for each value of a grouping field.

    The key None counts those that were answered in time.
    """

    counts: dict[str, Counter[str | None]] = field(factory=dict)

    def add(self, group: str, loss: str | None) -> None:
        """Count a request; ``loss`` is None if it was answered in time."""
        self.counts.setdefault(group, Counter())[loss] += 1

    def format(self) -> list[str]:
        """Return the table as lines, the group with the most losses first."""
        lines = []
        for group in sorted(self.counts, key=self._lost, reverse=True):
            counts = self.counts[group]
            lines.append(f"{group}: {self._lost(group)} of {counts.total()} requests")
            lines += [
                f"  {count:7d}  {loss}" for loss, count in counts.most_common() if loss is not None
            ]
        return lines

    def _lost(self, group: str) -> int:
        return self.counts[group].total() - self.counts[group][None]


def classify(fields: dict[str, Any]) -> str | None:
    """Return why a logged request lost; None if it was answered in time."""
    if "reason" in fields:
        return f"refused: {fields['reason']}"
    if fields["status"] not in SUCCESSES:
        return Loss.FAILED.value
    objective_ms = fields.get("objective_ms")
    if objective_ms is None or fields["took_ms"] <= objective_ms:
        return None
    return _classify_late(fields, objective_ms).value


def _classify_late(fields: dict[str, Any], objective_ms: float) -> Loss:
    sends = fields["sends"]
    if len(sends) > 1:
        return Loss.SENT_AGAIN
    send = sends[0]
    if not send.get("is_warm", True):
        return Loss.COLD if send["choice"] == 0 else Loss.COLD_SPILL
    if fields["waited_ms"] > WAIT_SHARE * objective_ms:
        return Loss.WAITED
    return Loss.QUEUED if send["load"] > send["slots"] else Loss.SLOW


@define
class _VmClock:
    """Time since a VM's first line, over restarts."""

    base_s: float
    last_s: float = 0.0

    def elapsed_s(self, line: LogLine) -> float:
        elapsed_s = line.at_s - self.base_s
        # The start line itself may be missing or unreadable.
        if line.kind == "start" or abs(elapsed_s - self.last_s) > CLOCK_JUMP_S:
            self.base_s = line.at_s - self.last_s
            return self.last_s
        self.last_s = elapsed_s
        return elapsed_s


def tabulate(lines: Iterable[LogLine], group_by: str, window_s: float) -> LossTable:
    """Count the losses of all request lines by a field of theirs, ``vm`` or ``window``.

    A window counts from the first line of the same VM, since the clocks of VMs differ. A VM that
    starts again with another clock goes on from its last line, without the time that it was down.
    """
    table = LossTable()
    clocks: dict[str, _VmClock] = {}
    for line in lines:
        elapsed_s = clocks.setdefault(line.vm, _VmClock(line.at_s)).elapsed_s(line)
        if line.kind not in REQUEST_KINDS:
            continue
        match group_by:
            case "vm":
                group = line.vm
            case "window":
                group = f"from {elapsed_s // window_s * window_s:5.0f} s"
            case _:
                group = str(line.fields.get(group_by) or "-")
        table.add(group, classify(line.fields))
    return table
