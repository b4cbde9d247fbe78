"""Fingerprints that coincided with lost targets, and those that succeeded recently."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import evolve
from attrs import frozen

from siskinward.coordination.quarantine.messages import TargetLoss

if TYPE_CHECKING:
    from siskinward.coordination.quarantine._settings import QuarantineSettings


@frozen
class RecordedLoss:
    """A loss and the time at which it was recorded."""

    loss: TargetLoss
    at_s: float


@frozen
class Suspect:
    """The losses that a fingerprint coincided with."""

    losses: tuple[RecordedLoss, ...]
    expires_at_s: float


class SuspectRegistry:
    """Suspect and proven fingerprints on one VM; both expire and are bounded in number."""

    def __init__(self, settings: QuarantineSettings) -> None:
        self._settings = settings
        self._suspects: dict[str, Suspect] = {}
        self._proven: dict[str, float] = {}

    def __len__(self) -> int:
        return len(self._suspects)

    def is_suspect(self, fingerprint: str, now_s: float) -> bool:
        """Return whether the fingerprint coincided with a loss and was not cleared since."""
        suspect = self._suspects.get(fingerprint)
        return suspect is not None and now_s < suspect.expires_at_s

    def quarantined_for_s(self, fingerprint: str, now_s: float) -> float:
        """Return the time for which the fingerprint is still refused; 0 if it is not."""
        suspect = self._suspects.get(fingerprint)
        if suspect is None or len(suspect.losses) < self._settings.targets_limit:
            return 0.0
        return max(suspect.expires_at_s - now_s, 0.0)

    def is_proven(self, fingerprint: str, now_s: float) -> bool:
        """Return whether the fingerprint ran to its end within ``proven_lifetime_s``."""
        proven_at_s = self._proven.get(fingerprint)
        return proven_at_s is not None and now_s - proven_at_s < self._settings.proven_lifetime_s

    def record_success(self, fingerprint: str, now_s: float) -> None:
        """Record that the fingerprint ran to its end; evict the oldest entry above the limit."""
        self._proven.pop(fingerprint, None)
        self._proven[fingerprint] = now_s
        if len(self._proven) > self._settings.proven_limit:
            del self._proven[next(iter(self._proven))]

    def clear(self, fingerprint: str) -> None:
        """Remove the fingerprint from the suspects, unless it is quarantined."""
        suspect = self._suspects.get(fingerprint)
        if suspect is not None and len(suspect.losses) < self._settings.targets_limit:
            del self._suspects[fingerprint]

    def record_loss(self, fingerprint: str, loss: TargetLoss, now_s: float) -> None:
        """Record that the fingerprint was running on a target when the target was lost."""
        self.expire(now_s)
        suspect = self._suspects.get(fingerprint, Suspect((), 0.0))
        if not self._is_known(suspect, loss, now_s):
            suspect = evolve(suspect, losses=(*suspect.losses, RecordedLoss(loss, now_s)))
        quarantined = len(suspect.losses) >= self._settings.targets_limit
        settings = self._settings
        lifetime_s = settings.quarantine_s if quarantined else settings.suspect_lifetime_s
        self._suspects[fingerprint] = evolve(suspect, expires_at_s=now_s + lifetime_s)
        if len(self._suspects) > settings.suspect_limit:
            del self._suspects[min(self._suspects, key=self._eviction_key)]

    def losses(self, now_s: float) -> list[tuple[str, TargetLoss]]:
        """Return every recorded loss with its fingerprint."""
        self.expire(now_s)
        suspects = self._suspects.items()
        return [(name, recorded.loss) for name, suspect in suspects for recorded in suspect.losses]

    def expire(self, now_s: float) -> None:
        """Drop expired suspects."""
        for fingerprint, suspect in list(self._suspects.items()):
            if now_s >= suspect.expires_at_s:
                del self._suspects[fingerprint]

    def _eviction_key(self, fingerprint: str) -> tuple[int, float]:
        suspect = self._suspects[fingerprint]
        return (len(suspect.losses), suspect.expires_at_s)

    def _is_known(self, suspect: Suspect, loss: TargetLoss, now_s: float) -> bool:
        if any(recorded.loss.loss_id == loss.loss_id for recorded in suspect.losses):
            return True
        # Several VMs may report one loss; a loss during a permitted run is reported by one VM only.
        window_s = self._settings.same_loss_window_s
        return not loss.alone and any(
            recorded.loss.target == loss.target and now_s - recorded.at_s < window_s
            for recorded in suspect.losses
        )
