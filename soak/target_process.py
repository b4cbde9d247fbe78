"""A target as a process of its own.

The run's process sends the fault to inject as lines of JSON. The target's process writes what it
records as lines of JSON, a run before the work begins, so that a killed target has told it.
"""

from __future__ import annotations

import json
import os
import socket
import subprocess
import sys
from contextlib import suppress
from pathlib import Path
from typing import Any

import curio
import curio.io
from attrs import asdict
from attrs import define
from attrs import field

from siskinward.platform.standins import ArrivalRecord
from siskinward.platform.standins import RestRecord
from siskinward.platform.standins import RunRecord
from siskinward.platform.standins import TargetFault
from siskinward.platform.standins import TargetStandIn
from siskinward.transport.clock import read_clock_s

ROOT = Path(__file__).parents[1]
CONTROL_POLL_S = 0.02
STANDARD_INPUT = 0
STANDARD_OUTPUT = 1


@define(eq=False)
class TargetProcess(TargetStandIn):
    """The run's side of a target: holds what its process records, and controls its faults.

    The target serves from soon after ``start`` until ``crash``, which kills its process.
    """

    log_file: Path = Path(os.devnull)
    _process: subprocess.Popen[bytes] | None = None
    _tasks: list[Any] = field(factory=list)

    async def start(self) -> None:
        """Start the process, unless it runs."""
        if self._process is not None:
            return
        own_end, other_end = socket.socketpair()
        identity = json.dumps(
            [self.name, self.service, self.host, self.port, self.zone, self.slots, self.work_s]
        )
        with self.log_file.open("ab") as log:
            self._process = subprocess.Popen(
                [sys.executable, "-m", "soak.target_process", identity],
                cwd=ROOT,
                stdin=other_end.fileno(),
                stdout=subprocess.PIPE,
                stderr=log,
            )
        other_end.close()
        assert self._process.stdout is not None
        control = curio.io.Socket(own_end)
        records = curio.io.FileStream(self._process.stdout)
        self._tasks = [
            await curio.spawn(self._control, control, daemon=True),
            await curio.spawn(self._receive_records, records, daemon=True),
        ]

    async def crash(self) -> None:
        """Kill the process, and take what it still has recorded."""
        self.crashes_s.append(read_clock_s())
        self.destroy()
        if self._tasks:
            control, receiver = self._tasks
            await control.cancel()
            await receiver.join()
            self._tasks = []

    def destroy(self) -> None:
        """Kill the process."""
        process, self._process = self._process, None
        if process is not None:
            process.kill()
            process.wait()

    async def _control(self, control: Any) -> None:
        """Send what the process is to do, whenever it changes, until it is gone."""
        with suppress(BrokenPipeError):
            await self._send_wishes(control)

    async def _send_wishes(self, control: Any) -> None:
        sent: dict[str, int | str | None] = {}
        async with control:
            while True:
                wanted: dict[str, int | str | None] = {
                    "fault": self.fault.value,
                    "fault_variant": self.fault_variant,
                    "rate_limit": self.rate_limit,
                    "leaving": self.leaving,
                    "rest": self.rest,
                }
                if wanted != sent:
                    await control.sendall(json.dumps(wanted).encode() + b"\n")
                    sent = wanted
                await curio.sleep(CONTROL_POLL_S)

    async def _receive_records(self, records: Any) -> None:
        async with records:
            while line := await records.readline():
                name, value = json.loads(line)
                match name:
                    case "runs":
                        self.runs.append(RunRecord(**value))
                    case "arrivals":
                        self.arrivals.append(ArrivalRecord(**value))
                    case "rests":
                        self.rests.append(RestRecord(**value))
                    case _:
                        getattr(self, name).append(value)


class _Reported(list[Any]):
    """A list of records that also writes each new one to standard output."""

    def __init__(self, name: str) -> None:
        super().__init__()
        self._name = name

    def append(self, item: Any) -> None:
        super().append(item)
        value = item if isinstance(item, float) else asdict(item)
        os.write(STANDARD_OUTPUT, json.dumps([self._name, value]).encode() + b"\n")


async def _run_target(identity: str) -> None:
    """Serve until the run's process is gone."""
    target = TargetStandIn(*json.loads(identity))
    for name in ("runs", "arrivals", "arrivals_s", "stated_s", "rests"):
        setattr(target, name, _Reported(name))
    control = curio.io.Socket(socket.socket(fileno=STANDARD_INPUT)).as_stream()
    while line := await control.readline():
        wanted = json.loads(line)
        target.fault = TargetFault(wanted["fault"])
        target.fault_variant = wanted["fault_variant"]
        target.rate_limit = wanted["rate_limit"]
        target.leaving = wanted["leaving"]
        target.rest = wanted["rest"]
        # Nothing is answered before the first wishes are known, such as a limit.
        await target.start()


if __name__ == "__main__":
    curio.run(_run_target, sys.argv[1])
