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
from siskinward.platform.standins import StoreFault
from siskinward.platform.standins import StoreStandIn
from siskinward.platform.standins import TargetFault
from siskinward.platform.standins import TargetStandIn
from siskinward.platform.standins import create_configuration
from siskinward.platform.standins import render_settings
from siskinward.state.serving import ServingBounds
from siskinward.transport.clock import read_clock_s
from soak.callers import Callers
from soak.faults import Fault
from soak.faults import FaultKind
from soak.faults import draw_faults
from soak.loopback_proxy import LoopbackProxy
from soak.loopback_proxy import ProxyFault
from soak.loopback_proxy import SourceCut
from soak.odd_entries import ODD_ENTRIES
from soak.promises import PromiseChecker
from soak.promises import TargetCut
from soak.promises import Withdrawal
from soak.soak_settings import SoakResult
from soak.soak_settings import SoakSettings
from soak.target_process import TargetProcess
from soak.vm_metrics import read_known_targets
from soak.vm_process import VmProcess

TARGET_PORT = 8080
DOMAIN_REGIONS = {"bud-a": "budapest", "bud-b": "budapest", "deb-a": "debrecen", "pec-a": "pecs"}
SERVICES = ("listings", "bookings")
START_S = 4.0
RECOVERY_CHECK_S = 2.0
RESTART_POLL_S = 0.1
CHECK_S = 1.0
# Tasks that serve a connection end once its other side is gone.
SETTLE_S = 0.3
STORE_AWAY_S = 0.5
# All VMs follow a change of the targets within this time.
FOLLOW_S = 3.0
# The operator and the targets notice the loss and write again after this time.
WRITTEN_AGAIN_S = 0.5
WITHDRAWN_KEY = "spare-key-1"
KEYS = ("key-1", "key-2", WITHDRAWN_KEY)
PROXY_FAULTS = {
    FaultKind.STORE_DELAY: ProxyFault.DELAY,
    FaultKind.STORE_CUT_TO: ProxyFault.CUT_TO_SERVER,
    FaultKind.STORE_CUT_FROM: ProxyFault.CUT_TO_CLIENT,
    FaultKind.STORE_REFUSE: ProxyFault.REFUSE,
    FaultKind.TARGET_DELAY: ProxyFault.DELAY,
    FaultKind.TARGET_CUT_FROM: ProxyFault.CUT_TO_CLIENT,
}
STORE_FAULTS = {
    FaultKind.STORE_BUSY: StoreFault.BUSY,
    FaultKind.STORE_LOSE_ANSWERS: StoreFault.LOSES_ANSWERS,
}
TARGET_FAULTS = {
    FaultKind.TARGET_LOSE_ANSWERS: TargetFault.LOSES_ANSWERS,
    FaultKind.TARGET_TRUNCATE: TargetFault.TRUNCATES_ANSWERS,
    FaultKind.TARGET_DOUBLE: TargetFault.DOUBLES_ANSWERS,
    FaultKind.TARGET_SHED: TargetFault.SHEDS,
    FaultKind.TARGET_REPEAT_REFUSALS: TargetFault.REPEATS_REFUSALS,
    FaultKind.TARGET_STOP_IN_HEAD: TargetFault.STOPS_IN_HEAD,
    FaultKind.TARGET_FAIL_AS_REFUSED: TargetFault.FAILS_AS_REFUSED,
    FaultKind.TARGET_NO_LENGTH: TargetFault.NO_LENGTH,
}
ENDLESS_FAULTS = (
    TargetFault.ENDLESS_HEAD,
    TargetFault.ENDLESS_INTERIM,
    TargetFault.ENDLESS_BODY,
    TargetFault.ENDLESS_CHUNKS,
)


