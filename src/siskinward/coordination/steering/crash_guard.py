"""Detects requests that crash the targets which run them, and blocks them at all VMs.

Handles a caller that repeats such a request at any VM. A lost target counts against a request if
the request's connection broke and the target then refused connections. An answer clears the request
at the VM that received it, so that frequent requests which merely ran at crashing targets do not
accumulate losses.
"""

from __future__ import annotations

from attrs import define
from attrs import frozen


@frozen
class CrashGuardSettings:
    """A fingerprint is blocked for ``block_s`` after ``block_after`` lost targets.

    A broken connection counts only if the target proves to be down within ``confirm_within_s``.
    """

    block_after: int = 3
    block_s: float = 60.0
    confirm_within_s: float = 3.0


@define
class _LossCount:
    losses: int
    last_loss_s: float


@frozen
class _PeerLosses:
    losses: dict[str, int]
    received_s: float


@frozen
class _UnconfirmedLoss:
    fingerprint: str
    lost_s: float


class CrashGuard:
    """Counts the targets lost to each request fingerprint, at this VM and at others."""

    def __init__(self, settings: CrashGuardSettings) -> None:
        self._settings = settings
        self._loss_counts: dict[str, _LossCount] = {}
        self._peer_losses: dict[str, _PeerLosses] = {}
        self._unconfirmed_losses: dict[str, list[_UnconfirmedLoss]] = {}

    def is_blocked(self, fingerprint: str, now_s: float) -> bool:
        """Return whether a request has crashed too many targets to be sent to another."""
        return self._count_losses(fingerprint, now_s) >= self._settings.block_after

    def on_connection_lost(self, fingerprint: str, target: str, now_s: float) -> None:
        """Record a request whose connection broke before its answer."""
        self._unconfirmed_losses.setdefault(target, []).append(_UnconfirmedLoss(fingerprint, now_s))

    def has_unconfirmed(self, target: str) -> bool:
        """Return whether a request's connection broke at a target that may have crashed."""
        return target in self._unconfirmed_losses

    def on_target_down(self, target: str, now_s: float) -> None:
        """Count a target that refuses connections against requests whose connection broke there."""
        for loss in self._unconfirmed_losses.pop(target, []):
            if now_s - loss.lost_s <= self._settings.confirm_within_s:
                loss_count = self._loss_counts.setdefault(loss.fingerprint, _LossCount(0, now_s))
                loss_count.losses += 1
                loss_count.last_loss_s = now_s

    def on_target_alive(self, target: str) -> None:
        """Discard broken connections to a target that still accepts connections."""
        self._unconfirmed_losses.pop(target, None)

    def on_answer(self, fingerprint: str) -> None:
        """Clear a request that was answered: it does not crash targets."""
        self._loss_counts.pop(fingerprint, None)

    def own_losses(self, now_s: float) -> dict[str, int]:
        """Return the losses that this VM counted, by fingerprint, to send to the other VMs."""
        self._drop_expired(now_s)
        return {key: loss_count.losses for key, loss_count in self._loss_counts.items()}

    def on_peer_losses(self, incarnation: str, losses: dict[str, int], now_s: float) -> None:
        """Record another VM's losses.

        They expire after ``block_s`` without an update, so those of a dead VM still count until
        then.
        """
        if losses or incarnation in self._peer_losses:
            self._peer_losses[incarnation] = _PeerLosses(losses, now_s)

    def _count_losses(self, fingerprint: str, now_s: float) -> int:
        since_s = now_s - self._settings.block_s
        own = self._loss_counts.get(fingerprint)
        total = own.losses if own is not None and own.last_loss_s > since_s else 0
        for peer in self._peer_losses.values():
            if peer.received_s > since_s:
                total += peer.losses.get(fingerprint, 0)
        return total

    def _drop_expired(self, now_s: float) -> None:
        since_s = now_s - self._settings.block_s
        for key in [k for k, item in self._loss_counts.items() if item.last_loss_s <= since_s]:
            del self._loss_counts[key]
        for key in [k for k, peer in self._peer_losses.items() if peer.received_s <= since_s]:
            del self._peer_losses[key]
