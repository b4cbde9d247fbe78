"""Grants: authorities held by one VM of a failure domain, named with an epoch in the table."""

from __future__ import annotations

from siskinward.coordination.grants._participant import GrantParticipant
from siskinward.coordination.grants._record import GrantRecord
from siskinward.coordination.grants._settings import GrantSettings

__all__ = ["GrantParticipant", "GrantRecord", "GrantSettings"]
