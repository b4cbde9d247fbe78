"""Runs an entry VM as a child process and sends it signals."""

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
    """Runs an entry process and restarts it after an exit, as the platform does.

    ``stops_s`` holds the times of requests to shut down, ``disturbances_s`` those of all other
    faults of the process, and ``freezes_s`` those at which it was suspended or woken.
    ``unexpected_exits`` holds exit codes that no sent signal explains.
    """

    name: str
    host: str
    settings_file: Path
    log_file: Path
    failure_domain: str
    program: Path = ENTRY_PROGRAM
    starts_and_exits_s: list[float] = field(factory=list)
    disturbances_s: list[float] = field(factory=list)
    stops_s: list[float] = field(factory=list)
    freezes_s: list[float] = field(factory=list)
    unexpected_exits: list[int] = field(factory=list)
    _process: subprocess.Popen[bytes] | None = None
    _is_exit_expected: bool = False
    _exited_s: float = float("-inf")

    def start(self) -> None:
        """Start the process."""
        environment = {"PATH": os.environ["PATH"], "SISKINWARD_BOOT": str(self.settings_file)}
        with self.log_file.open("ab") as log:
            self._process = subprocess.Popen(
                [sys.executable, str(self.program)], env=environment, stdout=log, stderr=log
            )
        self.starts_and_exits_s.append(time.monotonic())
        self._is_exit_expected = False

    def restart_if_exited(self) -> None:
        """Record an exit, and restart the process after a delay; call this periodically."""
        now_s = time.monotonic()
        if self._process is not None and self._process.poll() is not None:
            if not self._is_exit_expected:
                self.unexpected_exits.append(self._process.returncode)
            self._process = None
            self._exited_s = now_s
            self.starts_and_exits_s.append(now_s)
        if self._process is None and now_s - self._exited_s > RESTART_DELAY_S:
            self.start()

    def stop(self) -> None:
        """Send SIGTERM: the process finishes its requests and exits."""
        self.stops_s.append(time.monotonic())
        self._signal(signal.SIGTERM, ends=True)

    def kill(self) -> None:
        """Send SIGKILL."""
        self.record_disturbance()
        self._signal(signal.SIGKILL, ends=True)

    def pause(self) -> None:
        """Send SIGSTOP: the process is suspended."""
        self.record_disturbance()
        self.freezes_s.append(time.monotonic())
        self._signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Send SIGCONT: the process continues."""
        self.record_disturbance()
        self.freezes_s.append(time.monotonic())
        self._signal(signal.SIGCONT)

    def reload(self) -> None:
        """Send SIGHUP: the process reloads its settings."""
        self.record_disturbance()
        self._signal(signal.SIGHUP)

    def destroy(self) -> None:
        """Kill the process and wait for it, without a restart."""
        if self._process is not None:
            self._process.kill()
            self._process.wait()

    def peak_memory_mb(self) -> float:
        """Return the most memory that the running process has taken; 0 if none runs."""
        if self._process is None:
            return 0.0
        try:
            status = Path(f"/proc/{self._process.pid}/status").read_text(encoding="ascii")
        except OSError:
            # The process has just ended.
            return 0.0
        peaks = [line.split()[1] for line in status.splitlines() if line.startswith("VmHWM:")]
        return int(peaks[0]) / 1024 if peaks else 0.0

    def record_disturbance(self) -> None:
        """Record that a fault of the process, its connections or its store begins or ends now."""
        self.disturbances_s.append(time.monotonic())

    def was_undisturbed(self, since_s: float, until_s: float) -> bool:
        """Return whether the process ran without disturbance, stop or restart in this time."""
        happened_s = (*self.disturbances_s, *self.stops_s, *self.starts_and_exits_s)
        return not any(since_s <= at_s <= until_s for at_s in happened_s)

    def ran_on(self, since_s: float, until_s: float) -> bool:
        """Return whether the same process of this release ran all the time, and wasn't frozen."""
        happened_s = (*self.freezes_s, *self.starts_and_exits_s)
        is_ours = self.program == ENTRY_PROGRAM
        return is_ours and not any(since_s <= at_s <= until_s for at_s in happened_s)

    def was_only_stopped(self, since_s: float, until_s: float) -> bool:
        """Return whether the process was asked to shut down in this time, and not disturbed."""
        return any(since_s <= at_s <= until_s for at_s in self.stops_s) and not any(
            since_s <= at_s <= until_s for at_s in self.disturbances_s
        )

    def _signal(self, number: int, *, ends: bool = False) -> None:
        if self._process is not None and self._process.poll() is None:
            self._is_exit_expected = self._is_exit_expected or ends
            self._process.send_signal(number)
