"""Runs a layout as processes on loopback: the stand-ins and one process per VM."""

from __future__ import annotations

import json
import subprocess
import sys
import tempfile
import time
import urllib.request
from pathlib import Path
from typing import TYPE_CHECKING
from typing import Any

from _capacity_layout import HOST
from _capacity_layout import PLATFORM_PORT
from _capacity_layout import planned_vms
from _capacity_layout import render_configuration
from _capacity_layout import render_settings

if TYPE_CHECKING:
    from types import TracebackType

    from _capacity_layout import Layout
    from _capacity_layout import PlannedVm

START_INTERVAL_S = 0.12
READY_LIMIT_S = 120.0
CALL_TIMEOUT_S = 10.0
STOP_LIMIT_S = 10.0


class Fleet:
    """A running deployment; a context manager that kills the processes that it started."""

    def __init__(self, layout: Layout) -> None:
        self.layout = layout
        self.vms = planned_vms(layout)
        self._folder = tempfile.TemporaryDirectory()
        self._standins: list[subprocess.Popen[bytes]] = []
        self._nodes: dict[str, subprocess.Popen[bytes]] = {}

    def __enter__(self) -> Fleet:
        """Start everything and wait until all VMs know each other."""
        try:
            self._start()
        except BaseException:
            self._stop()
            raise
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Kill all processes and delete their files."""
        self._stop()

    def pid(self, vm: PlannedVm) -> int:
        """Return the process id of a VM."""
        return self._nodes[vm.name].pid

    def health(self, vm: PlannedVm) -> dict[str, Any]:
        """Return the fields of a VM's ``/health`` answer."""
        return dict(json.loads(call(vm.front_port, "/health")))

    def metrics(self, vm: PlannedVm) -> str:
        """Return the text of a VM's ``/metrics`` answer."""
        return call(vm.front_port, "/metrics").decode()

    def platform_counts(self) -> dict[str, int]:
        """Return the platform's reads and writes since its start."""
        return dict(json.loads(call(PLATFORM_PORT, "/counts")))

    def set_faults(self, **faults: object) -> None:
        """Set faults of the platform's stand-in."""
        call(PLATFORM_PORT, "/faults", json.dumps(faults).encode())

    def publish(self, layout: Layout) -> None:
        """Publish the configuration of ``layout`` on top of version 1."""
        configuration = Path(self._folder.name, "next.ini")
        configuration.write_text(render_configuration(layout), encoding="utf-8")
        self._publish(configuration, "--base", "1")

    def start(self, vms: list[PlannedVm]) -> None:
        """Restart VMs, all at the same time."""
        for vm in vms:
            settings = Path(self._folder.name, f"{vm.name}.ini")
            self._nodes[vm.name] = _spawn("node", "--settings", str(settings))
        self.vms += vms

    def kill(self, vms: list[PlannedVm]) -> None:
        """Kill VMs without a graceful shutdown."""
        for vm in vms:
            process = self._nodes.pop(vm.name)
            process.kill()
            process.wait(STOP_LIMIT_S)
        self.vms = [vm for vm in self.vms if vm not in vms]

    def _start(self) -> None:
        configuration = Path(self._folder.name, "configuration.ini")
        configuration.write_text(render_configuration(self.layout), encoding="utf-8")
        self._standins.append(_spawn("standin", "platform", "--port", str(PLATFORM_PORT)))
        self._standins.append(_spawn("standin", "target", str(configuration)))
        self._publish(configuration)
        for vm in self.vms:
            settings = Path(self._folder.name, f"{vm.name}.ini")
            log = Path(self._folder.name, f"{vm.name}.log")
            settings.write_text(render_settings(vm, str(log)), encoding="utf-8")
            self._nodes[vm.name] = _spawn("node", "--settings", str(settings))
            time.sleep(START_INTERVAL_S)
        self._wait_ready()

    def _publish(self, configuration: Path, *options: str) -> None:
        address = f"{HOST}:{PLATFORM_PORT}"
        for _ in range(50):
            command = _command("publish", str(configuration), "--platform", address, *options)
            ended = subprocess.run(command, capture_output=True, check=False)
            if ended.returncode == 0:
                return
            time.sleep(0.2)
        raise RuntimeError(ended.stderr.decode())

    def _wait_ready(self) -> None:
        limit_s = time.monotonic() + READY_LIMIT_S
        waiting = list(self.vms)
        while waiting:
            if time.monotonic() > limit_s:
                raise RuntimeError(f"{len(waiting)} of {len(self.vms)} VMs are not ready")
            waiting = [vm for vm in waiting if not self._is_ready(vm)]
            time.sleep(0.5)

    def _is_ready(self, vm: PlannedVm) -> bool:
        try:
            health = self.health(vm)
        except OSError:
            return False
        knows_all = len(health["live_vms"]) == len(self.vms)
        return bool(health["ready"] and knows_all and health["grant_holder"])

    def _stop(self) -> None:
        processes = [*self._nodes.values(), *self._standins]
        for process in processes:
            process.kill()
        for process in processes:
            process.wait(STOP_LIMIT_S)
        self._folder.cleanup()


def call(port: int, path: str, body: bytes | None = None) -> bytes:
    """Make one HTTP call on loopback and return the answer's body."""
    with urllib.request.urlopen(f"http://{HOST}:{port}{path}", body, CALL_TIMEOUT_S) as answer:
        return bytes(answer.read())


def _command(*arguments: str) -> list[str]:
    return [sys.executable, "-m", "siskinward", *arguments]


def _spawn(*arguments: str) -> subprocess.Popen[bytes]:
    return subprocess.Popen(
        _command(*arguments), stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL
    )
