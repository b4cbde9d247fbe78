"""One admitted request on its way to a target."""

from __future__ import annotations

from attrs import frozen

from siskinward.coordination.outcomes import Outcome
from siskinward.state.identifiers import AccountName
from siskinward.state.identifiers import ServiceName
from siskinward.state.identifiers import TargetName


@frozen
class Work:
    """A request whose key has been checked and removed.

    ``headers`` holds only what may reach a target; ``deadline_s`` is on this VM's clock.
    """

    service: ServiceName
    client_account: AccountName
    method: str
    target_path: str
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes
    run_id: str | None
    is_idempotent: bool
    deadline_s: float
    excluded_targets: tuple[TargetName, ...] = ()


@frozen
class WorkResult:
    """What became of an attempt; ``lost_targets`` failed while they ran it."""

    outcome: Outcome
    tried_target: TargetName | None = None
    lost_targets: tuple[TargetName, ...] = ()
