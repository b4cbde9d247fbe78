"""Injects the faults of a run into its processes, links, store and targets."""

from __future__ import annotations

from typing import Any

import curio
from attrs import define

from siskinward.platform.standins import OperatorConfiguration
from siskinward.platform.standins import StoreFault
from siskinward.platform.standins import StoreStandIn
from siskinward.platform.standins import TargetFault
from siskinward.platform.standins import TargetStandIn
from siskinward.transport.clock import read_clock_s
from soak.faults import Fault
from soak.faults import FaultKind
from soak.loopback_proxy import LoopbackProxy
from soak.loopback_proxy import ProxyFault
from soak.loopback_proxy import SourceCut
from soak.odd_entries import ODD_ENTRIES
from soak.promises import PromiseChecker
from soak.promises import TargetCut
from soak.promises import Withdrawal
from soak.target_process import TargetProcess
from soak.vm_process import VmProcess

DOMAIN_REGIONS = {"bud-a": "budapest", "bud-b": "budapest", "deb-a": "debrecen", "pec-a": "pecs"}
STORE_AWAY_S = 0.5
# The operator and the targets notice the loss and write again after this time.
WRITTEN_AGAIN_S = 0.5
WITHDRAWN_KEY = "spare-key-1"
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
# Most targets leave; a word that is doubtful, or says nothing, costs them no request.
LEAVING_WORDS = ("1", "1", "1", "0", "1", "yes")
RESTS = ("3", "0.7", "1.5", "soon")
ENDLESS_FAULTS = (
    TargetFault.ENDLESS_HEAD,
    TargetFault.ENDLESS_INTERIM,
    TargetFault.ENDLESS_BODY,
    TargetFault.ENDLESS_CHUNKS,
)


@define(eq=False)
class FaultInjector:
    """Injects faults into a deployment, and tells the checker what it needs to know of them."""

    store: StoreStandIn
    targets: list[TargetProcess]
    vms: list[VmProcess]
    store_proxies: list[LoopbackProxy]
    target_proxies: list[LoopbackProxy]
    checker: PromiseChecker
    configuration: OperatorConfiguration

    async def inject(self, fault: Fault) -> None:
        """Inject one fault, and end it after its time."""
        vms = [self.vms[index % len(self.vms)] for index in fault.indexes]
        store_proxies = [self.store_proxies[index % len(self.vms)] for index in fault.indexes]
        match fault.kind:
            case FaultKind.VM_LEAVE | FaultKind.VM_STOP:
                for_each(vms, VmProcess.stop)
            case FaultKind.VM_KILL:
                for_each(vms, VmProcess.kill)
            case FaultKind.ALL_VMS_KILL:
                for_each(self.vms, VmProcess.kill)
                self.checker.limits.forget(read_clock_s())
            case FaultKind.VM_RELOAD:
                for_each(vms, VmProcess.reload)
            case FaultKind.VM_PAUSE:
                for_each(vms, VmProcess.pause)
                await curio.sleep(fault.for_s)
                for_each(vms, VmProcess.resume)
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
                await self.store.publish(self.configuration)
            case FaultKind.ZONE_CUT:
                await self._cut_zone(fault)
            case FaultKind.ODD_ENTRIES:
                await self._write_odd_entries(fault)
            case _ if fault.kind in STORE_FAULTS:
                await self._inject_store_fault(fault)
            case _ if fault.kind in PROXY_FAULTS and "store" in fault.kind.value:
                for_each(vms, VmProcess.record_disturbance)
                await self._inject_proxy_fault(fault, store_proxies)
                for_each(vms, VmProcess.record_disturbance)
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
            case FaultKind.TARGET_LEAVING:
                await self._let_leave(fault, targets)
            case FaultKind.TARGET_REST:
                await self._let_rest(fault, targets)
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

    async def _let_leave(self, fault: Fault, targets: list[TargetProcess]) -> None:
        """Let targets say that they leave, and start again; their entries stay ready."""
        word = LEAVING_WORDS[fault.variant % len(LEAVING_WORDS)]
        staying = [target for target in targets if target.leaving is None]
        for target in staying:
            self.checker.words.leave(target, word, read_clock_s())
        await curio.sleep(fault.for_s)
        for target in staying:
            self.checker.words.record_restart(target, read_clock_s())
            await target.crash()
            target.leaving = None
            target.started_ms += 1
            await target.start()
            await self._report(target)

    async def _let_rest(self, fault: Fault, targets: list[TargetProcess]) -> None:
        """Let targets turn requests away and ask for rests."""
        rest = RESTS[fault.variant % len(RESTS)]
        for target in targets:
            target.fault, target.rest = TargetFault.SHEDS, rest
        await curio.sleep(fault.for_s)
        for target in targets:
            target.fault, target.rest = TargetFault.NONE, None

    async def _inject_connection_fault(self, fault: Fault, proxies: list[LoopbackProxy]) -> None:
        for proxy in proxies:
            if fault.kind in (FaultKind.STORE_SILENCE, FaultKind.TARGET_SILENCE):
                proxy.silence_all()
            else:
                await proxy.reset_all()
        # Any VM may have had a request on one of these connections.
        for_each(self.vms, VmProcess.record_disturbance)

    async def _inject_proxy_fault(self, fault: Fault, proxies: list[LoopbackProxy]) -> None:
        for proxy in proxies:
            proxy.fault = PROXY_FAULTS[fault.kind]
        await curio.sleep(fault.for_s)
        for proxy in proxies:
            proxy.fault = ProxyFault.NONE

    async def _inject_store_fault(self, fault: Fault) -> None:
        for_each(self.vms, VmProcess.record_disturbance)
        self.store.fault = STORE_FAULTS[fault.kind]
        await curio.sleep(fault.for_s)
        self.store.fault = StoreFault.NONE
        for_each(self.vms, VmProcess.record_disturbance)

    async def _restore_store(self, fault: Fault) -> None:
        """Take the store away and bring it back from a copy that is ``for_s`` old."""
        copy = self.store.take_copy()
        await curio.sleep(fault.for_s)
        for_each(self.vms, VmProcess.record_disturbance)
        await self.store.come_back_from(copy, away_s=STORE_AWAY_S)
        await curio.sleep(WRITTEN_AGAIN_S)
        await self.store.publish(self.configuration)
        for target in self.targets:
            await self._report(target)
        for_each(self.vms, VmProcess.record_disturbance)

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
        for_each(self.vms, VmProcess.record_disturbance)
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
        for_each(self.vms, VmProcess.record_disturbance)

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
            await self.store.publish(self.configuration)
            self.checker.withdrawn_keys.append(Withdrawal(WITHDRAWN_KEY, read_clock_s()))

    async def _drain(self, target: TargetStandIn) -> None:
        """Drain a target, unless one of the same service was drained before."""
        drained = {withdrawal.name.split("-")[0] for withdrawal in self.checker.drained}
        if target.service not in drained:
            await self.store.report(target, "draining")
            self.checker.drained.append(Withdrawal(target.name, read_clock_s()))


def for_each(processes: list[Any], action: Any) -> None:
    """Call an action with each process."""
    for process in processes:
        action(process)
