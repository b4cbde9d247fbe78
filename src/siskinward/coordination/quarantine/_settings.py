"""Settings of the quarantine."""

from __future__ import annotations

from attrs import frozen


@frozen
class QuarantineSettings:
    """Bounds and timeouts of the quarantine.

    ``hold_unproven_s`` delays fingerprints that have not succeeded lately, so that the report of
    a first loss overtakes a resend, see ``compute_unproven_hold_s``. ``ask_unproven`` makes them
    ask their owner before each run, as those that coincided with a loss always do.
    ``targets_limit`` is the number of lost targets at which a fingerprint is refused.
    """

    hold_unproven_s: float
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


def compute_unproven_hold_s(longest_one_way_s: float, client_round_trip_s: float) -> float:
    """Return the shortest hold for which a report between VMs overtakes a caller's resend.

    The report and the caller's answer leave at the same time. The resend arrives at the earliest
    after the round trip of the nearest caller, the report after the longest way between VMs.
    """
    return max(longest_one_way_s - client_round_trip_s, 0.0)
