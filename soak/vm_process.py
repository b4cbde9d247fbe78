"""One entry VM as a process of its own, and the signals that it gets."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
import time
from pathlib import Path

from attrs import define
from attrs import field

ENTRY_PROGRAM = Path(__file__).parents[1] / "deploy" / "entry.py"
RESTART_DELAY_S = 0.3


@define(eq=False)
class VmProcess:
    """Starts the process again when it has ended, as the platform does.

    ``stops_s`` is when the soak asked it to leave, ``interferences_s`` when it did anything else to
    it. ``own_ends`` are exit codes that no signal of the soak explains.
    """

    name: str
    host: str
    settings_file: Path
    log_file: Path
    starts_and_ends_s: list[float] = field(factory=list)
    interferences_s: list[float] = field(factory=list)
    stops_s: list[float] = field(factory=list)
    own_ends: list[int] = field(factory=list)
    _process: subprocess.Popen[bytes] | None = None
    _expected_end: bool = False
    _ended_s: float = float("-inf")

    def start(self) -> None:
        """Start the process."""
        environment = {"PATH": os.environ["PATH"], "SISKINWARD_BOOT": str(self.settings_file)}
        with self.log_file.open("ab") as log:
            self._process = subprocess.Popen(
                [sys.executable, str(ENTRY_PROGRAM)], env=environment, stdout=log, stderr=log
            )
        self.starts_and_ends_s.append(time.monotonic())
        self._expected_end = False

    def watch(self) -> None:
        """Notice an end, and start again a little later; call it often."""
        now_s = time.monotonic()
        if self._process is not None and self._process.poll() is not None:
            if not self._expected_end:
                self.own_ends.append(self._process.returncode)
            self._process = None
            self._ended_s = now_s
            self.starts_and_ends_s.append(now_s)
        if self._process is None and now_s - self._ended_s > RESTART_DELAY_S:
            self.start()

    def leave(self) -> None:
        """SIGTERM: the process finishes what it has and ends."""
        self.stops_s.append(time.monotonic())
        self._signal(signal.SIGTERM, ends=True)

    def kill(self) -> None:
        """SIGKILL."""
        self.note_interference()
        self._signal(signal.SIGKILL, ends=True)

    def pause(self) -> None:
        """SIGSTOP: the process stands still."""
        self.note_interference()
        self._signal(signal.SIGSTOP)

    def resume(self) -> None:
        """SIGCONT."""
        self.note_interference()
        self._signal(signal.SIGCONT)

    def reload(self) -> None:
        """SIGHUP."""
        self.note_interference()
        self._signal(signal.SIGHUP)

    def end(self) -> None:
        """Kill the process for good and wait for it."""
        if self._process is not None:
            self._process.kill()
            self._process.wait()

    def note_interference(self) -> None:
        """Note that the soak does something to the process, its links or its store now."""
        self.interferences_s.append(time.monotonic())

    def was_calm(self, since_s: float, until_s: float) -> bool:
        """Whether nothing happened to the process between two moments."""
        happened_s = (*self.interferences_s, *self.stops_s, *self.starts_and_ends_s)
        return not any(since_s <= at_s <= until_s for at_s in happened_s)

    def was_only_stopped(self, since_s: float, until_s: float) -> bool:
        """Whether the process was asked to leave between two moments, and nothing else."""
        return any(since_s <= at_s <= until_s for at_s in self.stops_s) and not any(
            since_s <= at_s <= until_s for at_s in self.interferences_s
        )

    def _signal(self, number: int, *, ends: bool = False) -> None:
        if self._process is not None and self._process.poll() is None:
            self._expected_end = self._expected_end or ends
            self._process.send_signal(number)
