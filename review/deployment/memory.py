"""The platform's limit of memory: "A process that exceeds ``memory_mb`` is killed"."""

from __future__ import annotations

import asyncio
import signal
from pathlib import Path

from deployment.record import Record
from deployment.vms import Vm

MEMORY_LIMIT_MB = 300
MEMORY_CHECK_S = 0.02


async def stop_watch(watch: asyncio.Task[int]) -> int:
    if not watch.done():
        watch.cancel()
    return await watch


async def enforce_memory_limit(vm: Vm, record: Record) -> int:
    """Kill the process when it exceeds its limit, as the platform does; return its peak."""
    assert vm.process is not None
    peak_mb = 0
    try:
        while True:
            status = Path(f"/proc/{vm.process.pid}/status").read_text()
            line = next(item for item in status.splitlines() if item.startswith("VmHWM"))
            peak_now_mb = int(line.split()[1]) // 1024
            peak_mb = max(peak_mb, peak_now_mb)
            if peak_now_mb > MEMORY_LIMIT_MB:
                record.write(f"{vm.name} takes {peak_now_mb} MB: the platform kills it")
                vm.send_signal(signal.SIGKILL)
                return peak_mb
            await asyncio.sleep(MEMORY_CHECK_S)
    except asyncio.CancelledError:
        return peak_mb
