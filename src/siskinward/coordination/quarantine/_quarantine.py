"""Keeps a request that crashes its targets from being run on more than two of them."""

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
from siskinward.coordination.quarantine._suspects import SuspectBook
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
    """Run the attempt; if ``alone``, on a target that runs nothing else meanwhile."""

    attempt_id: str
    alone: bool


@frozen
class Refuse:
    """Do not run the attempt."""

    attempt_id: str
    outcome: NotRun


@frozen
class Hold:
    """Call ``admit`` again after ``for_s``, with ``held`` set."""

    attempt_id: str
    for_s: float


QuarantineStep = Effect | Permit | Refuse | Hold


@frozen
class _Asking:
    fingerprint: str
    owner: VmName
    refuse_at_s: float


@frozen
class _Run:
    fingerprint: str
    owner: VmName | None
    target: TargetName = NO_TARGET


class Quarantine:
    """Asked before each run by the VM that dispatches, and told how each run ended.

    After its first loss a fingerprint runs once at a time over the fleet: the VM that rendezvous
    hashing names its owner grants each run. Without an answer from the owner it is refused.
    """

    def __init__(self, settings: QuarantineSettings, own: VmIdentity) -> None:
        self._settings = settings
        self._own = own
        self._live: tuple[VmIdentity, ...] = (own,)
        self._suspects = SuspectBook(settings)
        self._owner = PermitOwner(settings, self._suspects)
        self._asking: dict[str, _Asking] = {}
        self._runs: dict[str, _Run] = {}
        self._losses = 0

    def set_unproven_hold(self, hold_unproven_s: float) -> None:
        """Set how long unproven fingerprints are held back; see ``compute_unproven_hold_s``."""
        self._settings = evolve(self._settings, hold_unproven_s=hold_unproven_s)

    def on_members(self, live: Sequence[VmIdentity], now_s: float) -> list[QuarantineStep]:
        """Take the live VMs of all failure domains."""
        newcomers = set(live) - set(self._live)
        if set(self._live) == set(live):
            return []
        steps = self._tell_newcomers(newcomers, now_s)
        self._live = tuple(live) or (self._own,)
        self._owner.on_members_changed(now_s)
        return steps

    def admit(
        self, attempt_id: str, fingerprint: str, now_s: float, *, held: bool = False
    ) -> list[QuarantineStep]:
        """Ask to run an attempt; ends in one ``Permit`` or ``Refuse``, at once or later."""
        refused_s = self._suspects.quarantined_for_s(fingerprint, now_s)
        if refused_s > 0.0:
            return [self._refusal(attempt_id, refused_s)]
        if not self._must_ask(fingerprint, now_s):
            hold_s = 0.0 if held else self._hold_s(fingerprint, now_s)
            if hold_s > 0.0:
                return [Hold(attempt_id, hold_s)]
            self._runs[attempt_id] = _Run(fingerprint, None)
            return [Permit(attempt_id, alone=False)]
        owner = self.owner_of(fingerprint)
        refuse_at_s = now_s + self._settings.ask_timeout_s
        self._asking[attempt_id] = _Asking(fingerprint, owner, refuse_at_s)
        return self._deliver([Send(owner, PermitRequest(fingerprint, attempt_id))], now_s)

    def may_start(self, attempt_id: str, now_s: float) -> bool:
        """Whether a permitted attempt, after a wait in a queue, may still be dispatched."""
        run = self._runs.get(attempt_id)
        if run is None:
            return False
        return run.owner is not None or not self._suspects.is_suspect(run.fingerprint, now_s)

    def on_started(self, attempt_id: str, target: TargetName) -> None:
        """A permitted attempt was dispatched to a target."""
        self._runs[attempt_id] = evolve(self._runs[attempt_id], target=target)

    def on_finished(self, attempt_id: str, *, ran: bool, now_s: float) -> list[QuarantineStep]:
        """An attempt ended without the loss of its target; ``ran`` if it ran to its end."""
        run = self._runs.pop(attempt_id, None)
        if run is None:
            return []
        steps: list[QuarantineStep] = []
        if run.owner is not None:
            released = PermitReleased(run.fingerprint, attempt_id, None)
            steps.append(Send(run.owner, released))
        if ran:
            self._suspects.note_success(run.fingerprint, now_s)
            if self._suspects.is_suspect(run.fingerprint, now_s):
                steps += self._tell_all(SuspectCleared(run.fingerprint))
        return self._deliver(steps, now_s)

    def on_target_lost(self, target: TargetName, now_s: float) -> list[QuarantineStep]:
        """A target was lost: what ran there and is not proven becomes suspect."""
        steps: list[QuarantineStep] = []
        for attempt_id, run in list(self._runs.items()):
            if run.target != target:
                continue
            del self._runs[attempt_id]
            loss = TargetLoss(target, self._next_loss_id(), run.owner is not None)
            if run.owner is not None:
                steps.append(Send(run.owner, PermitReleased(run.fingerprint, attempt_id, loss)))
            if loss.alone or not self._suspects.is_proven(run.fingerprint, now_s):
                steps += self._tell_all(SuspectReported(run.fingerprint, loss))
        return self._deliver(steps, now_s)

    def on_message(self, message: Any, sender: VmIdentity, now_s: float) -> list[QuarantineStep]:
        """Handle a message of ``messages.MESSAGES``."""
        return self._deliver(self._handle(message, sender, now_s), now_s)

    def on_timer(self, now_s: float) -> list[QuarantineStep]:
        """Refuse attempts whose owner did not answer; drop what has expired."""
        self._suspects.expire(now_s)
        self._owner.expire(now_s)
        steps: list[QuarantineStep] = []
        for attempt_id, asking in list(self._asking.items()):
            if now_s < asking.refuse_at_s:
                continue
            del self._asking[attempt_id]
            steps.append(self._refusal(attempt_id, self._settings.busy_retry_after_s))
            released = PermitReleased(asking.fingerprint, attempt_id, None)
            steps.append(Send(asking.owner, released))
        return self._deliver(steps, now_s)

    def owner_of(self, fingerprint: str) -> VmName:
        """The VM that serialises a fingerprint, by rendezvous hashing over the live VMs."""
        return max((vm.vm for vm in self._live), key=lambda vm: _weight(vm, fingerprint))

    def _handle(self, message: Any, sender: VmIdentity, now_s: float) -> Sequence[QuarantineStep]:
        match message:
            case PermitRequest() if self.owner_of(message.fingerprint) != self._own.vm:
                # The sender sees other members; two owners would grant two permits.
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
                if self._asking.pop(attempt_id, None):
                    return [self._refusal(attempt_id, retry_after_s)]
            case SuspectReported(fingerprint, loss):
                self._suspects.note_loss(fingerprint, loss, now_s)
            case SuspectCleared(fingerprint):
                self._suspects.clear(fingerprint)
        return []

    def _on_granted(self, message: PermitGranted, sender: VmIdentity) -> list[QuarantineStep]:
        asking = self._asking.pop(message.attempt_id, None)
        if asking is None:
            if message.attempt_id in self._runs:
                return []
            released = PermitReleased(message.fingerprint, message.attempt_id, None)
            return [Send(sender.vm, released)]
        self._runs[message.attempt_id] = _Run(message.fingerprint, asking.owner)
        return [Permit(message.attempt_id, alone=True)]

    def _hold_s(self, fingerprint: str, now_s: float) -> float:
        if self._suspects.is_proven(fingerprint, now_s):
            return 0.0
        return self._settings.hold_unproven_s

    def _next_loss_id(self) -> str:
        self._losses += 1
        return f"{self._own.incarnation}/{self._losses}"

    def _must_ask(self, fingerprint: str, now_s: float) -> bool:
        if self._suspects.is_suspect(fingerprint, now_s):
            return True
        return self._settings.ask_unproven and not self._suspects.is_proven(fingerprint, now_s)

    def _tell_all(self, message: SuspectReported | SuspectCleared) -> list[QuarantineStep]:
        others = [vm.vm for vm in self._live if vm.vm != self._own.vm]
        return [Send(vm, message) for vm in (self._own.vm, *others)]

    def _tell_newcomers(
        self, newcomers: Collection[VmIdentity], now_s: float
    ) -> list[QuarantineStep]:
        # The owner among the members so far tells what a fresh VM, or one cut off, has missed.
        reports = [
            SuspectReported(fingerprint, evolve(loss, alone=True))
            for fingerprint, loss in self._suspects.losses(now_s)
            if self.owner_of(fingerprint) == self._own.vm
        ]
        return [Send(vm.vm, report) for vm in newcomers for report in reports]

    def _deliver(self, steps: Sequence[QuarantineStep], now_s: float) -> list[QuarantineStep]:
        return deliver_locally(steps, self._own, self._handle, now_s)

    def _refusal(self, attempt_id: str, retry_after_s: float) -> Refuse:
        return Refuse(attempt_id, NotRun(RefusalReason.QUARANTINED, retry_after_s))


def _weight(vm: VmName, fingerprint: str) -> bytes:
    return blake2b(f"{vm}/{fingerprint}".encode(), digest_size=8).digest()
