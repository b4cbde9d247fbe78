"""Effects that decision objects return, and the answers passed back to them.

Decision objects are driven event by event: each method takes the current time ``now_s`` (seconds
on the runtime's monotonic clock) and returns a list of effects for the embedding program to carry
out. They perform no I/O and never read a clock.
"""

from __future__ import annotations

from enum import Enum
from typing import Any

from attrs import frozen

from siskinward.state.identifiers import DomainName
from siskinward.state.identifiers import IncarnationId
from siskinward.state.identifiers import VmName


@frozen
class VmIdentity:
    """One running process: a VM name, its failure domain and its incarnation."""

    vm: VmName
    failure_domain: DomainName
    incarnation: IncarnationId


@frozen
class Send:
    """Deliver ``message`` to the VM ``to``; it may be lost, duplicated or reordered."""

    to: VmName
    message: Any


@frozen
class ReadRow:
    """Read one row of the platform's table; answered by ``RowRead`` or ``RowFailed``."""

    row: str
    request_id: int


@frozen
class WriteRow:
    """Write one row if its version is still ``expected_version`` (0 means absent)."""

    row: str
    expected_version: int
    value: bytes
    request_id: int


@frozen
class RowRead:
    """Answer to ``ReadRow``; version 0 with an empty value means that the row is absent."""

    row: str
    request_id: int
    version: int
    value: bytes


class WriteOutcome(Enum):
    """Outcome of a conditional write."""

    APPLIED = "applied"
    CONFLICT = "conflict"
    UNKNOWN = "unknown"


@frozen
class RowWritten:
    """Answer to ``WriteRow``; ``version`` is the row's version where it is known, else 0."""

    row: str
    request_id: int
    outcome: WriteOutcome
    version: int


@frozen
class RowFailed:
    """The platform did not answer a ``ReadRow``, or refused it."""

    row: str
    request_id: int


TableAnswer = RowRead | RowWritten | RowFailed
Effect = Send | ReadRow | WriteRow