@define(eq=False)
class SoakRun:
    """One run: a deployment, its callers and the checker of the promises."""

    settings: SoakSettings
    store: StoreStandIn
    targets: list[TargetProcess]
    vms: list[VmProcess]
    store_proxies: list[LoopbackProxy]
    target_proxies: list[LoopbackProxy]
    callers: Callers
    checker: PromiseChecker
    configuration: OperatorConfiguration
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
        for proxy in (*self.store_proxies, *self.target_proxies):
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
        _for_each(self.vms, VmProcess.destroy)
        _for_each([*self.targets, self.late_target], TargetProcess.destroy)
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
                await group.spawn(self._inject, fault)

    def _draw_faults(self) -> list[Fault]:
        settings = self.settings
        faults = draw_faults(settings.seed, settings.length_s, len(self.vms), len(self.targets))
        return [fault for fault in faults if not settings.kinds or fault.kind in settings.kinds]

    async def _inject(self, fault: Fault) -> None:
        vms = [self.vms[index % len(self.vms)] for index in fault.indexes]
        store_proxies = [self.store_proxies[index % len(self.vms)] for index in fault.indexes]
        match fault.kind:
            case FaultKind.VM_LEAVE | FaultKind.VM_STOP:
                _for_each(vms, VmProcess.stop)
            case FaultKind.VM_KILL:
                _for_each(vms, VmProcess.kill)
            case FaultKind.ALL_VMS_KILL:
                _for_each(self.vms, VmProcess.kill)
                self.checker.limits.forget(read_clock_s())
            case FaultKind.VM_RELOAD:
                _for_each(vms, VmProcess.reload)
            case FaultKind.VM_PAUSE:
                _for_each(vms, VmProcess.pause)
                await curio.sleep(fault.for_s)
                _for_each(vms, VmProcess.resume)
            case FaultKind.STORE_RESET | FaultKind.STORE_SILENCE:
                await self._inject_connection_fault(fault, store_proxies)
            case FaultKind.STORE_FORGET_HISTORY:
                self.store.drop_history()
            case FaultKind.STORE_RESTORED:
                await self._restore_store(fault)
            case FaultKind.KEY_WITHDRAWN:
                await self._withdraw_key()
            case FaultKind.VM_CUT_FROM_TARGETS:
                await self._cut_from_targets(fault, vms)
            case FaultKind.CONFIGURATION:
                await self._publish()
            case FaultKind.ZONE_CUT:
                await self._cut_zone(fault)
            case FaultKind.ODD_ENTRIES:
                await self._write_odd_entries(fault)
            case _ if fault.kind in STORE_FAULTS:
                await self._inject_store_fault(fault)
            case _ if fault.kind in PROXY_FAULTS and "store" in fault.kind.value:
                _for_each(vms, VmProcess.record_disturbance)
                await self._inject_proxy_fault(fault, store_proxies)
                _for_each(vms, VmProcess.record_disturbance)
            case _:
                await self._inject_target_fault(fault)

    async def _inject_target_fault(self, fault: Fault) -> None:
        targets = [self.targets[index] for index in fault.indexes]
        proxies = [self.target_proxies[index] for index in fault.indexes]
        match fault.kind:
            case FaultKind.TARGET_RESET | FaultKind.TARGET_SILENCE:
                await self._inject_connection_fault(fault, proxies)
            case FaultKind.TARGET_CRASH:
                for target in targets:
                    await target.crash()
                await curio.sleep(fault.for_s)
                for target in targets:
                    await target.start()
            case FaultKind.TARGET_DRAIN:
                await self._drain(targets[0])
            case FaultKind.TARGET_LIMIT:
                await self._state_limits(fault, targets)
            case FaultKind.TARGET_ENDLESS:
                await self._answer_endlessly(fault, targets)
            case _ if fault.kind in PROXY_FAULTS:
                await self._inject_proxy_fault(fault, proxies)
            case _:
                for target in targets:
                    target.fault = TARGET_FAULTS[fault.kind]
                    target.fault_variant = fault.variant
                await curio.sleep(fault.for_s)
                for target in targets:
                    target.fault = TargetFault.NONE

    async def _state_limits(self, fault: Fault, targets: list[TargetProcess]) -> None:
        """Let targets state a limit, instead of an earlier one, and end it if none follows."""
        for target in targets:
            self.checker.limits.state(target, fault.rate_limit, read_clock_s())
        own = {target.name: self.checker.limits.statement(target) for target in targets}
        await curio.sleep(fault.for_s)
        for target in targets:
            if self.checker.limits.statement(target) == own[target.name]:
                self.checker.limits.state(target, None, read_clock_s())

    async def _inject_connection_fault(self, fault: Fault, proxies: list[LoopbackProxy]) -> None:
        for proxy in proxies:
            if fault.kind in (FaultKind.STORE_SILENCE, FaultKind.TARGET_SILENCE):
                proxy.silence_all()
            else:
                await proxy.reset_all()
        # Any VM may have had a request on one of these connections.
        _for_each(self.vms, VmProcess.record_disturbance)

    async def _inject_proxy_fault(self, fault: Fault, proxies: list[LoopbackProxy]) -> None:
        for proxy in proxies:
            proxy.fault = PROXY_FAULTS[fault.kind]
        await curio.sleep(fault.for_s)
        for proxy in proxies:
            proxy.fault = ProxyFault.NONE

    async def _inject_store_fault(self, fault: Fault) -> None:
        _for_each(self.vms, VmProcess.record_disturbance)
        self.store.fault = STORE_FAULTS[fault.kind]
        await curio.sleep(fault.for_s)
        self.store.fault = StoreFault.NONE
        _for_each(self.vms, VmProcess.record_disturbance)

    async def _restore_store(self, fault: Fault) -> None:
        """Take the store away and bring it back from a copy that is ``for_s`` old."""
        copy = self.store.take_copy()
        await curio.sleep(fault.for_s)
        _for_each(self.vms, VmProcess.record_disturbance)
        await self.store.come_back_from(copy, away_s=STORE_AWAY_S)
        await curio.sleep(WRITTEN_AGAIN_S)
        await self._publish()
        for target in self.targets:
            await self._report(target)
        _for_each(self.vms, VmProcess.record_disturbance)

    async def _report(self, target: TargetProcess) -> None:
        """Write a target's own entry again."""
        drained = {withdrawal.name for withdrawal in self.checker.drained}
        await self.store.report(target, "draining" if target.name in drained else "ready")

    async def _cut_from_targets(self, fault: Fault, vms: list[VmProcess]) -> None:
        kind = list(SourceCut)[fault.variant % len(SourceCut)]
        since_s = read_clock_s()
        for proxy in self.target_proxies:
            for vm in vms:
                await proxy.cut(vm.host, kind)
        await curio.sleep(fault.for_s)
        for proxy in self.target_proxies:
            for vm in vms:
                proxy.heal(vm.host)
        self.checker.cuts.append(TargetCut(tuple(vms), since_s, read_clock_s()))

    async def _cut_zone(self, fault: Fault) -> None:
        """Cut a failure domain from the targets of the others and from the store.

        The other VMs don't reach its targets. VMs still reach one another.
        """
        domain = list(DOMAIN_REGIONS)[fault.indexes[0] % len(DOMAIN_REGIONS)]
        kind = list(SourceCut)[fault.variant % len(SourceCut)]
        cuts = [
            (proxy, vm.host)
            for target, proxy in zip(self.targets, self.target_proxies, strict=True)
            for vm in self.vms
            if (target.zone == domain) != (vm.failure_domain == domain)
        ]
        store_proxies = [
            proxy
            for vm, proxy in zip(self.vms, self.store_proxies, strict=True)
            if vm.failure_domain == domain
        ]
        _for_each(self.vms, VmProcess.record_disturbance)
        for proxy, host in cuts:
            await proxy.cut(host, kind)
        for proxy in store_proxies:
            proxy.fault = ProxyFault.REFUSE
            proxy.silence_all()
        await curio.sleep(fault.for_s)
        for proxy, host in cuts:
            proxy.heal(host)
        for proxy in store_proxies:
            proxy.fault = ProxyFault.NONE
        _for_each(self.vms, VmProcess.record_disturbance)

    async def _write_odd_entries(self, fault: Fault) -> None:
        """Let another writer leave odd entries, one of them over a target's own for a while."""
        odd = list(ODD_ENTRIES.values())
        for number, index in enumerate(fault.indexes):
            await self.store.put("servers", f"odd-{number}", odd[index % len(odd)])
        if fault.variant % 2:
            return
        target = self.targets[fault.indexes[0] % len(self.targets)]
        await self.store.put("servers", target.name, odd[fault.indexes[-1] % len(odd)])
        await curio.sleep(fault.for_s)
        await self._report(target)

    async def _answer_endlessly(self, fault: Fault, targets: list[TargetProcess]) -> None:
        kind = ENDLESS_FAULTS[fault.variant % len(ENDLESS_FAULTS)]
        for target in targets:
            target.fault = kind
        await curio.sleep(fault.for_s)
        for target in targets:
            if target.fault is kind:
                target.fault = TargetFault.NONE

    async def _withdraw_key(self) -> None:
        if self.configuration.withdraw_key("account-1", WITHDRAWN_KEY):
            await self._publish()
            self.checker.withdrawn_keys.append(Withdrawal(WITHDRAWN_KEY, read_clock_s()))

    async def _drain(self, target: TargetStandIn) -> None:
        """Drain a target, unless one of the same service was drained before."""
        drained = {withdrawal.name.split("-")[0] for withdrawal in self.checker.drained}
        if target.service not in drained:
            await self.store.report(target, "draining")
            self.checker.drained.append(Withdrawal(target.name, read_clock_s()))


def _for_each(processes: list[Any], action: Any) -> None:
    for process in processes:
        action(process)


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
    return SoakRun(
        settings=settings,
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
        callers=callers,
        checker=checker,
        configuration=create_configuration(SERVICES, settings.rate_per_s, settings.rate_per_s),
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
