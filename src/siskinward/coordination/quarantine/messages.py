"""Messages between the VMs about requests that coincide with the loss of targets."""

from __future__ import annotations

from attrs import frozen

from siskinward.state.identifiers import TargetName


@frozen
class TargetLoss:
    """The loss of a target as one VM saw it; ``loss_id`` is unique over the fleet.

    ``alone`` tells that the fingerprint ran under a permit, with nothing else on the target.
    """

    target: TargetName
    loss_id: str
    alone: bool


@frozen
class PermitRequest:
    """To a fingerprint's owner: may this attempt run now?"""

    fingerprint: str
    attempt_id: str


@frozen
class PermitGranted:
    """The attempt may run, with nothing else on its target."""

    fingerprint: str
    attempt_id: str


@frozen
class PermitRefused:
    """Another attempt runs, or the fingerprint is quarantined."""

    fingerprint: str
    attempt_id: str
    retry_after_s: float


@frozen
class PermitReleased:
    """To the owner: the attempt has ended, with the loss of its target or without."""

    fingerprint: str
    attempt_id: str
    loss: TargetLoss | None


@frozen
class SuspectReported:
    """To all VMs: the fingerprint ran on a target when that was lost."""

    fingerprint: str
    loss: TargetLoss


@frozen
class SuspectCleared:
    """To all VMs: the fingerprint ran to its end since."""

    fingerprint: str


MESSAGES = (
    PermitRequest,
    PermitGranted,
    PermitRefused,
    PermitReleased,
    SuspectReported,
    SuspectCleared,
)
