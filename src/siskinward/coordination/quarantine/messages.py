"""Messages between VMs about requests that coincide with the loss of targets."""

from __future__ import annotations

from attrs import frozen

from siskinward.state.identifiers import TargetName


@frozen
class TargetLoss:
    """The loss of a target as one VM observed it; ``loss_id`` is unique in the fleet.

    ``alone`` is true if the fingerprint ran under a permit, with nothing else on the target.
    """

    target: TargetName
    loss_id: str
    alone: bool


@frozen
class PermitRequest:
    """Asks the owner of a fingerprint for permission to run an attempt now."""

    fingerprint: str
    attempt_id: str


@frozen
class PermitGranted:
    """The owner permits the attempt to run, with nothing else on its target."""

    fingerprint: str
    attempt_id: str


@frozen
class PermitRefused:
    """The owner refuses the attempt for now.

    Another attempt runs, the fingerprint is quarantined, owners changed recently, or the receiver
    of the request is not the owner.
    """

    fingerprint: str
    attempt_id: str
    retry_after_s: float


@frozen
class PermitReleased:
    """Tells the owner that the attempt has ended, with or without the loss of its target."""

    fingerprint: str
    attempt_id: str
    loss: TargetLoss | None


@frozen
class SuspectReported:
    """Tells all VMs that the fingerprint was running on a target when the target was lost."""

    fingerprint: str
    loss: TargetLoss


@frozen
class SuspectCleared:
    """Tells all VMs that a suspect fingerprint has since run to its end."""

    fingerprint: str


MESSAGES = (
    PermitRequest,
    PermitGranted,
    PermitRefused,
    PermitReleased,
    SuspectReported,
    SuspectCleared,
)
