"""Order in which an issuer serves pools whose requests were not fully granted."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define

if TYPE_CHECKING:
    from siskinward.state.identifiers import VmName

CONTENTION_WINDOW_S = 0.5


@define
class _Entry:
    """What a pool still needs, and until when its reservations wait."""

    needed_micro: int
    expires_s: float
    wake_at_s: float = 0.0


class WaitQueue:
    """First come, first served: tokens are reserved for pools that asked earlier."""

    def __init__(self) -> None:
        self._entries: dict[VmName, _Entry] = {}
        self._recent_shortfalls: set[VmName] = set()
        self._previous_shortfalls: set[VmName] = set()
        self._rotate_at_s = 0.0

    def record_shortfall(self, vm: VmName, now_s: float) -> int:
        """Record an unmet request of ``vm``; return how many other pools had one recently."""
        if now_s >= self._rotate_at_s:
            is_recent = now_s < self._rotate_at_s + CONTENTION_WINDOW_S
            self._previous_shortfalls = self._recent_shortfalls if is_recent else set()
            self._recent_shortfalls = set()
            self._rotate_at_s = now_s + CONTENTION_WINDOW_S
        self._recent_shortfalls.add(vm)
        return max(len(self._recent_shortfalls), len(self._previous_shortfalls)) - 1

    def compute_ahead_micro(self, vm: VmName, now_s: float) -> int:
        """Return what pools before ``vm`` need, or all queued pools if it is not queued."""
        ahead_micro = 0
        for queued, entry in list(self._entries.items()):
            if entry.expires_s <= now_s:
                del self._entries[queued]
            elif queued == vm:
                break
            else:
                ahead_micro += entry.needed_micro
        return ahead_micro

    def update(self, vm: VmName, needed_micro: int, expires_s: float) -> None:
        """Set what ``vm`` still needs; a queued pool keeps its place and its first expiry."""
        if needed_micro <= 0:
            self._entries.pop(vm, None)
            return
        entry = self._entries.setdefault(vm, _Entry(needed_micro, expires_s))
        entry.needed_micro = needed_micro

    def wake(self, available_micro: int, now_s: float, interval_s: float) -> list[VmName]:
        """Return the pools that ``available_micro`` can serve, each at most once per interval."""
        woken = []
        for vm, entry in self._entries.items():
            if available_micro <= 0:
                break
            available_micro -= entry.needed_micro
            if now_s >= entry.wake_at_s:
                entry.wake_at_s = now_s + interval_s
                woken.append(vm)
        return woken
