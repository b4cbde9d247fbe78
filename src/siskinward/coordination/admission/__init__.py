"""Admission control for targets: exact slot counts and bounded, fair, deadline-aware queues."""

from __future__ import annotations

from siskinward.coordination.admission.decisions import Admitted
from siskinward.coordination.admission.decisions import Decision
from siskinward.coordination.admission.decisions import PopResult
from siskinward.coordination.admission.decisions import Queued
from siskinward.coordination.admission.decisions import Refused
from siskinward.coordination.admission.rate_shares import RateShares
from siskinward.coordination.admission.service_queue import ServiceQueue
from siskinward.coordination.admission.settings import AdmissionSettings
from siskinward.coordination.admission.slot_ledger import Slot
from siskinward.coordination.admission.slot_ledger import SlotLedger

__all__ = [
    "AdmissionSettings",
    "Admitted",
    "Decision",
    "PopResult",
    "Queued",
    "RateShares",
    "Refused",
    "ServiceQueue",
    "Slot",
    "SlotLedger",
]
