"""What the cases have in common: a small deployment, and the exit codes."""

from __future__ import annotations

import asyncio
import logging
import os
import random
import socket
import sys
import traceback
from collections.abc import Awaitable
from collections.abc import Callable
from pathlib import Path

from deployment.client import wait_ready
from deployment.configuration import SERVICES
from deployment.configuration import encode_configuration
from deployment.record import Record
from deployment.store import Store
from deployment.target import Target
from deployment.vms import Vm
from deployment.vms import Vms

HELD, BROKEN, NOT_RUN = 0, 1, 2
LIMIT_S = 100.0
ZONES = {"bud-a": "budapest", "deb-a": "debrecen", "pec-a": "pecs"}
# Time bounds hold for VMs that have run undisturbed for ``contact`` (3 s).
SETTLE_S = 4.0
USED_PORTS = (7600, 7601, 8201, 8206, 8209, 9464)
HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class Deployment:
    """One VM and ``targets_per_zone`` targets of each service in each of ``ZONES``."""

    def __init__(self, record: Record, targets_per_zone: int = 1, work_s: float = 0.05) -> None:
        self.record = record
        self.store = Store()
        self.vms = Vms(ZONES)
        self.entries: list[Vm] = []
        self.targets: list[Target] = []
        self.heartbeats: dict[str, asyncio.Task[None]] = {}
        self.net = _find_free_network()
        for number, zone in enumerate(ZONES, start=1):
            name, host = f"entry-{zone}", f"{self.net}.{number}.1"
            self.entries.append(Vm(name, host, zone, f"{self.net}.9.{number}:8205"))
            for service in SERVICES:
                for index in range(targets_per_zone):
                    self.targets.append(
                        Target(
                            f"{service}-{zone}-{index}",
                            service,
                            f"{self.net}.{number}.{100 + index}",
                            8000 + SERVICES.index(service),
                            zone,
                            record,
                            work_s=work_s,
                        )
                    )

    async def start(self) -> None:
        for vm in self.entries:
            await self.store.listen(vm.store.partition(":")[0], 8205)
        self.store.put("op", "config", encode_configuration())
        for target in self.targets:
            await target.start()
            task = asyncio.create_task(target.report_periodically(self.store))
            self.heartbeats[target.name] = task
        hosts = [vm.host for vm in self.entries]
        for vm in self.entries:
            self.vms.start(vm, [host for host in hosts if host != vm.host])
        await wait_ready(self.entries)
        await asyncio.sleep(SETTLE_S)

    def silence_store(self, vms: list[Vm]) -> None:
        self.store.silent_hosts |= {vm.store.partition(":")[0] for vm in vms}

    def restore_store(self) -> None:
        self.store.silent_hosts.clear()


def _find_free_network() -> str:
    """Return the first half of loopback addresses whose ports are free, apart from other runs."""
    for number in random.sample(range(50, 200), 20):
        net = f"127.{number}"
        if all(_is_free(f"{net}.{zone}.1") for zone in range(1, len(ZONES) + 1)):
            return net
    raise RuntimeError("no loopback addresses with free ports found")


def _is_free(host: str) -> bool:
    for port in USED_PORTS:
        with socket.socket() as sock:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                sock.bind((host, port))
            except OSError:
                return False
    return True


def run_case(folder: Path, play: Callable[[Record], Awaitable[bool]]) -> None:
    """Play a case that returns whether the rule held, and exit with the code for it."""
    logging.getLogger("asyncio").setLevel(logging.CRITICAL + 1)
    record = Record(folder / "record.txt")
    record.write(f"the case begins, {'with' if HAS_TROUBLE else 'without'} the disruption")

    async def limited() -> bool:
        async with asyncio.timeout(LIMIT_S):
            return await play(record)

    try:
        held = asyncio.run(limited())
    except Exception:
        record.write(traceback.format_exc())
        traceback.print_exc()
        sys.exit(NOT_RUN)
    record.write("the rule held" if held else "the rule was broken")
    print("the rule held" if held else "the rule was broken")
    sys.exit(HELD if held else BROKEN)
