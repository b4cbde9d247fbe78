"""Runs one seed: starts real processes, injects the faults and checks the promises."""

from __future__ import annotations

from random import Random
from typing import Any

import curio
from attrs import define
from attrs import field

from siskinward.platform.standins import FRONT_PORT
from siskinward.platform.standins import STORE_PORT
from siskinward.platform.standins import OperatorConfiguration
from siskinward.platform.standins import StoreStandIn
from siskinward.platform.standins import create_configuration
from siskinward.platform.standins import render_settings
from siskinward.state.serving import ServingBounds
from siskinward.transport.clock import read_clock_s
from soak.callers import Callers
from soak.faults import Fault
from soak.faults import draw_faults
from soak.injection import DOMAIN_REGIONS
from soak.injection import WITHDRAWN_KEY
from soak.injection import FaultInjector
from soak.injection import for_each
from soak.loopback_proxy import LoopbackProxy
from soak.promises import PromiseChecker
from soak.promises import Withdrawal
from soak.soak_settings import SoakResult
from soak.soak_settings import SoakSettings
from soak.target_process import TargetProcess
from soak.vm_metrics import read_known_targets
from soak.vm_process import VmProcess

TARGET_PORT = 8080
SERVICES = ("listings", "bookings")
START_S = 4.0
RECOVERY_CHECK_S = 2.0
RESTART_POLL_S = 0.1
CHECK_S = 1.0
# Tasks that serve a connection end once its other side is gone.
SETTLE_S = 0.3
# All VMs follow a change of the targets within this time.
FOLLOW_S = 3.0
KEYS = ("key-1", "key-2", WITHDRAWN_KEY)


@define(eq=False)
class SoakRun:
    """One run: a deployment, its callers and the checker of the promises."""

    settings: SoakSettings
    store: StoreStandIn
    targets: list[TargetProcess]
    vms: list[VmProcess]
    callers: Callers
    checker: PromiseChecker
    configuration: OperatorConfiguration
    injector: FaultInjector
    late_target: TargetProcess
    _tasks: list[Any] = field(factory=list)

    async def run(self) -> SoakResult:
        """Start everything, inject the faults, check the promises and kill the VMs."""
        try:
            await self._start()
            await self._inject_faults()
            await curio.sleep(self.settings.recover_s)
            await self._replace_target()
            since_s = read_clock_s()
            await curio.sleep(RECOVERY_CHECK_S)
            if self.settings.checks_time_bounds:
                self.checker.check_all(since_s)
                await self._check_followed()
            else:
                self.checker.check_invariants()
                self.checker.check_limits()
                self.checker.check_words()
        finally:
            await self._stop()
        served = sum(call.status == 200 for call in self.callers.calls)
        return SoakResult(
            self.settings.seed,
            tuple(self.checker.broken),
            self.checker.check_counts,
            len(self.callers.calls),
            served,
        )

    async def _replace_target(self) -> None:
        """Remove a target and add another, which all VMs have to follow after all faults."""
        drained = {withdrawal.name for withdrawal in self.checker.drained}
        gone = next(target for target in self.targets if target.name not in drained)
        await self.late_target.start()
        await self.store.report(self.late_target)
        await self.store.put("servers", gone.name, None)
        self.checker.drained.append(Withdrawal(gone.name, read_clock_s()))
        await curio.sleep(FOLLOW_S)

    async def _check_followed(self) -> None:
        """Check how many targets each VM says it knows: one is gone, and one has been added."""
        for vm in self.vms:
            self.checker.check_followed(vm, await read_known_targets(vm.host), len(self.targets))

    async def _start(self) -> None:
        await self._spawn(self.store.run)
        for proxy in (*self.injector.store_proxies, *self.injector.target_proxies):
            await self._spawn(proxy.run)
        await self._publish()
        for target in self.targets:
            await target.start()
            await self.store.report(target)
        for vm in self.vms:
            vm.start()
        await self._spawn(self._restart_exited_vms)
        await curio.sleep(START_S)
        await self._spawn(self.callers.run, self.settings.callers)
        await self._spawn(self._check_periodically)

    async def _spawn(self, call: Any, *args: Any) -> None:
        self._tasks.append(await curio.spawn(call, *args, daemon=True))

    async def _stop(self) -> None:
        """End all processes and what accepts connections, so that no new task begins."""
        for task in self._tasks:
            await task.cancel()
        for_each(self.vms, VmProcess.destroy)
        for_each([*self.targets, self.late_target], TargetProcess.destroy)
        await curio.sleep(SETTLE_S)

    async def _publish(self) -> None:
        await self.store.publish(self.configuration)

    async def _restart_exited_vms(self) -> None:
        while True:
            for vm in self.vms:
                vm.restart_if_exited()
            await curio.sleep(RESTART_POLL_S)

    async def _check_periodically(self) -> None:
        while True:
            await curio.sleep(CHECK_S)
            self.checker.check_invariants()
            self.checker.check_memory()

    async def _inject_faults(self) -> None:
        start_s = read_clock_s()
        async with curio.TaskGroup() as group:
            for fault in self._draw_faults():
                await curio.sleep(max(0.0, start_s + fault.at_s - read_clock_s()))
                await group.spawn(self.injector.inject, fault)

    def _draw_faults(self) -> list[Fault]:
        settings = self.settings
        faults = draw_faults(settings.seed, settings.length_s, len(self.vms), len(self.targets))
        return [fault for fault in faults if not settings.kinds or fault.kind in settings.kinds]


