"""Grants: exclusive roles of one VM in a failure domain.

The platform's table names the holder of each grant, with an epoch that rises with every change
of holder.
"""

from __future__ import annotations

from siskinward.coordination.grants._participant import GrantParticipant
from siskinward.coordination.grants._record import GrantRecord
from siskinward.coordination.grants._settings import GrantSettings

__all__ = ["GrantParticipant", "GrantRecord", "GrantSettings"]
