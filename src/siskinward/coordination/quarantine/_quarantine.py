"""Stops a request that crashes its targets from running on more than two of them."""

from __future__ import annotations

from hashlib import blake2b
from typing import TYPE_CHECKING
from typing import Any

from attrs import evolve
from attrs import frozen

from siskinward.coordination.events import Effect
from siskinward.coordination.events import Send
from siskinward.coordination.local_delivery import deliver_locally
from siskinward.coordination.outcomes import NotRun
from siskinward.coordination.outcomes import RefusalReason
from siskinward.coordination.quarantine._permits import PermitOwner
from siskinward.coordination.quarantine._suspects import SuspectRegistry
from siskinward.coordination.quarantine.messages import PermitGranted
from siskinward.coordination.quarantine.messages import PermitRefused
from siskinward.coordination.quarantine.messages import PermitReleased
from siskinward.coordination.quarantine.messages import PermitRequest
from siskinward.coordination.quarantine.messages import SuspectCleared
from siskinward.coordination.quarantine.messages import SuspectReported
from siskinward.coordination.quarantine.messages import TargetLoss
from siskinward.state.identifiers import TargetName
from siskinward.state.identifiers import VmName

if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Sequence

    from siskinward.coordination.events import VmIdentity
    from siskinward.coordination.quarantine._settings import QuarantineSettings

NO_TARGET = TargetName("")


@frozen
class Permit:
    """The attempt may run; if ``alone``, only on a target that runs nothing else meanwhile."""

    attempt_id: str
    alone: bool


@frozen
class Refuse:
    """The attempt must not run."""

    attempt_id: str
    outcome: NotRun


@frozen
class Hold:
    """The caller must call ``admit`` again after ``for_s``, with ``held`` set."""

    attempt_id: str
    for_s: float


QuarantineStep = Effect | Permit | Refuse | Hold


@frozen
class _PendingRequest:
    fingerprint: str
    owner: VmName
    refuse_at_s: float


@frozen
class _Run:
    fingerprint: str
    owner: VmName | None
    target: TargetName = NO_TARGET


