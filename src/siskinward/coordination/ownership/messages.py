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
    """A target that the sender holds under the lease ``term``."""

    target: TargetName
    term: int


@frozen
class ReleasedTarget:
    """A target that the sender releases.

    Its next owner must not use it for ``wait_s``. ``busy_s`` has, for each slot still in use,
    the time for which it may remain in use.
    """

    target: TargetName
    term: int
    wait_s: float
    busy_s: tuple[float, ...]


@frozen
class OwnershipRequest:
    """Asks the assigner of ``epoch`` to renew the held and accept the released targets."""

    epoch: int
    nonce: int
    owners_serial: int
    leaving: bool
    held: tuple[HeldTarget, ...]
    released: tuple[ReleasedTarget, ...]


@frozen
class LeasedTarget:
    """A newly leased target.

    The owner must not use it for ``wait_s``, and must count one slot as in use for each of
    ``busy_s``.
    """

    target: TargetName
    term: int
    wait_s: float
    busy_s: tuple[float, ...]


@frozen
class TargetOwner:
    """The VM that a target is assigned to; used for forwarding, it permits no use of the target."""

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
