"""Settings of a grant."""

from __future__ import annotations

from attrs import frozen

REANNOUNCEMENTS_HEARD = 3
"""One of this many announcements in a row arrives."""


@frozen
class GrantSettings:
    """Intervals and the bounds on which the safety of a takeover rests.

    ``delivery_bound_s``: a message repeated every ``announce_interval_s`` between two running VMs
    of one failure domain arrives within it. ``stall_bound_s``: longest gap between two timers
    after which a holder goes on without validation. ``clock_rate_error``: largest relative error
    of a VM's clock. ``remember_s``: how long VMs that are no
    longer live are still told who holds the grant, since they may be suspected wrongly.
    """

    announce_interval_s: float = 0.25
    reannounce_interval_s: float = 3.0
    delivery_bound_s: float = 1.0
    stall_bound_s: float = 1.0
    clock_rate_error: float = 0.001
    settle_s: float = 4.0
    verify_interval_s: float = 2.0
    answer_timeout_s: float = 5.0
    remember_s: float = 60.0

    @property
    def takeover_wait_s(self) -> float:
        """Time between a takeover and the successor's first use."""
        return (self.delivery_bound_s + self.stall_bound_s) * (1 + 4 * self.clock_rate_error)

    @property
    def vouch_after_s(self) -> float:
        """Time without a stall after which a VM has heard every live holder."""
        return REANNOUNCEMENTS_HEARD * self.reannounce_interval_s + self.delivery_bound_s
