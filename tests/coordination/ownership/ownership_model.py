"""Simulation of three VMs of one failure domain that share targets over a lossy network."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING
from typing import Any

from attrs import define
from attrs import field
from attrs import frozen

from siskinward.coordination.admission import AdmissionSettings
from siskinward.coordination.admission import Slot
from siskinward.coordination.admission import SlotLedger
from siskinward.coordination.events import Send
from siskinward.coordination.events import VmIdentity
from siskinward.coordination.ownership import OwnershipParticipant
from siskinward.coordination.ownership import OwnershipSettings
from siskinward.state.identifiers import DomainName
from siskinward.state.identifiers import IncarnationId
from siskinward.state.identifiers import ServiceName
from siskinward.state.identifiers import TargetName
from siskinward.state.identifiers import VmName
from siskinward.state.objects import Configuration
from siskinward.state.objects import Service
from siskinward.state.objects import ServiceClass
from siskinward.state.objects import Target
from siskinward.state.objects import TargetGroup

if TYPE_CHECKING:
    from siskinward.coordination.events import Effect

DOMAIN = DomainName("budapest-1")
LISTINGS = ServiceName("listings")
SLOTS = 2
TIMEOUT_S = 4.0
STEP_S = 0.1
TARGETS = tuple(TargetName(f"target-{number}") for number in range(3))
CONFIGURATION = Configuration(
    services={LISTINGS: Service(LISTINGS, ServiceClass.READ, timeout_s=TIMEOUT_S)},
    target_groups={"group": TargetGroup("group", LISTINGS, DOMAIN)},
    targets={name: Target(name, "group", "::1", 80, SLOTS, 330) for name in TARGETS},
)


@frozen
class Fault:
    """``action`` happens to VM ``vm`` at step ``step`` for ``steps``."""

    step: int
    action: str
    vm: int
    steps: int


@define
class Run:
    """A request at a target; it ends at ``end_s`` unless its VM receives the answer before."""

    target: TargetName
    start_s: float
    end_s: float


@define
class ModelVm:
    """A VM process with its open requests."""

    identity: VmIdentity
    ledger: SlotLedger
    participant: OwnershipParticipant
    paused_until: int = 0
    leaving: bool = False
    open_runs: list[tuple[Slot, Run, bool]] = field(factory=list)


class OwnershipModel:
    """Runs the VMs under faults and records every request at a target."""

    def __init__(self, seed: int, settings: OwnershipSettings, *, loss: float) -> None:
        self.random = Random(seed)
        self.settings = settings
        self.loss = loss
        self.step = 0
        self.runs: list[Run] = []
        self.network: list[tuple[int, VmName, Any, VmIdentity]] = []
        self.vms: list[ModelVm] = []
        self.grant_vm, self.epoch = 0, 1
        for number in range(3):
            self.vms.append(self._start(number, 0))

    def _start(self, number: int, generation: int) -> ModelVm:
        name = VmName(f"vm-{number}")
        identity = VmIdentity(name, DOMAIN, IncarnationId(f"{number}.{generation}"))
        admission = AdmissionSettings(hold_margin_s=self.settings.pause_bound_s)
        ledger = SlotLedger(admission)
        participant = OwnershipParticipant(self.settings, identity, ledger, CONFIGURATION)
        return ModelVm(identity, ledger, participant)

    @property
    def now_s(self) -> float:
        return 100.0 + self.step * STEP_S

    def run(self, faults: list[Fault], steps: int) -> None:
        for self.step in range(steps):
            for fault in faults:
                if fault.step == self.step:
                    self._apply_fault(fault)
            self._deliver()
            for number, vm in enumerate(self.vms):
                if vm.paused_until <= self.step:
                    self._tick(number, vm)

    def most_in_use(self) -> int:
        """The most requests that ran at one target at the same time."""
        most = 0
        for target in TARGETS:
            runs = [run for run in self.runs if run.target == target]
            for run in runs:
                same = sum(other.start_s <= run.start_s < other.end_s for other in runs)
                most = max(most, same)
        return most

    def _apply_fault(self, fault: Fault) -> None:
        vm = self.vms[fault.vm]
        match fault.action:
            case "pause":
                vm.paused_until = self.step + fault.steps
            case "restart":
                self.vms[fault.vm] = self._start(fault.vm, self.step)
                # A grant names an incarnation: the new process takes it over under a new epoch.
                self.epoch += fault.vm == self.grant_vm
            case "kill":
                vm.paused_until = 10**9
            case "takeover":
                self.grant_vm, self.epoch = fault.vm, self.epoch + 1
            case "leave":
                vm.leaving = True
                vm.participant.leave(self.now_s)

    def _deliver(self) -> None:
        due = [item for item in self.network if item[0] <= self.step]
        self.network = [item for item in self.network if item[0] > self.step]
        self.random.shuffle(due)
        for _, to, message, sender in due:
            vm = next(vm for vm in self.vms if vm.identity.vm == to)
            if vm.paused_until > self.step:
                self.network.append((vm.paused_until, to, message, sender))
                continue
            self._carry_out(vm, vm.participant.on_message(message, sender, self.now_s))

    def _tick(self, number: int, vm: ModelVm) -> None:
        now_s = self.now_s
        members = [other.identity for other in self.vms if other.paused_until < self.step + 50]
        may_use = number == self.grant_vm
        self._carry_out(vm, vm.participant.on_members(members, now_s))
        self._carry_out(vm, vm.participant.on_grant(may_use=may_use, epoch=self.epoch, now_s=now_s))
        self._carry_out(vm, vm.participant.on_timer(now_s))
        vm.ledger.on_timer(now_s)
        self._finish(vm)
        for target in TARGETS:
            while self._dispatch(vm, target):
                pass

    def _finish(self, vm: ModelVm) -> None:
        still_open = []
        for slot, run, is_unanswered in vm.open_runs:
            if is_unanswered:
                vm.ledger.hold(slot, now_s=self.now_s)
            elif self.now_s >= run.start_s + 0.2:
                run.end_s = min(run.end_s, self.now_s)
                vm.ledger.release(slot)
            else:
                still_open.append((slot, run, is_unanswered))
        vm.open_runs = still_open

    def _dispatch(self, vm: ModelVm, target: TargetName) -> bool:
        now_s = self.now_s
        slot = vm.participant.take(target, deadline_s=now_s + TIMEOUT_S, now_s=now_s)
        if slot is None:
            return False
        start_s = now_s
        if self.random.random() < 0.1:
            # The VM is paused between taking the slot and sending.
            pause_steps = int(MODEL_PAUSE_S / STEP_S)
            vm.paused_until = max(vm.paused_until, self.step + pause_steps)
            start_s += MODEL_PAUSE_S
        run = Run(target, start_s, start_s + slot.deadline_s - now_s)
        self.runs.append(run)
        vm.open_runs.append((slot, run, self.random.random() < 0.2))
        return True

    def _carry_out(self, vm: ModelVm, effects: list[Effect]) -> None:
        for effect in effects:
            assert isinstance(effect, Send)
            if self.random.random() < self.loss:
                continue
            for _ in range(2 if self.random.random() < self.loss else 1):
                is_late = self.loss > 0 and self.random.random() < 0.2
                delay = self.random.randrange(1, 40) if is_late else 1
                self.network.append((self.step + delay, effect.to, effect.message, vm.identity))


MODEL_PAUSE_S = 0.8
SETTINGS = OwnershipSettings(pause_bound_s=1.0)