class Quarantine:
    """Decides before each attempt whether it may run, and records how it ended.

    The VM that dispatches an attempt uses its own instance. After its first coincidence with a
    lost target, a fingerprint runs at most once at a time in the fleet: its owner, a VM chosen by
    rendezvous hashing, permits each run. If the owner does not answer, the attempt is refused.
    """

    def __init__(self, settings: QuarantineSettings, own: VmIdentity) -> None:
        self._settings = settings
        self._own = own
        self._live: tuple[VmIdentity, ...] = (own,)
        self._suspects = SuspectRegistry(settings)
        self._owner = PermitOwner(settings, self._suspects)
        self._pending: dict[str, _PendingRequest] = {}
        self._runs: dict[str, _Run] = {}
        self._loss_count = 0

    def set_unproven_hold(self, hold_unproven_s: float) -> None:
        """Set how long unproven fingerprints are held back; see ``compute_unproven_hold_s``."""
        self._settings = evolve(self._settings, hold_unproven_s=hold_unproven_s)

    def on_members(self, live: Sequence[VmIdentity], now_s: float) -> list[QuarantineStep]:
        """Apply a change of the live VMs of all failure domains."""
        new_members = set(live) - set(self._live)
        if set(self._live) == set(live):
            return []
        steps = self._report_to_new_members(new_members, now_s)
        self._live = tuple(live) or (self._own,)
        self._owner.on_members_changed(now_s)
        return steps

    def admit(
        self, attempt_id: str, fingerprint: str, now_s: float, *, held: bool = False
    ) -> list[QuarantineStep]:
        """Ask to run an attempt; the result is one ``Permit`` or ``Refuse``, at once or later.

        An unproven fingerprint gets a ``Hold`` first, unless ``held`` says that it was held.
        """
        refused_s = self._suspects.quarantined_for_s(fingerprint, now_s)
        if refused_s > 0.0:
            return [self._refusal(attempt_id, refused_s)]
        if not self._needs_permit(fingerprint, now_s):
            hold_s = 0.0 if held else self._hold_s(fingerprint, now_s)
            if hold_s > 0.0:
                return [Hold(attempt_id, hold_s)]
            self._runs[attempt_id] = _Run(fingerprint, None)
            return [Permit(attempt_id, alone=False)]
        owner = self.owner_of(fingerprint)
        refuse_at_s = now_s + self._settings.ask_timeout_s
        self._pending[attempt_id] = _PendingRequest(fingerprint, owner, refuse_at_s)
        return self._deliver([Send(owner, PermitRequest(fingerprint, attempt_id))], now_s)

    def may_start(self, attempt_id: str, now_s: float) -> bool:
        """Return whether a permitted attempt may still be dispatched after waiting in a queue."""
        run = self._runs.get(attempt_id)
        if run is None:
            return False
        return run.owner is not None or not self._suspects.is_suspect(run.fingerprint, now_s)

    def on_started(self, attempt_id: str, target: TargetName) -> None:
        """Record that a permitted attempt was dispatched to a target."""
        self._runs[attempt_id] = evolve(self._runs[attempt_id], target=target)

    def on_finished(self, attempt_id: str, *, ran: bool, now_s: float) -> list[QuarantineStep]:
        """Record the end of an attempt without loss of its target; ``ran`` if it ran to its end."""
        run = self._runs.pop(attempt_id, None)
        if run is None:
            return []
        steps: list[QuarantineStep] = []
        if run.owner is not None:
            released = PermitReleased(run.fingerprint, attempt_id, None)
            steps.append(Send(run.owner, released))
        if ran:
            self._suspects.record_success(run.fingerprint, now_s)
            if self._suspects.is_suspect(run.fingerprint, now_s):
                steps += self._broadcast(SuspectCleared(run.fingerprint))
        return self._deliver(steps, now_s)

    def on_target_lost(self, target: TargetName, now_s: float) -> list[QuarantineStep]:
        """Report the attempts that ran on a lost target as suspects.

        Proven fingerprints are left out, unless they ran alone on the target.
        """
        steps: list[QuarantineStep] = []
        for attempt_id, run in list(self._runs.items()):
            if run.target != target:
                continue
            del self._runs[attempt_id]
            loss = TargetLoss(target, self._next_loss_id(), run.owner is not None)
            if run.owner is not None:
                steps.append(Send(run.owner, PermitReleased(run.fingerprint, attempt_id, loss)))
            if loss.alone or not self._suspects.is_proven(run.fingerprint, now_s):
                steps += self._broadcast(SuspectReported(run.fingerprint, loss))
        return self._deliver(steps, now_s)

    def on_message(self, message: Any, sender: VmIdentity, now_s: float) -> list[QuarantineStep]:
        """Handle a message of ``messages.MESSAGES``."""
        return self._deliver(self._handle(message, sender, now_s), now_s)

    def on_timer(self, now_s: float) -> list[QuarantineStep]:
        """Refuse attempts whose owner did not answer; drop expired suspects and permits."""
        self._suspects.expire(now_s)
        self._owner.expire(now_s)
        steps: list[QuarantineStep] = []
        for attempt_id, pending in list(self._pending.items()):
            if now_s < pending.refuse_at_s:
                continue
            del self._pending[attempt_id]
            steps.append(self._refusal(attempt_id, self._settings.busy_retry_after_s))
            released = PermitReleased(pending.fingerprint, attempt_id, None)
            steps.append(Send(pending.owner, released))
        return self._deliver(steps, now_s)

    def owner_of(self, fingerprint: str) -> VmName:
        """Return the VM that grants permits for a fingerprint, by rendezvous hashing."""
        return max((vm.vm for vm in self._live), key=lambda vm: _rendezvous_weight(vm, fingerprint))

    def _handle(self, message: Any, sender: VmIdentity, now_s: float) -> Sequence[QuarantineStep]:
        match message:
            case PermitRequest() if self.owner_of(message.fingerprint) != self._own.vm:
                # The sender has a different list of live VMs; two owners would grant two permits.
                wait_s = self._settings.busy_retry_after_s
                refused = PermitRefused(message.fingerprint, message.attempt_id, wait_s)
                return [Send(sender.vm, refused)]
            case PermitRequest():
                return self._owner.on_request(message, sender, now_s)
            case PermitReleased():
                self._owner.on_released(message, sender, now_s)
            case PermitGranted():
                return self._on_granted(message, sender)
            case PermitRefused(_, attempt_id, retry_after_s):
                if self._pending.pop(attempt_id, None):
                    return [self._refusal(attempt_id, retry_after_s)]
            case SuspectReported(fingerprint, loss):
                self._suspects.record_loss(fingerprint, loss, now_s)
            case SuspectCleared(fingerprint):
                self._suspects.clear(fingerprint)
        return []

    def _on_granted(self, message: PermitGranted, sender: VmIdentity) -> list[QuarantineStep]:
        pending = self._pending.pop(message.attempt_id, None)
        if pending is None:
            if message.attempt_id in self._runs:
                return []
            released = PermitReleased(message.fingerprint, message.attempt_id, None)
            return [Send(sender.vm, released)]
        self._runs[message.attempt_id] = _Run(message.fingerprint, pending.owner)
        return [Permit(message.attempt_id, alone=True)]

    def _hold_s(self, fingerprint: str, now_s: float) -> float:
        if self._suspects.is_proven(fingerprint, now_s):
            return 0.0
        return self._settings.hold_unproven_s

    def _next_loss_id(self) -> str:
        self._loss_count += 1
        return f"{self._own.incarnation}/{self._loss_count}"

    def _needs_permit(self, fingerprint: str, now_s: float) -> bool:
        if self._suspects.is_suspect(fingerprint, now_s):
            return True
        return self._settings.ask_unproven and not self._suspects.is_proven(fingerprint, now_s)

    def _broadcast(self, message: SuspectReported | SuspectCleared) -> list[QuarantineStep]:
        others = [vm.vm for vm in self._live if vm.vm != self._own.vm]
        return [Send(vm, message) for vm in (self._own.vm, *others)]

    def _report_to_new_members(
        self, new_members: Collection[VmIdentity], now_s: float
    ) -> list[QuarantineStep]:
        # Each owner among the previous members reports what a new or reconnected VM has missed.
        reports = [
            SuspectReported(fingerprint, evolve(loss, alone=True))
            for fingerprint, loss in self._suspects.losses(now_s)
            if self.owner_of(fingerprint) == self._own.vm
        ]
        return [Send(vm.vm, report) for vm in new_members for report in reports]

    def _deliver(self, steps: Sequence[QuarantineStep], now_s: float) -> list[QuarantineStep]:
        return deliver_locally(steps, self._own, self._handle, now_s)

    def _refusal(self, attempt_id: str, retry_after_s: float) -> Refuse:
        return Refuse(attempt_id, NotRun(RefusalReason.QUARANTINED, retry_after_s))


def _rendezvous_weight(vm: VmName, fingerprint: str) -> bytes:
    return blake2b(f"{vm}/{fingerprint}".encode(), digest_size=8).digest()
