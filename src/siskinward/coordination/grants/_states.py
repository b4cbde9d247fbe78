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
    """Reads the row before a claim, or to learn whether its own claim took effect."""

    request_id: int
    asked_s: float


@frozen
class Claiming:
    """A conditional write that names this VM is under way."""

    record: GrantRecord
    request_id: int
    asked_s: float
    from_vacant: bool


@frozen
class Waiting:
    """The row names this VM; its predecessor may go on until ``use_from_s``."""

    record: GrantRecord
    use_from_s: float


@frozen
class Holding:
    """This VM may use the grant."""

    record: GrantRecord


@frozen
class Validating:
    """Was stalled or contradicted; asks the platform, and the peers while it is away.

    ``query_id`` is fixed for the whole validation, ``request_id`` names the latest read.
    ``contested`` says that a peer knows another holder of the same epoch.
    """

    record: GrantRecord
    query_id: int
    request_id: int
    asked_s: float
    contested: bool = False
    platform_away: bool = False
    vouchers: frozenset[IncarnationId] = frozenset()


@frozen
class Released:
    """Gave the grant up for good; repeats the handover until the successor announces itself."""

    record: GrantRecord
    acknowledged: bool


State = Following | Reading | Claiming | Waiting | Holding | Validating | Released
