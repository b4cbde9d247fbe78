"""Order in which a mint serves wallets whose requests fell short."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define

if TYPE_CHECKING:
    from siskinward.state.identifiers import VmName

CONTENTION_WINDOW_S = 0.5


@define
class _Want:
    """What a wallet still needs, and until when its reservations wait."""

    needed_micro: int
    expires_s: float
    wake_at_s: float = 0.0


class WantQueue:
    """First come, first served: tokens are kept back for wallets that asked earlier."""

    def __init__(self) -> None:
        self._wants: dict[VmName, _Want] = {}
        self._short: set[VmName] = set()
        self._short_before: set[VmName] = set()
        self._rotate_at_s = 0.0

    def contenders(self, vm: VmName, now_s: float) -> int:
        """Note that ``vm`` fell short and return how many other wallets did of late."""
        if now_s >= self._rotate_at_s:
            is_recent = now_s < self._rotate_at_s + CONTENTION_WINDOW_S
            self._short_before = self._short if is_recent else set()
            self._short = set()
            self._rotate_at_s = now_s + CONTENTION_WINDOW_S
        self._short.add(vm)
        return max(len(self._short), len(self._short_before)) - 1

    def ahead_of(self, vm: VmName, now_s: float) -> int:
        """Return what wallets before ``vm`` need; all of them if it is not queued."""
        ahead_micro = 0
        for queued, want in list(self._wants.items()):
            if want.expires_s <= now_s:
                del self._wants[queued]
            elif queued == vm:
                break
            else:
                ahead_micro += want.needed_micro
        return ahead_micro

    def update(self, vm: VmName, needed_micro: int, expires_s: float) -> None:
        """Set what ``vm`` still needs; it keeps its place and its first expiry."""
        if needed_micro <= 0:
            self._wants.pop(vm, None)
            return
        want = self._wants.setdefault(vm, _Want(needed_micro, expires_s))
        want.needed_micro = needed_micro

    def wake(self, available_micro: int, now_s: float, interval_s: float) -> list[VmName]:
        """Return the wallets that ``available_micro`` serves, each once per interval."""
        woken = []
        for vm, want in self._wants.items():
            if available_micro <= 0:
                break
            available_micro -= want.needed_micro
            if now_s >= want.wake_at_s:
                want.wake_at_s = now_s + interval_s
                woken.append(vm)
        return woken
