"""Decisions of a service queue on one request."""

from __future__ import annotations

from attrs import frozen

from siskinward.coordination.outcomes import NotRun
from siskinward.state.identifiers import AccountName


@frozen
class Admitted:
    """The request may take a slot now; ``waited_s`` is the time it spent in the queue."""

    request_id: int
    account: AccountName
    waited_s: float


@frozen
class Refused:
    """The request was not run and is not, or no longer, in the queue."""

    request_id: int
    account: AccountName
    outcome: NotRun


@frozen
class Queued:
    """The request is queued; ``evicted`` is a waiting request that was removed to make room."""

    request_id: int
    expected_wait_s: float
    evicted: Refused | None = None


@frozen
class PopResult:
    """The next request to dispatch, if any, and those refused because they would finish late."""

    admitted: Admitted | None
    refused: tuple[Refused, ...]


Decision = Admitted | Queued | Refused
