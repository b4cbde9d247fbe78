"""Settings of admission: service time estimates, class floors and held slots."""

from __future__ import annotations

from attrs import frozen


@frozen
class AdmissionSettings:
    """How a VM admits requests to the targets that it owns.

    ``hold_margin_s`` is added to a request's deadline before a slot with an unknown outcome is
    used again: it covers clock error and a pause of the VM between taking a slot and sending.
    ``hold_limit_s`` limits how long such a slot is held, for targets known to stop work earlier.
    A class with waiting requests receives at least its floor share of the dispatches. A read is
    refused rather than queued for longer than ``read_wait_share`` of the time to its deadline.
    """

    hold_margin_s: float = 1.0
    hold_limit_s: float = float("inf")
    read_floor_share: float = 0.10
    bulk_floor_share: float = 0.05
    read_wait_share: float = 0.25
    initial_service_s: float = 0.02
    service_smoothing: float = 0.05
    min_retry_after_s: float = 0.05
