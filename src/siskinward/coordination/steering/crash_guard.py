"""Recognises requests that crash each target that runs them, and stops them over all VMs.

Answers a caller that repeats such a request at any VM. A request is counted against when its
connection broke and the target then proved to be gone; two such losses block its fingerprint.
"""

from __future__ import annotations

from hashlib import blake2b

from attrs import define
from attrs import frozen


@frozen
class CrashGuardSettings:
    """``block_after`` losses block a fingerprint for ``block_s``."""

    block_after: int = 2
    block_s: float = 60.0
    confirm_within_s: float = 3.0


@define
class _Suspicion:
    losses: int
    last_loss_s: float


@frozen
class _OpenLoss:
    fingerprint: str
    lost_s: float


def fingerprint_of(method: str, target: str, account: str, body: bytes) -> str:
    """Identify a request that comes again with the same path, caller and body."""
    digest = blake2b(digest_size=8)
    for part in (method.encode(), target.encode(), account.encode(), body):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()


class CrashGuard:
    """Counts targets lost under each fingerprint, here and at other VMs."""

    def __init__(self, settings: CrashGuardSettings) -> None:
        self._settings = settings
        self._suspicions: dict[str, _Suspicion] = {}
        self._remote: dict[str, _Suspicion] = {}
        self._open_losses: dict[str, list[_OpenLoss]] = {}

    def is_blocked(self, fingerprint: str, now_s: float) -> bool:
        """Whether a request has crashed too many targets to be sent to another."""
        return self._losses(fingerprint, now_s) >= self._settings.block_after

    def on_connection_lost(self, fingerprint: str, target: str, now_s: float) -> None:
        """Note a request whose connection broke before its answer."""
        self._open_losses.setdefault(target, []).append(_OpenLoss(fingerprint, now_s))

    def on_target_gone(self, target: str, now_s: float) -> None:
        """Note that a target refuses connections: what broke there just now is under suspicion."""
        for loss in self._open_losses.pop(target, []):
            if now_s - loss.lost_s <= self._settings.confirm_within_s:
                suspicion = self._suspicions.setdefault(loss.fingerprint, _Suspicion(0, now_s))
                suspicion.losses += 1
                suspicion.last_loss_s = now_s

    def on_answer(self, fingerprint: str, target: str) -> None:
        """Note that a target answered: it lives, and this request does not crash targets."""
        self._open_losses.pop(target, None)
        self._suspicions.pop(fingerprint, None)

    def reports(self, now_s: float) -> dict[str, int]:
        """Own counts, for the other VMs."""
        self._drop_old(now_s)
        return {key: suspicion.losses for key, suspicion in self._suspicions.items()}

    def on_reports(self, counts: dict[str, int], now_s: float) -> None:
        """Take in the counts of another VM."""
        for fingerprint, losses in counts.items():
            known = self._remote.get(fingerprint)
            if known is None or losses >= known.losses:
                self._remote[fingerprint] = _Suspicion(losses, now_s)

    def _losses(self, fingerprint: str, now_s: float) -> int:
        own = self._suspicions.get(fingerprint)
        remote = self._remote.get(fingerprint)
        since_s = now_s - self._settings.block_s
        counts = [item.losses for item in (own, remote) if item and item.last_loss_s > since_s]
        return sum(counts)

    def _drop_old(self, now_s: float) -> None:
        since_s = now_s - self._settings.block_s
        for table in (self._suspicions, self._remote):
            for key in [key for key, item in table.items() if item.last_loss_s <= since_s]:
                del table[key]
