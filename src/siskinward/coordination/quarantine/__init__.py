"""Quarantine of requests that repeatedly coincide with the loss of targets."""

from __future__ import annotations

from siskinward.coordination.quarantine._quarantine import Hold
from siskinward.coordination.quarantine._quarantine import Permit
from siskinward.coordination.quarantine._quarantine import Quarantine
from siskinward.coordination.quarantine._quarantine import QuarantineStep
from siskinward.coordination.quarantine._quarantine import Refuse
from siskinward.coordination.quarantine._settings import QuarantineSettings
from siskinward.coordination.quarantine._settings import compute_unproven_hold_s

__all__ = [
    "Hold",
    "Permit",
    "Quarantine",
    "QuarantineSettings",
    "QuarantineStep",
    "Refuse",
    "compute_unproven_hold_s",
]
