"""Permits at the owner of a fingerprint, which allow one running attempt in the fleet."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import frozen

from siskinward.coordination.events import Effect
from siskinward.coordination.events import Send
from siskinward.coordination.events import VmIdentity
from siskinward.coordination.quarantine.messages import PermitGranted
from siskinward.coordination.quarantine.messages import PermitRefused
from siskinward.coordination.quarantine.messages import PermitReleased
from siskinward.coordination.quarantine.messages import PermitRequest

if TYPE_CHECKING:
    from siskinward.coordination.quarantine._settings import QuarantineSettings
    from siskinward.coordination.quarantine._suspects import SuspectRegistry


@frozen
class _Permit:
    holder: VmIdentity
    attempt_id: str
    ends_at_s: float


class PermitOwner:
    """Grants at most one permit at a time for each fingerprint that this VM owns."""

    def __init__(self, settings: QuarantineSettings, suspects: SuspectRegistry) -> None:
        self._settings = settings
        self._suspects = suspects
        self._permits: dict[str, _Permit] = {}
        self._settled_at_s = 0.0

    def on_request(self, message: PermitRequest, sender: VmIdentity, now_s: float) -> list[Effect]:
        """Grant the permit unless it is held or the fingerprint is quarantined."""
        fingerprint, attempt_id = message.fingerprint, message.attempt_id
        refused_s = self._suspects.quarantined_for_s(fingerprint, now_s)
        held = self._permits.get(fingerprint)
        if now_s < self._settled_at_s and self._suspects.is_suspect(fingerprint, now_s):
            refused_s = max(refused_s, self._settled_at_s - now_s)
        if refused_s <= 0.0 and self._is_held_by_other(held, sender, attempt_id, now_s):
            refused_s = self._settings.busy_retry_after_s
        if refused_s > 0.0:
            return [Send(sender.vm, PermitRefused(fingerprint, attempt_id, refused_s))]
        ends_at_s = now_s + self._settings.permit_lifetime_s
        self._permits[fingerprint] = _Permit(sender, attempt_id, ends_at_s)
        return [Send(sender.vm, PermitGranted(fingerprint, attempt_id))]

    def on_released(self, message: PermitReleased, sender: VmIdentity, now_s: float) -> None:
        """End the permit; record its loss first, so that the next request takes it into account."""
        if message.loss is not None:
            self._suspects.record_loss(message.fingerprint, message.loss, now_s)
        held = self._permits.get(message.fingerprint)
        if held and held.holder == sender and held.attempt_id == message.attempt_id:
            del self._permits[message.fingerprint]

    def on_members_changed(self, now_s: float) -> None:
        """Refuse suspects for ``settle_s``, as a previous owner may have granted permits.

        The owner of a fingerprint depends on the live VMs.
        """
        self._settled_at_s = now_s + self._settings.settle_s

    def expire(self, now_s: float) -> None:
        """Drop permits past their lifetime."""
        for fingerprint, permit in list(self._permits.items()):
            if now_s >= permit.ends_at_s:
                del self._permits[fingerprint]

    def _is_held_by_other(
        self, held: _Permit | None, sender: VmIdentity, attempt_id: str, now_s: float
    ) -> bool:
        if held is None or now_s >= held.ends_at_s:
            return False
        return held.holder != sender or held.attempt_id != attempt_id
