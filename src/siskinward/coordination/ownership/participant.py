"""One VM's participation in the ownership of its failure domain's targets."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from siskinward.coordination.events import Send
from siskinward.coordination.ownership._assigner import FIRST_EPOCH
from siskinward.coordination.ownership._assigner import Assigner
from siskinward.coordination.ownership._assigner import OwnedTarget
from siskinward.coordination.ownership._holder import TargetHolder
from siskinward.coordination.ownership.messages import AssignerNotice
from siskinward.coordination.ownership.messages import OwnershipLease
from siskinward.coordination.ownership.messages import OwnershipRequest

if TYPE_CHECKING:
    from collections.abc import Sequence

    from siskinward.coordination.admission import Slot
    from siskinward.coordination.admission import SlotLedger
    from siskinward.coordination.events import Effect
    from siskinward.coordination.events import VmIdentity
    from siskinward.coordination.ownership.settings import OwnershipSettings
    from siskinward.state.identifiers import DomainName
    from siskinward.state.identifiers import TargetName
    from siskinward.state.identifiers import VmName
    from siskinward.state.objects import Configuration


def owned_targets(
    configuration: Configuration, domain: DomainName
) -> dict[TargetName, OwnedTarget]:
    """Return the targets of a failure domain, with what ownership uses of them."""
    found = {}
    for name, target in configuration.targets.items():
        group = configuration.target_groups[target.group]
        if group.failure_domain != domain:
            continue
        timeout_s = configuration.services[group.service].timeout_s
        found[name] = OwnedTarget(name, target.group, target.slots, timeout_s)
    return found


class OwnershipParticipant:
    """Leases targets while its VM holds the domain's grant, and uses those leased to its VM.

    Call ``on_grant`` with the grant's current state before ``on_message`` and ``on_timer``, at
    least every ``grant_validity_s``.
    """

    def __init__(
        self,
        settings: OwnershipSettings,
        own: VmIdentity,
        ledger: SlotLedger,
        configuration: Configuration,
    ) -> None:
        self._settings = settings
        self._own = own
        self._targets = owned_targets(configuration, own.failure_domain)
        self._holder = TargetHolder(settings, ledger, self._targets)
        self._assigner: Assigner | None = None
        self._assigner_vm: VmName | None = None
        self._epoch = 0
        self._grant_confirmed_s = float("-inf")
        self._grant_since_s = float("-inf")
        self._grant_epoch = 0
        self._members: tuple[VmIdentity, ...] = (own,)
        self._owners: dict[TargetName, VmName] = {}
        self._owners_serial = 0
        self._leaving = False
        self._next_request_s = 0.0
        self._next_notice_s = 0.0

    def take(self, target: TargetName, *, deadline_s: float, now_s: float) -> Slot | None:
        """Take a slot at a target; ``None`` if this VM may not use it or all slots are in use."""
        return self._holder.take(target, deadline_s=deadline_s, now_s=now_s)

    def may_use(self, target: TargetName, now_s: float) -> bool:
        """Return whether this VM may send new requests to ``target``."""
        return self._holder.may_use(target, now_s)

    def usable_targets(self, now_s: float) -> tuple[TargetName, ...]:
        """Return the targets that this VM may send new requests to."""
        return self._holder.usable(now_s)

    def owner_of(self, target: TargetName) -> VmName | None:
        """Return the last known owner of ``target``, to forward requests to."""
        return self._owners.get(target)

    @property
    def has_handed_over(self) -> bool:
        """Whether this VM owns no target any more; a VM that shuts down waits for it."""
        return self._holder.holds_nothing

    def on_grant(self, *, may_use: bool, epoch: int, now_s: float) -> list[Effect]:
        """Update the state and epoch of the domain's grant; start assigning when due."""
        if not may_use:
            self._grant_confirmed_s = float("-inf")
            return []
        self._grant_confirmed_s = now_s
        if epoch != self._grant_epoch:
            self._grant_epoch = epoch
            self._grant_since_s = now_s
        if self._assigner is not None and self._assigner.epoch == epoch:
            return []
        # The previous holder may rely on its last call of ``on_grant`` for this long.
        if now_s - self._grant_since_s < self._settings.grant_validity_s and epoch > FIRST_EPOCH:
            return []
        return self._start_assigning(epoch, now_s)

    def on_members(self, members: Sequence[VmIdentity], now_s: float) -> list[Effect]:
        """Update the live VMs of this failure domain, this one included."""
        joined = set(members) - set(self._members)
        self._members = tuple(members)
        if self._assigner is None:
            return []
        self._assigner.set_members(self._members)
        return self._notices(now_s) if joined else []

    def on_configuration(self, configuration: Configuration, now_s: float) -> None:
        """Apply a new configuration."""
        self._targets = owned_targets(configuration, self._own.failure_domain)
        self._holder.set_targets(self._targets)
        if self._assigner is not None:
            self._assigner.set_targets(self._targets, now_s=now_s)

    def leave(self, now_s: float) -> None:
        """Start handing over all targets to the other VMs; without any, just release them."""
        self._leaving = True
        self._next_request_s = now_s
        if len(self._members) <= 1:
            self._holder.recall_all(now_s)

    def on_message(self, message: Any, sender: VmIdentity, now_s: float) -> list[Effect]:
        """Handle a message from another VM; those of other failure domains are ignored."""
        if sender.failure_domain != self._own.failure_domain:
            return []
        match message:
            case AssignerNotice():
                return self._on_notice(message, sender, now_s)
            case OwnershipRequest():
                return self._on_request(message, sender, now_s)
            case OwnershipLease():
                return self._on_lease(message, sender, now_s)
        return []

    def on_timer(self, now_s: float) -> list[Effect]:
        """Renew leases, release recalled targets, and announce the assigner."""
        effects: list[Effect] = []
        if self._may_assign(now_s) and now_s >= self._next_notice_s:
            effects += self._notices(now_s)
        released = self._holder.on_timer(now_s)
        if released or now_s >= self._next_request_s:
            effects += self._request(now_s)
        return effects

    def _start_assigning(self, epoch: int, now_s: float) -> list[Effect]:
        self._assigner = Assigner(self._settings, epoch=epoch, targets=self._targets, now_s=now_s)
        self._assigner.set_members(self._members)
        self._follow_assigner(epoch, self._own.vm)
        return self._notices(now_s)

    def _may_assign(self, now_s: float) -> bool:
        return (
            self._assigner is not None
            and self._assigner.epoch == self._grant_epoch
            and now_s - self._grant_confirmed_s <= self._settings.grant_validity_s
        )

    def _follow_assigner(self, epoch: int, vm: VmName) -> None:
        if epoch > self._epoch:
            self._holder.forget_releases()
        self._epoch = epoch
        self._assigner_vm = vm
        self._next_request_s = float("-inf")

    def _notices(self, now_s: float) -> list[Effect]:
        assert self._assigner is not None
        self._next_notice_s = now_s + self._settings.notice_interval_s
        notice = AssignerNotice(self._assigner.epoch, self._assigner.serial)
        others = [member for member in self._members if member.vm != self._own.vm]
        return [Send(member.vm, notice) for member in others]

    def _on_notice(self, notice: AssignerNotice, sender: VmIdentity, now_s: float) -> list[Effect]:
        if notice.epoch > self._epoch:
            self._follow_assigner(notice.epoch, sender.vm)
        if notice.epoch < self._epoch or sender.vm != self._assigner_vm:
            return []
        return self._request(now_s) if notice.serial != self._owners_serial else []

    def _request(self, now_s: float) -> list[Effect]:
        self._next_request_s = now_s + self._settings.renew_interval_s
        if self._assigner_vm is None:
            return []
        request = self._holder.make_request(
            epoch=self._epoch,
            owners_serial=self._owners_serial,
            leaving=self._leaving,
            now_s=now_s,
        )
        if self._assigner_vm != self._own.vm:
            return [Send(self._assigner_vm, request)]
        if self._assigner is None or not self._may_assign(now_s):
            return []
        answer = self._assigner.on_request(request, self._own, now_s)
        if answer is not None:
            self._apply_lease(answer, now_s)
        return self._notify_new_owners(self._assigner)

    def _notify_new_owners(self, assigner: Assigner) -> list[Effect]:
        """Notify VMs of new targets, so that they fetch them before their next renewal."""
        notice = AssignerNotice(assigner.epoch, assigner.serial)
        return [Send(vm, notice) for vm in assigner.vms_to_notify() if vm != self._own.vm]

    def _on_request(
        self, request: OwnershipRequest, sender: VmIdentity, now_s: float
    ) -> list[Effect]:
        if self._assigner is None or not self._may_assign(now_s):
            return []
        if request.epoch != self._assigner.epoch:
            return [Send(sender.vm, AssignerNotice(self._assigner.epoch, self._assigner.serial))]
        answer = self._assigner.on_request(request, sender, now_s)
        if answer is None:
            return []
        return [Send(sender.vm, answer), *self._notify_new_owners(self._assigner)]

    def _on_lease(self, answer: OwnershipLease, sender: VmIdentity, now_s: float) -> list[Effect]:
        is_current = answer.epoch == self._epoch and sender.vm == self._assigner_vm
        # A late answer to this VM's previous process may have the same nonce.
        if is_current and answer.incarnation == self._own.incarnation:
            self._apply_lease(answer, now_s)
        return []

    def _apply_lease(self, answer: OwnershipLease, now_s: float) -> None:
        if not self._holder.on_lease(answer, now_s):
            return
        if answer.owners_serial != self._owners_serial:
            self._owners = {owner.target: owner.vm for owner in answer.owners}
            self._owners_serial = answer.owners_serial
