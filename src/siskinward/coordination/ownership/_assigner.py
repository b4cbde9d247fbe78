"""Leases targets to VMs; runs on the VM that holds the failure domain's grant."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define
from attrs import frozen

from siskinward.coordination.events import VmIdentity
from siskinward.coordination.ownership._placement import choose_vm
from siskinward.coordination.ownership._placement import load_bound
from siskinward.coordination.ownership.messages import LeasedTarget
from siskinward.coordination.ownership.messages import OwnershipLease
from siskinward.coordination.ownership.messages import OwnershipRequest
from siskinward.coordination.ownership.messages import TargetOwner
from siskinward.state.identifiers import TargetName

if TYPE_CHECKING:
    from collections.abc import Mapping
    from collections.abc import Sequence

    from siskinward.coordination.ownership.messages import HeldTarget
    from siskinward.coordination.ownership.messages import ReleasedTarget
    from siskinward.coordination.ownership.settings import OwnershipSettings
    from siskinward.state.identifiers import VmName

TERM_BITS = 32
FIRST_EPOCH = 1


@frozen
class OwnedTarget:
    """Configuration of a target for ownership. No request there runs longer than ``timeout_s``."""

    target: TargetName
    group: str
    slots: int
    timeout_s: float


@define
class _Assignment:
    """A target's lease. ``usable_at_s`` is the earliest first use by its next holder.

    ``delivered``: the lease was sent to the holder. ``notified``: its notice was issued.
    """

    usable_at_s: float
    term: int = 0
    holder: VmIdentity | None = None
    delivered: bool = False
    notified: bool = False
    expires_at_s: float = 0.0
    busy_until_s: tuple[float, ...] = ()


class Assigner:
    """Leases the targets of a failure domain under one epoch of the domain's grant.

    It starts without the leases of its predecessor. Until all of them must have expired, it only
    renews what VMs report to hold; then it also leases what no VM reported. The first epoch has no
    predecessor.
    """

    def __init__(
        self,
        settings: OwnershipSettings,
        *,
        epoch: int,
        targets: Mapping[TargetName, OwnedTarget],
        now_s: float,
    ) -> None:
        self._settings = settings
        self.epoch = epoch
        self.serial = epoch << TERM_BITS
        self._next_term = (epoch << TERM_BITS) + 1
        self._has_predecessor = epoch > FIRST_EPOCH
        self._recovered_at_s = now_s
        if self._has_predecessor:
            self._recovered_at_s += settings.lease_s + settings.pause_bound_s
        self._targets: dict[TargetName, OwnedTarget] = {}
        self._assignments: dict[TargetName, _Assignment] = {}
        self._nonces: dict[VmIdentity, int] = {}
        self._members: tuple[VmIdentity, ...] = ()
        self._leaving: set[VmIdentity] = set()
        self.set_targets(targets, now_s=now_s)

    def set_targets(self, targets: Mapping[TargetName, OwnedTarget], *, now_s: float) -> None:
        """Replace the targets by those of a new configuration.

        Targets not known before become usable at once under the first epoch, and otherwise only
        after recovery and the time-out of requests that the predecessor's holders may have sent.
        """
        self._targets = dict(targets)
        for name, target in self._targets.items():
            if name in self._assignments:
                continue
            usable_at_s = now_s
            if self._has_predecessor:
                usable_at_s = self._recovered_at_s + target.timeout_s
            self._assignments[name] = _Assignment(usable_at_s=usable_at_s)

    def set_members(self, members: Sequence[VmIdentity]) -> None:
        """Update the live VMs of the failure domain."""
        self._members = tuple(members)
        self._leaving &= set(members)

    def on_request(
        self, request: OwnershipRequest, sender: VmIdentity, now_s: float
    ) -> OwnershipLease | None:
        """Apply releases, renew leases and assign free targets.

        Return ``None`` for a request that is not newer than the sender's last one.
        """
        if request.nonce <= self._nonces.get(sender, 0):
            return None
        self._nonces[sender] = request.nonce
        self._record_leaving(sender, leaving=request.leaving)
        self._expire(now_s)
        for released in request.released:
            self._apply_release(released, sender, now_s)
        renewed = tuple(
            held.term for held in request.held if self._renew(held, sender, now_s=now_s)
        )
        self._assign_free_targets(now_s)
        held_names = {held.target for held in request.held}
        leased = self._lease_to(sender, held_names, now_s)
        return OwnershipLease(
            epoch=self.epoch,
            incarnation=sender.incarnation,
            nonce=request.nonce,
            lease_s=self._settings.lease_s,
            renewed_terms=renewed,
            leased=leased,
            recalled=self._targets_to_recall(sender),
            owners_serial=self.serial,
            owners=self._owners() if request.owners_serial != self.serial else (),
        )

    def vms_to_notify(self) -> tuple[VmName, ...]:
        """Return the VMs to notify of a new assignment, and mark it as notified.

        Assignments that were sent in a lease need no notice.
        """
        found = set()
        for assignment in self._assignments.values():
            if assignment.holder is None or assignment.delivered or assignment.notified:
                continue
            assignment.notified = True
            found.add(assignment.holder.vm)
        return tuple(sorted(found))

    def _record_leaving(self, sender: VmIdentity, *, leaving: bool) -> None:
        if leaving:
            self._leaving.add(sender)
        else:
            self._leaving.discard(sender)

    def _expire(self, now_s: float) -> None:
        for name, assignment in self._assignments.items():
            if assignment.holder is None or now_s < assignment.expires_at_s:
                continue
            if assignment.delivered:
                safe_at_s = self._safe_after(name, assignment.expires_at_s)
                assignment.usable_at_s = max(assignment.usable_at_s, safe_at_s)
            assignment.holder = None
            self.serial += 1

    def _safe_after(self, name: TargetName, lease_end_s: float) -> float:
        """Return the time from which no request sent under an expired lease can still run."""
        target = self._targets.get(name)
        timeout_s = target.timeout_s if target is not None else 0.0
        return lease_end_s + self._settings.pause_bound_s + timeout_s

    def _apply_release(self, released: ReleasedTarget, sender: VmIdentity, now_s: float) -> None:
        assignment = self._assignments.get(released.target)
        if assignment is None or assignment.holder != sender or assignment.term != released.term:
            return
        assignment.holder = None
        assignment.usable_at_s = now_s + released.wait_s
        assignment.busy_until_s = tuple(now_s + busy_s for busy_s in released.busy_s)
        self.serial += 1

    def _renew(self, held: HeldTarget, sender: VmIdentity, *, now_s: float) -> bool:
        assignment = self._assignments.get(held.target)
        if assignment is None:
            return False
        if assignment.holder is None and assignment.term == 0 and now_s < self._recovered_at_s:
            assignment.holder = sender
            assignment.term = held.term
            self.serial += 1
        if assignment.holder != sender or assignment.term != held.term:
            return False
        assignment.delivered = True
        assignment.expires_at_s = now_s + self._settings.lease_s
        return True

    def _assign_free_targets(self, now_s: float) -> None:
        is_recovered = now_s >= self._recovered_at_s
        loads = self._loads()
        identities = {member.vm: member for member in self._eligible()}
        for name, target in self._targets.items():
            assignment = self._assignments[name]
            # During recovery only targets released under this epoch are known to be free.
            if not self._is_free(assignment) or not (is_recovered or assignment.term):
                continue
            vm = choose_vm(
                target.group, slots=target.slots, loads=loads, bound=self._bound(len(loads))
            )
            if vm is None:
                return
            loads[vm] += target.slots
            self._assign(assignment, identities[vm], now_s)

    def _is_free(self, assignment: _Assignment) -> bool:
        if assignment.holder is None:
            return True
        return not assignment.delivered and assignment.holder not in self._members

    def _assign(self, assignment: _Assignment, holder: VmIdentity, now_s: float) -> None:
        assignment.holder = holder
        assignment.term = self._next_term
        assignment.delivered = False
        assignment.notified = False
        assignment.expires_at_s = now_s + self._settings.lease_s
        self._next_term += 1
        self.serial += 1

    def _lease_to(
        self, sender: VmIdentity, held: set[TargetName], now_s: float
    ) -> tuple[LeasedTarget, ...]:
        leased = []
        for name, assignment in self._assignments.items():
            if assignment.holder != sender or name in held or name not in self._targets:
                continue
            assignment.delivered = True
            assignment.expires_at_s = now_s + self._settings.lease_s
            wait_s = max(0.0, assignment.usable_at_s - now_s)
            busy = tuple(until - now_s for until in assignment.busy_until_s if until > now_s)
            leased.append(LeasedTarget(name, assignment.term, wait_s, busy))
        return tuple(leased)

    def _targets_to_recall(self, sender: VmIdentity) -> tuple[TargetName, ...]:
        others = [member for member in self._eligible() if member != sender]
        if not others:
            return ()
        own = [name for name, item in self._assignments.items() if item.holder == sender]
        if sender in self._leaving:
            return tuple(own)
        loads = self._loads()
        surplus = loads.get(sender.vm, 0) - self._bound(len(loads))
        recalled = [name for name in own if name not in self._targets]
        for name in own:
            if surplus > 0 and name in self._targets:
                surplus -= self._targets[name].slots
                recalled.append(name)
        return tuple(recalled)

    def _eligible(self) -> list[VmIdentity]:
        return [member for member in self._members if member not in self._leaving]

    def _loads(self) -> dict[VmName, int]:
        loads = {member.vm: 0 for member in self._eligible()}
        for name, target in self._targets.items():
            holder = self._assignments[name].holder
            if holder is not None and holder.vm in loads:
                loads[holder.vm] += target.slots
        return loads

    def _bound(self, vms: int) -> float:
        slots = [target.slots for target in self._targets.values()]
        return load_bound(
            total_slots=sum(slots),
            vms=max(1, vms),
            largest_target=max(slots, default=0),
            slack=self._settings.load_slack,
        )

    def _owners(self) -> tuple[TargetOwner, ...]:
        return tuple(
            TargetOwner(name, assignment.holder.vm)
            for name, assignment in self._assignments.items()
            if assignment.holder is not None
        )
