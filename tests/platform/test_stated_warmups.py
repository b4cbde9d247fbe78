"""A warm-up time that a target states to one VM binds all VMs."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

import curio
import pytest
from limit_load import Load

from siskinward.platform.standins import TargetFault
from siskinward.transport.clock import read_clock_s

if TYPE_CHECKING:
    from siskinward.platform.standins import Site
    from siskinward.standins.memory_network import MemoryNetwork

VM = "vm-bud-a-0"
COLD = "listings-bud-a-0"
TOLD_S = 1.0
WARMUP_MS = 6000


async def probe_from(site: Site, vm: str, name: str) -> None:
    target = site.vms[vm].steering.targets.get(site.targets[name].name)  # type: ignore[arg-type]
    assert target is not None
    target.needs_probe = True
    await curio.sleep(TOLD_S)
    assert not target.needs_probe


def test_warmup_that_a_probe_of_one_vm_found_limits_all_vms(run_site: Any) -> None:
    async def scenario(site: Site, network: MemoryNetwork) -> None:
        cold = site.targets[COLD]
        cold.warmup_left_ms = WARMUP_MS
        await probe_from(site, VM, COLD)
        since_s = read_clock_s()
        await Load(site, rate_per_s=60.0).run(4.0)
        service = site.configuration.spec("services", "listings")
        times = [at_s for at_s in cold.arrivals_s if at_s >= since_s]
        most = max((sum(0 <= other - at_s < 1.0 for other in times) for at_s in times), default=0)
        assert most <= service["warmup_per_s"] + 1

    run_site(scenario)


def test_row_that_is_older_than_the_probe_does_not_end_the_warmup(run_site: Any) -> None:
    async def scenario(site: Site, network: MemoryNetwork) -> None:
        cold = site.targets[COLD]
        cold.warmup_left_ms = WARMUP_MS
        await probe_from(site, VM, COLD)
        cold.warmup_left_ms = 0
        cold.heartbeat += 1
        await site.report(cold)
        await curio.sleep(TOLD_S)
        for process in site.vms.values():
            target = process.steering.targets.get(cold.name)  # type: ignore[arg-type]
            assert target is not None
            assert target.is_cold(read_clock_s())

    run_site(scenario)


def test_probe_does_not_take_a_late_copy_of_another_answer_for_its_own(run_site: Any) -> None:
    async def scenario(site: Site, network: MemoryNetwork) -> None:
        for target in site.targets.values():
            target.fault = TargetFault.DOUBLES_ANSWERS
            target.warmup_left_ms = WARMUP_MS
        await site.call(VM)
        name = next(target.name for target in site.targets.values() if target.runs)
        await probe_from(site, VM, name)
        probed = site.vms[VM].steering.targets.get(site.targets[name].name)  # type: ignore[arg-type]
        assert probed is not None
        assert probed.is_cold(read_clock_s())

    run_site(scenario)


@pytest.mark.parametrize("left_ms", [WARMUP_MS])
def test_warmup_found_by_a_probe_ends_in_time(run_site: Any, left_ms: int) -> None:
    async def scenario(site: Site, network: MemoryNetwork) -> None:
        cold = site.targets[COLD]
        cold.warmup_left_ms = left_ms
        await probe_from(site, VM, COLD)
        await curio.sleep(left_ms / 1000 + TOLD_S)
        for process in site.vms.values():
            target = process.steering.targets.get(cold.name)  # type: ignore[arg-type]
            assert target is not None
            assert not target.is_cold(read_clock_s())

    run_site(scenario)
