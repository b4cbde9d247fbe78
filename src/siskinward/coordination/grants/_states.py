"""States of a ``GrantParticipant``."""

from __future__ import annotations

from attrs import frozen

from siskinward.coordination.grants._record import GrantRecord
from siskinward.state.identifiers import IncarnationId


@frozen
class Following:
    """Another VM holds the grant, or no holder is known."""


@frozen
class Reading:
    """The row is being read, before a claim or to find out whether this VM's claim was applied."""

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
    """This VM held the grant and has its record confirmed, as it stalled or a peer contradicted it.

    It does not use the grant meanwhile. It asks the platform, and the peers in case the platform
    fails to answer. ``query_id`` is fixed for the whole validation, ``request_id`` names the latest
    read. ``contested``: a peer knows another holder of the same epoch. ``confirmed_by``: peers that
    know no other holder.
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