def create_soak_run(settings: SoakSettings) -> SoakRun:
    """Create a run with its deployment, without starting anything."""
    prefix = f"127.{settings.block}"
    bounds = ServingBounds(quota_slack_requests=20.0)
    store = StoreStandIn(f"{prefix}.200.1", STORE_PORT)
    targets = [_create_target(settings, prefix, number) for number in range(settings.targets)]
    vms = [_create_vm(settings, prefix, number) for number in range(settings.vms)]
    late_target = _create_late_target(settings, prefix)
    callers = Callers(vms, FRONT_PORT, Random(settings.seed), KEYS)
    checker = PromiseChecker(bounds, [*targets, late_target], vms, callers.calls)
    allowed = settings.rate_per_s * bounds.quota_window_s + settings.rate_per_s
    checker.quota_in_window = allowed * (1 + bounds.quota_overshoot) + bounds.quota_slack_requests
    configuration = create_configuration(SERVICES, settings.rate_per_s, settings.rate_per_s)
    injector = FaultInjector(
        store=store,
        targets=targets,
        vms=vms,
        store_proxies=[
            LoopbackProxy(f"{prefix}.201.{number + 1}", STORE_PORT, f"{prefix}.200.1")
            for number in range(settings.vms)
        ],
        target_proxies=[
            LoopbackProxy(target.advertised_host, TARGET_PORT, target.host) for target in targets
        ],
        checker=checker,
        configuration=configuration,
    )
    return SoakRun(
        settings=settings,
        store=store,
        targets=targets,
        vms=vms,
        callers=callers,
        checker=checker,
        configuration=configuration,
        injector=injector,
        late_target=late_target,
    )


def _create_target(settings: SoakSettings, prefix: str, number: int) -> TargetProcess:
    service = SERVICES[number % len(SERVICES)]
    domain = list(DOMAIN_REGIONS)[number // len(SERVICES) % len(DOMAIN_REGIONS)]
    target = TargetProcess(
        f"{service}-{number}", service, f"{prefix}.64.{number + 1}", TARGET_PORT, domain
    )
    target.work_s = settings.work_s
    target.advertised_host = f"{prefix}.65.{number + 1}"
    target.log_file = settings.directory / f"{target.name}.log"
    return target


def _create_late_target(settings: SoakSettings, prefix: str) -> TargetProcess:
    """Create the target that is added after all faults; no proxy stands before it."""
    target = _create_target(settings, prefix, settings.targets)
    target.advertised_host = target.host
    return target


def _create_vm(settings: SoakSettings, prefix: str, number: int) -> VmProcess:
    domain = list(DOMAIN_REGIONS)[number % len(DOMAIN_REGIONS)]
    name, host = f"vm-{number}", f"{prefix}.1.{number + 1}"
    store_host = f"{prefix}.201.{number + 1}"
    file = settings.directory / f"{name}.toml"
    file.write_text(
        render_settings(name, host, domain, DOMAIN_REGIONS, store_host, ["quota_slack=20"])
    )
    vm = VmProcess(name, host, file, settings.directory / f"{name}.log", domain)
    if settings.other_release is not None and number % 2:
        vm.program = settings.other_release / "deploy" / "entry.py"
    return vm
