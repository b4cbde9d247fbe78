"""Detects requests that crash the targets which run them, and blocks them at all VMs.

Handles a caller that repeats such a request at any VM. A lost target counts against a request if
the request's connection broke and the target then refused connections. Each start of a target
counts once, however many sends of the request broke there. An answer clears the request of all
losses before it, at all VMs, so that frequent requests which merely ran at crashing targets do not
accumulate losses.
"""

from __future__ import annotations

from math import inf

from attrs import define
from attrs import frozen

from siskinward.coordination.steering.hashing import short_id

# The losses of a request: seconds since each, by the ``start_id`` of the lost target.
LossAges = dict[int, float]


@frozen
class CrashGuardSettings:
    """A fingerprint is blocked for ``block_s`` after ``block_after`` lost targets.

    Each further loss doubles that time, up to ``max_doublings`` times. A blocked request is
    remembered for ``remembered_blocks`` times the block. A broken connection counts only if the
    target proves to be down within ``confirm_within_s``. An answer that clears a request is told to
    the other VMs for ``announce_s``. Each VM tells the losses of up to ``told_blocked`` requests
    that are blocked, so that VMs that restart in turn learn them from the others: the newest, as
    many as decide on the block.
    """

    block_after: int = 3
    block_s: float = 60.0
    max_doublings: int = 6
    remembered_blocks: float = 10.0
    confirm_within_s: float = 3.0
    announce_s: float = 10.0
    told_blocked: int = 32


@define
class _Loss:
    lost_s: float
    is_own: bool


@frozen
class _Answer:
    answered_s: float
    is_own: bool


@frozen
class _UnconfirmedLoss:
    fingerprint: str
    start_id: int
    lost_s: float


