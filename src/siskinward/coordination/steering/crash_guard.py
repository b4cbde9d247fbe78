"""Recognises requests that crash each target that runs them, and stops them over all VMs.

Answers a caller that repeats such a request at any VM. A loss counts against a request when its
connection broke and the target then proved to be gone. A request that is answered is cleared at the
VM that saw it, so that popular requests which were merely there do not add up.
"""

from __future__ import annotations

from attrs import define
from attrs import frozen


@frozen
class CrashGuardSettings:
    """``block_after`` losses block a fingerprint for ``block_s``."""

    block_after: int = 3
    block_s: float = 60.0
    confirm_within_s: float = 3.0


@define
class _Suspicion:
    losses: int
    last_loss_s: float


@frozen
class _Report:
    losses: dict[str, int]
    received_s: float


@frozen
class _OpenLoss:
    fingerprint: str
    lost_s: float


class CrashGuard:
    """Counts targets lost under each fingerprint, here and at other VMs."""

    def __init__(self, settings: CrashGuardSettings) -> None:
        self._settings = settings
        self._suspicions: dict[str, _Suspicion] = {}
        self._reports: dict[str, _Report] = {}
        self._open_losses: dict[str, list[_OpenLoss]] = {}

    def is_blocked(self, fingerprint: str, now_s: float) -> bool:
        """Whether a request has crashed too many targets to be sent to another."""
        return self._losses(fingerprint, now_s) >= self._settings.block_after

    def on_connection_lost(self, fingerprint: str, target: str, now_s: float) -> None:
        """Note a request whose connection broke before its answer."""
        self._open_losses.setdefault(target, []).append(_OpenLoss(fingerprint, now_s))

    def on_target_down(self, target: str, now_s: float) -> None:
        """Note that a target refuses connections: what broke there just now is under suspicion."""
        for loss in self._open_losses.pop(target, []):
            if now_s - loss.lost_s <= self._settings.confirm_within_s:
                suspicion = self._suspicions.setdefault(loss.fingerprint, _Suspicion(0, now_s))
                suspicion.losses += 1
                suspicion.last_loss_s = now_s

    def on_target_alive(self, target: str) -> None:
        """Note that a target still takes connections: what broke there did not crash it."""
        self._open_losses.pop(target, None)

    def on_answer(self, fingerprint: str) -> None:
        """Note an answer: the request does not crash targets."""
        self._suspicions.pop(fingerprint, None)

    def own_losses(self, now_s: float) -> dict[str, int]:
        """Own counts, for the other VMs."""
        self._drop_old(now_s)
        return {key: suspicion.losses for key, suspicion in self._suspicions.items()}

    def on_peer_losses(self, incarnation: str, losses: dict[str, int], now_s: float) -> None:
        """Take in the counts of another VM; those of one that has died are kept for a while."""
        if losses or incarnation in self._reports:
            self._reports[incarnation] = _Report(losses, now_s)

    def _losses(self, fingerprint: str, now_s: float) -> int:
        since_s = now_s - self._settings.block_s
        own = self._suspicions.get(fingerprint)
        total = own.losses if own is not None and own.last_loss_s > since_s else 0
        for report in self._reports.values():
            if report.received_s > since_s:
                total += report.losses.get(fingerprint, 0)
        return total

    def _drop_old(self, now_s: float) -> None:
        since_s = now_s - self._settings.block_s
        for key in [k for k, item in self._suspicions.items() if item.last_loss_s <= since_s]:
            del self._suspicions[key]
        for key in [k for k, report in self._reports.items() if report.received_s <= since_s]:
            del self._reports[key]
