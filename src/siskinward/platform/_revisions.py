"""Reads how the writers of the store's rows number them."""

from __future__ import annotations

from siskinward.coordination.steering.row import Row
from siskinward.coordination.steering.row import RowRevision
from siskinward.coordination.steering.row import Unreadable
from siskinward.platform._configuration import decode_configuration
from siskinward.platform._operator import CONFIGURATION_KEY
from siskinward.platform._operator import EVACUATION_PREFIX
from siskinward.platform._targets import decode_target
from siskinward.platform._units import DecodeError


def revision_of(row: Row) -> RowRevision | Unreadable | None:
    """Return the revision of a configuration or a target; None for an evacuation or a removal.

    These have no numbering of their own.
    """
    if row.value is None or row.key.startswith(EVACUATION_PREFIX):
        return None
    try:
        if row.key == CONFIGURATION_KEY:
            return RowRevision(0, decode_configuration(row.value).version)
        record = decode_target(row.key, row.value)
    except DecodeError:
        return Unreadable()
    return RowRevision(record.started_ms, record.heartbeat)
