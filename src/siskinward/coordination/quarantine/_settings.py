"""Settings of the quarantine."""

from __future__ import annotations

from attrs import frozen


@frozen
class QuarantineSettings:
    """Bounds and time-outs.

    ``ask_unproven`` makes every fingerprint that has not succeeded lately ask its owner before
    each run, not only those that coincided with a loss. ``targets_limit`` is the number of lost
    targets at which a fingerprint is refused.
    """

    targets_limit: int = 2
    ask_unproven: bool = False
    suspect_lifetime_s: float = 900.0
    quarantine_s: float = 3600.0
    proven_lifetime_s: float = 120.0
    proven_limit: int = 20_000
    suspect_limit: int = 20_000
    ask_timeout_s: float = 0.25
    permit_lifetime_s: float = 60.0
    settle_s: float = 5.0
    same_loss_window_s: float = 1.0
    busy_retry_after_s: float = 0.2
