"""A checked request for a target, and the results of running it."""

from __future__ import annotations

from attrs import frozen

from siskinward.coordination.outcomes import Outcome
from siskinward.coordination.routing import ServiceLoad
from siskinward.coordination.tickets import NotRunScope
from siskinward.state.identifiers import AccountName
from siskinward.state.identifiers import ServiceName
from siskinward.state.identifiers import TargetName


@frozen
class Work:
    """A unit of work for a target: a checked request without its key.

    ``headers`` holds only what may reach a target; ``deadline_s`` is on this VM's clock.
    """

    service: ServiceName
    client_account: AccountName
    method: str
    target_path: str
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes
    run_id: str | None
    fingerprint: str
    is_idempotent: bool
    deadline_s: float
    excluded_targets: tuple[TargetName, ...] = ()

    @property
    def size_bytes(self) -> int:
        """Size of the path, headers and body that are sent to a target."""
        headers_bytes = sum(len(name) + len(value) for name, value in self.headers)
        return len(self.target_path) + headers_bytes + len(self.body)


@frozen
class RequestResult:
    """The final outcome of a caller's request.

    ``scope`` states whether a ``NotRun`` holds for this send only or for the whole request, which
    may have been sent before. ``fresh_ticket`` replaces the request's own ticket once it is spent.
    """

    outcome: Outcome
    scope: NotRunScope | None = None
    fresh_ticket: str = ""


@frozen
class AttemptResult:
    """Result of one attempt; ``lost_targets`` failed while they ran it.

    ``service_s`` is the time that the target took. ``load`` is the load of the service's
    targets on the VM that ran the attempt.
    """

    outcome: Outcome
    tried_target: TargetName | None = None
    lost_targets: tuple[TargetName, ...] = ()
    service_s: float = 0.0
    load: ServiceLoad | None = None
