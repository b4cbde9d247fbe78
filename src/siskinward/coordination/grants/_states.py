"""States of a participant."""

from __future__ import annotations

from attrs import frozen

from siskinward.coordination.grants._record import GrantRecord
from siskinward.state.identifiers import IncarnationId


@frozen
class Following:
    """Another VM holds the grant, or nobody is known to."""


@frozen
class Reading:
    """The row is being read, before a claim or to find out whether an own claim was applied."""

    request_id: int
    requested_s: float


@frozen
class Claiming:
    """A conditional write that names this VM is pending."""

    record: GrantRecord
    request_id: int
    requested_s: float
    from_vacant: bool


@frozen
class Waiting:
    """The row names this VM; its predecessor may still use the grant until ``use_from_s``."""

    record: GrantRecord
    use_from_s: float


@frozen
class Holding:
    """This VM may use the grant."""

    record: GrantRecord


@frozen
class Validating:
    """A holder that stalled, or that a peer contradicted, has its record confirmed.

    It asks the platform, and the peers in case the platform fails to answer. ``query_id`` is fixed
    for the whole validation, ``request_id`` names the latest read. ``contested``: a peer knows
    another holder of the same epoch. ``confirmed_by``: peers that know no other holder.
    """

    record: GrantRecord
    query_id: int
    request_id: int
    requested_s: float
    contested: bool = False
    platform_failed: bool = False
    confirmed_by: frozenset[IncarnationId] = frozenset()


@frozen
class Released:
    """Released the grant for good; repeats the handover until the successor announces itself."""

    record: GrantRecord
    acknowledged: bool


State = Following | Reading | Claiming | Waiting | Holding | Validating | Released
