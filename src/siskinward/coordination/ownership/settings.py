"""Settings of target ownership inside a failure domain."""

from __future__ import annotations

from attrs import frozen


@frozen
class OwnershipSettings:
    """Lease times, the same on every VM of a failure domain.

    ``pause_bound_s`` bounds a pause of a VM between checking its lease and sending a request,
    clock error over one lease included. ``grant_validity_s`` is how long a VM relies on the last
    call of ``on_grant``. A recalled target is released once idle, or after ``recall_timeout_s``.
    ``load_slack`` is how far above the average a VM's slots may lie before some are recalled.
    """

    lease_s: float = 3.0
    renew_interval_s: float = 1.0
    pause_bound_s: float = 1.0
    grant_validity_s: float = 0.5
    notice_interval_s: float = 2.0
    recall_timeout_s: float = 0.5
    load_slack: float = 0.25
