"""Settings of a grant."""

from __future__ import annotations

from attrs import frozen

ANNOUNCEMENTS_UNTIL_DELIVERY = 3
"""At least one of this many consecutive announcements is assumed to arrive."""


@frozen
class GrantSettings:
    """Intervals, and the bounds that takeovers rely on for mutual exclusion.

    ``delivery_bound_s``: a message repeated every ``announce_interval_s`` between two running VMs
    of one failure domain arrives within it. ``stall_bound_s``: longest gap between two timers
    after which a holder needs no validation. ``clock_rate_error``: largest relative error of a
    VM's clock. ``startup_delay_s``: time from start to the first claim, if no record arrives
    before. ``notify_departed_s``: how long VMs that are no longer live are still sent notices of
    the holder, since they may be suspected wrongly.
    """

    announce_interval_s: float = 0.25
    reannounce_interval_s: float = 3.0
    delivery_bound_s: float = 1.0
    stall_bound_s: float = 1.0
    clock_rate_error: float = 0.001
    startup_delay_s: float = 4.0
    verify_interval_s: float = 2.0
    answer_timeout_s: float = 5.0
    notify_departed_s: float = 60.0

    @property
    def takeover_wait_s(self) -> float:
        """Time between a takeover and the successor's first use of the grant."""
        return (self.delivery_bound_s + self.stall_bound_s) * (1 + 4 * self.clock_rate_error)

    @property
    def confirm_after_s(self) -> float:
        """Time without a stall after which a VM has received a notice of every live holder."""
        return ANNOUNCEMENTS_UNTIL_DELIVERY * self.reannounce_interval_s + self.delivery_bound_s
