"""Messages between the VMs of a failure domain about the ownership of targets."""

from __future__ import annotations

from attrs import frozen

from siskinward.state.identifiers import IncarnationId
from siskinward.state.identifiers import TargetName
from siskinward.state.identifiers import VmName


@frozen
class AssignerNotice:
    """The sender assigns targets under ``epoch``; ``serial`` counts changes of the owners."""

    epoch: int
    serial: int


@frozen
class HeldTarget:
    """A target that the sender owns since the grant ``term``."""

    target: TargetName
    term: int


@frozen
class ReleasedTarget:
    """A target that the sender no longer uses, and would not have used for ``wait_s``.

    Each slot in ``busy_s`` may be in use that long.
    """

    target: TargetName
    term: int
    wait_s: float
    busy_s: tuple[float, ...]


@frozen
class OwnershipRequest:
    """Asks the assigner of ``epoch`` to renew what is held and take back what is released."""

    epoch: int
    nonce: int
    owners_serial: int
    leaving: bool
    held: tuple[HeldTarget, ...]
    released: tuple[ReleasedTarget, ...]


@frozen
class LeasedTarget:
    """A newly leased target: unused for ``wait_s``, with slots that stay busy for ``busy_s``."""

    target: TargetName
    term: int
    wait_s: float
    busy_s: tuple[float, ...]


@frozen
class TargetOwner:
    """Which VM a target is assigned to; a hint for forwarding, never a right to use it."""

    target: TargetName
    vm: VmName


@frozen
class OwnershipLease:
    """Answers the request ``nonce`` of one incarnation.

    Leases run for ``lease_s`` from when that request was sent.
    """

    epoch: int
    incarnation: IncarnationId
    nonce: int
    lease_s: float
    renewed_terms: tuple[int, ...]
    leased: tuple[LeasedTarget, ...]
    recalled: tuple[TargetName, ...]
    owners_serial: int
    owners: tuple[TargetOwner, ...]


MESSAGES = (
    AssignerNotice,
    HeldTarget,
    ReleasedTarget,
    OwnershipRequest,
    LeasedTarget,
    TargetOwner,
    OwnershipLease,
)
