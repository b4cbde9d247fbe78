"""Uses leased targets; runs on every VM."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define

from siskinward.coordination.ownership.messages import HeldTarget
from siskinward.coordination.ownership.messages import OwnershipRequest
from siskinward.coordination.ownership.messages import ReleasedTarget

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping

    from siskinward.coordination.admission import Slot
    from siskinward.coordination.admission import SlotLedger
    from siskinward.coordination.ownership._assigner import OwnedTarget
    from siskinward.coordination.ownership.messages import LeasedTarget
    from siskinward.coordination.ownership.messages import OwnershipLease
    from siskinward.coordination.ownership.settings import OwnershipSettings
    from siskinward.state.identifiers import TargetName


@define
class _Lease:
    """A target leased to this VM; all times are of this VM's clock."""

    term: int
    until_s: float
    usable_from_s: float
    recalled_at_s: float | None = None


class TargetHolder:
    """Takes slots only at targets that are leased to this VM."""

    def __init__(
        self,
        settings: OwnershipSettings,
        ledger: SlotLedger,
        targets: Mapping[TargetName, OwnedTarget],
    ) -> None:
        self._settings = settings
        self._ledger = ledger
        self._targets: dict[TargetName, OwnedTarget] = dict(targets)
        self._leases: dict[TargetName, _Lease] = {}
        self._released: dict[TargetName, ReleasedTarget] = {}
        self._nonce = 0
        self._sent_at_s = 0.0

    def set_targets(self, targets: Mapping[TargetName, OwnedTarget]) -> None:
        """Replace the targets by those of a new configuration."""
        self._targets = dict(targets)
        for name in self._leases:
            self._ledger.set_limit(name, slots=self._slots(name))

    def take(self, target: TargetName, *, deadline_s: float, now_s: float) -> Slot | None:
        """Take a slot if the lease allows it; the target must stop at the slot's deadline."""
        if not self.may_use(target, now_s):
            return None
        latest_s = now_s + self._targets[target].timeout_s
        return self._ledger.take(target, deadline_s=min(deadline_s, latest_s), now_s=now_s)

    def may_use(self, target: TargetName, now_s: float) -> bool:
        """Return whether new requests may go to ``target``."""
        lease = self._leases.get(target)
        if lease is None or target not in self._targets or lease.recalled_at_s is not None:
            return False
        return lease.usable_from_s <= now_s < lease.until_s

    def usable(self, now_s: float) -> tuple[TargetName, ...]:
        """Return the targets that new requests may go to."""
        return tuple(name for name in self._leases if self.may_use(name, now_s))

    @property
    def holds_nothing(self) -> bool:
        """Whether nothing is leased to this VM and no release awaits an answer."""
        return not self._leases and not self._released

    def forget_releases(self) -> None:
        """Drop unanswered releases: a new assigner would apply them to its own leases."""
        self._released.clear()

    def recall(self, targets: Iterable[TargetName], now_s: float) -> None:
        """Stop new requests to ``targets``; release them once idle or after the recall time-out."""
        for name in targets:
            lease = self._leases.get(name)
            if lease is not None and lease.recalled_at_s is None:
                lease.recalled_at_s = now_s
                self._ledger.set_limit(name, slots=0)

    def recall_all(self, now_s: float) -> None:
        """Recall every target that this VM holds."""
        self.recall(tuple(self._leases), now_s)

    def on_timer(self, now_s: float) -> bool:
        """Drop expired leases and release recalled targets; return whether any was released."""
        self._drop_expired(now_s)
        due = [
            name for name, lease in self._leases.items() if self._may_release(name, lease, now_s)
        ]
        for name in due:
            self._release(name, now_s)
        return bool(due)

    def make_request(
        self, *, epoch: int, owners_serial: int, leaving: bool, now_s: float
    ) -> OwnershipRequest:
        """Return the next request to the assigner; ignore answers to earlier ones from now on."""
        self._drop_expired(now_s)
        self._nonce += 1
        self._sent_at_s = now_s
        held = tuple(HeldTarget(name, lease.term) for name, lease in self._leases.items())
        return OwnershipRequest(
            epoch=epoch,
            nonce=self._nonce,
            owners_serial=owners_serial,
            leaving=leaving,
            held=held,
            released=tuple(self._released.values()),
        )

    def on_lease(self, answer: OwnershipLease, now_s: float) -> bool:
        """Apply the answer to the latest request; return ``False`` if it answers another one."""
        if answer.nonce != self._nonce:
            return False
        self._nonce += 1
        until_s = self._sent_at_s + answer.lease_s
        self._released.clear()
        renewed = set(answer.renewed_terms)
        for lease in self._leases.values():
            if lease.term in renewed:
                lease.until_s = until_s
        for leased in answer.leased:
            self._add_lease(leased, until_s=until_s, now_s=now_s)
        self.recall(answer.recalled, now_s)
        return True

    def _add_lease(self, leased: LeasedTarget, *, until_s: float, now_s: float) -> None:
        if leased.target not in self._targets:
            return
        usable_from_s = now_s + leased.wait_s
        self._leases[leased.target] = _Lease(leased.term, until_s, usable_from_s)
        for busy_s in leased.busy_s:
            self._ledger.hold_inherited(leased.target, slots=1, until_s=now_s + busy_s)
        self._ledger.set_limit(leased.target, slots=self._slots(leased.target))

    def _may_release(self, name: TargetName, lease: _Lease, now_s: float) -> bool:
        if lease.recalled_at_s is None:
            return False
        waited_s = now_s - lease.recalled_at_s
        return self._ledger.in_use(name) == 0 or waited_s >= self._settings.recall_timeout_s

    def _release(self, name: TargetName, now_s: float) -> None:
        busy = tuple(
            until_s + self._settings.pause_bound_s - now_s
            for until_s in self._ledger.busy_until_s(name)
        )
        lease = self._leases[name]
        wait_s = max(0.0, lease.usable_from_s - now_s)
        self._released[name] = ReleasedTarget(name, lease.term, wait_s, busy)
        self._drop(name)

    def _drop_expired(self, now_s: float) -> None:
        for name in [name for name, lease in self._leases.items() if lease.until_s <= now_s]:
            self._drop(name)

    def _drop(self, name: TargetName) -> None:
        del self._leases[name]
        self._ledger.set_limit(name, slots=0)

    def _slots(self, name: TargetName) -> int:
        lease = self._leases.get(name)
        target = self._targets.get(name)
        if target is None or lease is None or lease.recalled_at_s is not None:
            return 0
        return target.slots
