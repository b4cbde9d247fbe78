"""Typed outcomes of a caller's request.

``NotRun`` is returned only where no byte of the request reached a target, or where the target
itself said that it shed the request. Everything else that failed is ``Unknown``.
"""

from __future__ import annotations

from enum import Enum

from attrs import frozen


class RefusalReason(Enum):
    """Why a request was refused; each reason has its own counter."""

    MALFORMED = "malformed"
    TOO_LARGE = "too-large"
    NO_ROUTE = "no-route"
    KEY_MISSING = "key-missing"
    KEY_UNKNOWN = "key-unknown"
    KEY_UNCONFIRMED = "key-unvouched"
    KEY_EXPOSED = "key-exposed"
    RATE = "rate"
    QUEUE_FULL = "queue-full"
    QUEUE_LATE = "queue-late"
    NO_TARGET = "no-target"
    DEADLINE = "deadline"
    LINK_BUDGET = "link-budget"
    TARGET_SHED = "target-shed"
    QUARANTINED = "quarantined"
    TICKET_INVALID = "ticket-invalid"
    TICKET_REQUIRED = "ticket-required"
    CLAIM_UNAVAILABLE = "claim-unavailable"
    STORE_UNAVAILABLE = "store-unavailable"
    IN_PROGRESS = "in-progress"
    ANSWER_EVICTED = "answer-evicted"
    NO_CONFIGURATION = "no-configuration"
    LEAVING = "leaving"
    TARGET_LOST = "target-lost"
    PEER_LOST = "peer-lost"
    ANSWER_INCOMPLETE = "answer-incomplete"


class RetryReason(Enum):
    """Why a request was retried; each reason has its own counter."""

    CONNECT_FAILED = "connect-failed"
    STALE_CONNECTION = "stale-connection"
    TARGET_SHED = "target-shed"
    TARGET_LOST = "target-lost"
    ANSWER_INCOMPLETE = "answer-incomplete"
    PEER_LOST = "peer-lost"
    ANOTHER_VM = "another-vm"
    HEDGE = "hedge"


@frozen
class Answered:
    """The target's complete answer."""

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes


@frozen
class NotRun:
    """The request did not run; the caller may retry after ``retry_after_s``."""

    reason: RefusalReason
    retry_after_s: float


@frozen
class Unknown:
    """The request may have run; it is retried only if it is idempotent."""

    reason: RefusalReason


Outcome = Answered | NotRun | Unknown