class CrashGuard:
    """Knows the targets lost to each request fingerprint, at this VM and at others."""

    def __init__(self, settings: CrashGuardSettings) -> None:
        self._settings = settings
        self._losses: dict[str, dict[int, _Loss]] = {}
        self._answers: dict[str, _Answer] = {}
        self._unconfirmed_losses: dict[str, list[_UnconfirmedLoss]] = {}

    def is_blocked(self, fingerprint: str, now_s: float) -> bool:
        """Return whether a request has crashed too many targets to be sent to another."""
        losses = self._losses.get(fingerprint, {})
        if len(losses) < self._settings.block_after:
            return False
        return now_s - _newest_s(losses) < self._block_s(losses)

    def on_connection_lost(
        self, fingerprint: str, target: str, start_id: int, now_s: float
    ) -> None:
        """Record a request whose connection broke before its answer, and the start of the target.

        A target that starts again, under whatever name, has another ``start_id``.
        """
        loss = _UnconfirmedLoss(fingerprint, start_id, now_s)
        self._unconfirmed_losses.setdefault(target, []).append(loss)

    def has_unconfirmed(self, target: str) -> bool:
        """Return whether a request's connection broke at a target that may have crashed."""
        return target in self._unconfirmed_losses

    def on_target_down(self, target: str, now_s: float) -> None:
        """Count a target that refuses connections against requests whose connection broke there."""
        for loss in self._unconfirmed_losses.pop(target, []):
            if now_s - loss.lost_s <= self._settings.confirm_within_s:
                start_id = self._find_lost_start(loss)
                self._add(loss.fingerprint, start_id, _Loss(now_s, is_own=True))

    def on_target_alive(self, target: str) -> None:
        """Discard broken connections to a target that still accepts connections."""
        self._unconfirmed_losses.pop(target, None)

    def on_answer(self, fingerprint: str, now_s: float) -> None:
        """Clear a request that was answered: it does not crash targets."""
        if fingerprint in self._losses:
            self._clear(fingerprint, _Answer(now_s, is_own=True))

    def own_losses(self, now_s: float) -> dict[str, LossAges]:
        """Return the losses that this VM saw, by fingerprint, to send to the other VMs."""
        self._drop_expired(now_s)
        found = {
            fingerprint: {id_: now_s - loss.lost_s for id_, loss in losses.items() if loss.is_own}
            for fingerprint, losses in self._losses.items()
        }
        return {fingerprint: ages_s for fingerprint, ages_s in found.items() if ages_s}

    def blocked_losses(self, now_s: float) -> dict[str, LossAges]:
        """Return the losses of requests that are or were blocked, whoever saw them, to send."""
        self._drop_expired(now_s)
        block_after = self._settings.block_after
        blocked = [key for key, losses in self._losses.items() if len(losses) >= block_after]
        return {
            fingerprint: self._newest_ages_s(self._losses[fingerprint], now_s)
            for fingerprint in blocked[-self._settings.told_blocked :]
        }

    def _newest_ages_s(self, losses: dict[int, _Loss], now_s: float) -> LossAges:
        count = self._settings.block_after + self._settings.max_doublings
        newest = sorted(losses, key=lambda id_: losses[id_].lost_s)[-count:]
        return {id_: now_s - losses[id_].lost_s for id_ in newest}

    def own_answers(self, now_s: float) -> dict[str, float]:
        """Return how long ago each request that had losses was answered, to send to the others."""
        since_s = now_s - self._settings.announce_s
        return {
            fingerprint: now_s - answer.answered_s
            for fingerprint, answer in self._answers.items()
            if answer.is_own and answer.answered_s > since_s
        }

    def on_peer_losses(self, losses: dict[str, LossAges], now_s: float) -> None:
        """Record what another VM says of lost targets."""
        for fingerprint, ages_s in losses.items():
            for id_, age_s in ages_s.items():
                self._add(fingerprint, id_, _Loss(now_s - age_s, is_own=False))

    def on_peer_loss_counts(self, incarnation: str, counts: dict[str, int], now_s: float) -> None:
        """Record the losses of a VM of an earlier release, which tells only how many it counts."""
        for fingerprint, count in counts.items():
            for number in range(min(count, self._settings.block_after)):
                id_ = short_id(f"{incarnation}/{number}")
                self._losses.setdefault(fingerprint, {})[id_] = _Loss(now_s, is_own=False)

    def on_peer_answers(self, ages_s: dict[str, float], now_s: float) -> None:
        """Clear the requests that another VM had answered, of the losses before."""
        for fingerprint, age_s in ages_s.items():
            self._clear(fingerprint, _Answer(now_s - age_s, is_own=False))

    def _find_lost_start(self, loss: _UnconfirmedLoss) -> int:
        """Return the start that was lost; one lost long before has been followed by another."""
        known = self._losses.get(loss.fingerprint, {})
        start_id = loss.start_id
        while (
            start_id in known
            and loss.lost_s - known[start_id].lost_s > self._settings.confirm_within_s
        ):
            start_id += 1
        return start_id

    def _add(self, fingerprint: str, id_: int, loss: _Loss) -> None:
        if loss.lost_s <= self._answered_s(fingerprint):
            return
        known = self._losses.setdefault(fingerprint, {}).setdefault(id_, loss)
        known.is_own = known.is_own or loss.is_own

    def _clear(self, fingerprint: str, answer: _Answer) -> None:
        if answer.answered_s <= self._answered_s(fingerprint):
            return
        self._answers[fingerprint] = answer
        losses = self._losses.pop(fingerprint, {})
        left = {id_: loss for id_, loss in losses.items() if loss.lost_s > answer.answered_s}
        if left:
            self._losses[fingerprint] = left

    def _answered_s(self, fingerprint: str) -> float:
        answer = self._answers.get(fingerprint)
        return -inf if answer is None else answer.answered_s

    def _block_s(self, losses: dict[int, _Loss]) -> float:
        further = min(len(losses) - self._settings.block_after, self._settings.max_doublings)
        return self._settings.block_s * 2.0 ** max(0, further)

    def _is_expired(self, losses: dict[int, _Loss], now_s: float) -> bool:
        is_blocked = len(losses) >= self._settings.block_after
        blocks = self._settings.remembered_blocks if is_blocked else 1.0
        return now_s - _newest_s(losses) >= blocks * self._block_s(losses)

    def _drop_expired(self, now_s: float) -> None:
        self._losses = {
            fingerprint: losses
            for fingerprint, losses in self._losses.items()
            if not self._is_expired(losses, now_s)
        }
        since_s = now_s - self._settings.block_s
        self._answers = {
            fingerprint: answer
            for fingerprint, answer in self._answers.items()
            if answer.answered_s > since_s
        }


def _newest_s(losses: dict[int, _Loss]) -> float:
    return max(loss.lost_s for loss in losses.values())
