"""Settings of share issuers and share pools, the same on every VM."""

from __future__ import annotations

from attrs import frozen


@frozen
class ShareSettings:
    """Times and bounds of issuers and pools.

    ``holding_s`` and ``pause_bound_s`` bound how long tokens of a previous issuer can be spent;
    they must be equal on all VMs, and changed only by a restart of the whole fleet. A process may
    be paused for at most ``pause_bound_s`` between reading the clock and the end of a call.
    """

    holding_s: float = 1.0
    pause_bound_s: float = 0.5
    growth_delay_s: float = 5.0
    wait_s: float = 0.25
    prefetch_s: float = 0.2
    low_water_s: float = 0.06
    idle_return_s: float = 0.2
    report_s: float = 0.04
    request_timeout_s: float = 0.1
    backoff_s: float = 0.02
    backoff_limit_s: float = 1.0
    demand_window_s: float = 0.5
    waiters_limit: int = 4096
    min_part_tokens: int = 10
    retry_rate_per_s: float = 20.0
    retry_burst_tokens: int = 40
    link_burst_s: float = 0.1
    link_share: float = 0.8

    @property
    def settling_s(self) -> float:
        """Return the time after which no token of a previous issuer can still be spent."""
        # Both the pool and the issuer may act on a clock reading that is one pause old.
        return self.holding_s + 2 * self.pause_bound_s
