"""Exact count of the slots in use at each target."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define
from attrs import field
from attrs import frozen

from siskinward.state.identifiers import TargetName

if TYPE_CHECKING:
    from siskinward.coordination.admission.settings import AdmissionSettings


@frozen
class Slot:
    """The right to run one request at ``target`` until it is released."""

    target: TargetName
    serial: int
    deadline_s: float


@define
class _TargetSlots:
    """Limit of one target, its taken slots and the expiry times of held ones, by serial."""

    limit: int
    taken: dict[int, Slot] = field(factory=dict)
    held_until_s: dict[int, float] = field(factory=dict)


class SlotLedger:
    """Allocates slots of the targets that this VM owns, never more than each target has.

    Outstanding slots still count after their target was removed or its limit was lowered.
    """

    def __init__(self, settings: AdmissionSettings) -> None:
        self._settings = settings
        self._targets: dict[TargetName, _TargetSlots] = {}
        self._next_serial = 1

    def set_limit(self, target: TargetName, *, slots: int) -> None:
        """Set how many slots ``target`` has; zero stops new work there."""
        entry = self._targets.setdefault(target, _TargetSlots(limit=0))
        entry.limit = slots
        self._forget_if_unused(target)

    def take(self, target: TargetName, *, deadline_s: float, now_s: float) -> Slot | None:
        """Take a slot for a request that the target stops running at ``deadline_s``.

        Return ``None`` if no slot is free or the deadline has passed.
        """
        if deadline_s <= now_s or self.free(target) <= 0:
            return None
        return self._add(target, deadline_s)

    def release(self, slot: Slot) -> bool:
        """Release a slot; ``False`` if it was released before."""
        entry = self._targets.get(slot.target)
        if entry is None or entry.taken.pop(slot.serial, None) is None:
            return False
        entry.held_until_s.pop(slot.serial, None)
        self._forget_if_unused(slot.target)
        return True

    def hold(self, slot: Slot, *, now_s: float) -> float | None:
        """Hold a slot whose outcome is unknown; return when the target must have stopped."""
        entry = self._targets.get(slot.target)
        if entry is None or slot.serial not in entry.taken:
            return None
        until_s = slot.deadline_s + self._settings.hold_margin_s
        until_s = min(until_s, now_s + self._settings.hold_limit_s)
        entry.held_until_s[slot.serial] = until_s
        return until_s

    def hold_inherited(self, target: TargetName, *, slots: int, until_s: float) -> None:
        """Hold ``slots`` that the previous owner of ``target`` may still be using."""
        for _ in range(slots):
            slot = self._add(target, until_s)
            self._targets[target].held_until_s[slot.serial] = until_s

    def on_timer(self, now_s: float) -> tuple[Slot, ...]:
        """Release the held slots that have expired and return them."""
        due = [
            entry.taken[serial]
            for entry in self._targets.values()
            for serial, until_s in entry.held_until_s.items()
            if until_s <= now_s
        ]
        for slot in due:
            self.release(slot)
        return tuple(due)

    def free(self, target: TargetName) -> int:
        """Return how many slots of ``target`` can be taken now."""
        entry = self._targets.get(target)
        return 0 if entry is None else max(0, entry.limit - len(entry.taken))

    def in_use(self, target: TargetName) -> int:
        """Return how many slots of ``target`` are taken or held."""
        entry = self._targets.get(target)
        return 0 if entry is None else len(entry.taken)

    def busy_until_s(self, target: TargetName) -> tuple[float, ...]:
        """Return, for each slot in use, the time by which the target must have stopped."""
        entry = self._targets.get(target)
        if entry is None:
            return ()
        margin_s = self._settings.hold_margin_s
        return tuple(slot.deadline_s + margin_s for slot in entry.taken.values())

    def _add(self, target: TargetName, deadline_s: float) -> Slot:
        slot = Slot(target=target, serial=self._next_serial, deadline_s=deadline_s)
        self._next_serial += 1
        entry = self._targets.setdefault(target, _TargetSlots(limit=0))
        entry.taken[slot.serial] = slot
        return slot

    def _forget_if_unused(self, target: TargetName) -> None:
        entry = self._targets[target]
        if entry.limit == 0 and not entry.taken:
            del self._targets[target]
