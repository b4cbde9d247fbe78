"""Messages that carry a caller's request to a VM of the target's failure domain and back."""

from __future__ import annotations

from attrs import frozen

from siskinward.coordination.outcomes import Answered
from siskinward.coordination.outcomes import NotRun
from siskinward.coordination.outcomes import Unknown
from siskinward.coordination.routing import ServiceLoad


@frozen
class ForwardRequest:
    """A request admitted for its client account; no key travels with it.

    ``time_left_s`` is the caller's deadline as a remaining time; clocks are not shared.
    ``may_forward`` lets the receiver hand it on to the owner in its own failure domain.
    """

    correlation_id: int
    sender_incarnation: str
    service: str
    client_account: str
    method: str
    target_path: str
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes
    run_id: str | None
    fingerprint: str
    is_idempotent: bool
    time_left_s: float
    may_forward: bool
    excluded_targets: tuple[str, ...] = ()


@frozen
class ForwardReply:
    """The outcome of ``ForwardRequest``: exactly one of the three is set."""

    correlation_id: int
    sender_incarnation: str
    answered: Answered | None = None
    not_run: NotRun | None = None
    unknown: Unknown | None = None
    tried_target: str | None = None
    lost_targets: tuple[str, ...] = ()
    service_s: float = 0.0
    load: ServiceLoad | None = None


MESSAGES: tuple[type, ...] = (ForwardRequest, ForwardReply)
