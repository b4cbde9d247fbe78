"""The row of a grant in the platform's table."""

from __future__ import annotations

import msgpack
from attrs import frozen

from siskinward.state.identifiers import IncarnationId
from siskinward.state.identifiers import VmName

ROW_PREFIX = "grant/"
VACANT = IncarnationId("")


@frozen
class GrantRecord:
    """Holder and epoch of a grant. A vacant record has an empty incarnation."""

    epoch: int
    vm: VmName
    incarnation: IncarnationId

    @property
    def is_vacant(self) -> bool:
        """Whether the last holder released the grant and nobody holds it."""
        return self.incarnation == VACANT


ABSENT = GrantRecord(0, VmName(""), VACANT)
"""The record that an absent row stands for."""


def encode_record(record: GrantRecord) -> bytes:
    """Return the row's value."""
    return msgpack.packb([record.epoch, record.vm, record.incarnation])


def decode_record(value: bytes) -> GrantRecord:
    """Read the row's value; an absent row has an empty one."""
    if not value:
        return ABSENT
    epoch, vm, incarnation = msgpack.unpackb(value)
    return GrantRecord(epoch, VmName(vm), IncarnationId(incarnation))
