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

    ``disturbed_s`` is when the soak last interfered with it; ``stopped_s`` when it last asked it to
    leave. ``own_ends`` are exit codes that no signal of the soak explains.
    """

    name: str
    host: str
    settings_file: Path
    log_file: Path
    disturbed_s: float = field(factory=time.monotonic)
    stopped_s: float = float("-inf")
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
        self.disturbed_s = time.monotonic()
        self._expected_end = False

    def watch(self) -> None:
        """Notice an end, and start again a little later; call it often."""
        now_s = time.monotonic()
        if self._process is not None and self._process.poll() is not None:
            if not self._expected_end:
                self.own_ends.append(self._process.returncode)
            self._process = None
            self._ended_s = now_s
            self.disturbed_s = now_s
        if self._process is None and now_s - self._ended_s > RESTART_DELAY_S:
            self.start()

    def leave(self) -> None:
        """SIGTERM: the process finishes what it has and ends."""
        self.stopped_s = time.monotonic()
        self._signal(signal.SIGTERM, ends=True)

    def kill(self) -> None:
        """SIGKILL."""
        self._signal(signal.SIGKILL, ends=True)

    def pause(self) -> None:
        """SIGSTOP: the process stands still."""
        self._signal(signal.SIGSTOP)

    def resume(self) -> None:
        """SIGCONT."""
        self._signal(signal.SIGCONT)

    def reload(self) -> None:
        """SIGHUP."""
        self._signal(signal.SIGHUP)

    def end(self) -> None:
        """Kill the process for good and wait for it."""
        if self._process is not None:
            self._process.kill()
            self._process.wait()

    def was_calm(self, since_s: float) -> bool:
        """Whether nothing was done to the process after ``since_s``."""
        return self.disturbed_s < since_s

    def _signal(self, number: int, *, ends: bool = False) -> None:
        self.disturbed_s = time.monotonic()
        if self._process is not None and self._process.poll() is None:
            self._expected_end = self._expected_end or ends
            self._process.send_signal(number)
