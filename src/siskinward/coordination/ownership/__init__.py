"""Leases of targets to the VMs of a failure domain: each target has one owner at a time."""

from __future__ import annotations

from siskinward.coordination.ownership.messages import MESSAGES
from siskinward.coordination.ownership.participant import OwnershipParticipant
from siskinward.coordination.ownership.participant import owned_targets
from siskinward.coordination.ownership.settings import OwnershipSettings

__all__ = ["MESSAGES", "OwnershipParticipant", "OwnershipSettings", "owned_targets"]
