"""Messages that forward a request to a VM of the target's failure domain and return its outcome."""

from __future__ import annotations

from attrs import frozen

from siskinward.coordination.outcomes import Answered
from siskinward.coordination.outcomes import NotRun
from siskinward.coordination.outcomes import Unknown
from siskinward.coordination.routing import ServiceLoad


@frozen
class ForwardRequest:
    """A request that the sender admitted for its client account; it omits the caller's key.

    ``time_left_s`` is the time left until the caller's deadline, a duration because VMs share no
    clock. ``may_forward`` allows the receiver to forward the request to the owner in its own
    failure domain.
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
    """Returns the outcome: exactly one of ``answered``, ``not_run`` and ``unknown`` is set."""

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
