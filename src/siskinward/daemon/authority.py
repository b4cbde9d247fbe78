"""The authority of a failure domain: one grant, whose holder issues shares and assigns targets."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from siskinward.coordination.grants import GrantParticipant
from siskinward.coordination.grants import GrantSettings
from siskinward.coordination.ownership import OwnershipParticipant
from siskinward.coordination.ownership import OwnershipSettings
from siskinward.coordination.shares import ShareIssuer
from siskinward.coordination.shares import ShareSettings
from siskinward.state.objects import Configuration

if TYPE_CHECKING:
    from siskinward.coordination.admission import SlotLedger
    from siskinward.coordination.events import Effect
    from siskinward.coordination.events import TableAnswer
    from siskinward.coordination.events import VmIdentity
    from siskinward.coordination.membership import Member
    from siskinward.state.identifiers import VmName

GRANT_PREFIX = "failure-domain/"


class Authority:
    """Starts and stops the share issuer and the target assigner as the grant is gained or lost.

    There is one grant a failure domain, stored as one row of the platform's table, so that the
    number of rows does not grow with the roles that depend on the grant.
    """

    def __init__(self, own: VmIdentity, ledger: SlotLedger, now_s: float) -> None:
        grant = f"{GRANT_PREFIX}{own.failure_domain}"
        self._own = own
        self.grant = GrantParticipant(GrantSettings(), own, grant, now_s)
        self.issuer = ShareIssuer(ShareSettings(), own)
        self.ownership = OwnershipParticipant(OwnershipSettings(), own, ledger, Configuration())
        self._members: tuple[Member, ...] = ()

    @property
    def holder(self) -> VmName:
        """The latest known holder of the grant; empty if none is known."""
        return self.grant.holder

    @property
    def epoch(self) -> int:
        """Epoch of the latest known holder."""
        return self.grant.epoch

    def on_configuration(self, configuration: Configuration, now_s: float) -> list[Effect]:
        """Apply a configuration to the roles that depend on the grant."""
        self.ownership.on_configuration(configuration, now_s)
        return self.issuer.on_configuration(configuration, now_s)

    def on_members(self, members: tuple[Member, ...], now_s: float) -> list[Effect]:
        """Update the live VMs of the own failure domain."""
        self._members = members
        # A leaving VM must be notified of a new assigner, or it cannot return its targets.
        live = [member.identity for member in members]
        effects = self.grant.on_members(members, now_s)
        return effects + self.ownership.on_members(live or [self._own], now_s)

    def on_timer(self, now_s: float) -> list[Effect]:
        """Drive the grant, then pass its state to the issuer and the assigner and drive them."""
        effects = self.grant.on_timer(now_s)
        may_use = self.grant.may_use(now_s)
        effects += self.issuer.on_grant(may_use, self.grant.epoch, now_s)
        effects += self.ownership.on_grant(may_use=may_use, epoch=self.grant.epoch, now_s=now_s)
        return effects + self.issuer.on_timer(now_s) + self.ownership.on_timer(now_s)

    def on_message(self, message: Any, sender: VmIdentity, now_s: float) -> list[Effect]:
        """Process a message of the grant protocol."""
        return self.grant.on_message(message, sender, now_s)

    def on_table_answer(self, answer: TableAnswer, now_s: float) -> list[Effect]:
        """Process the result of a read or write of the grant's row."""
        return self.grant.on_table_answer(answer, now_s)

    def leave(self, now_s: float) -> list[Effect]:
        """Hand the targets, the issuer's state and the grant over to peers."""
        self.ownership.leave(now_s)
        effects: list[Effect] = []
        successor = self._successor()
        if successor is not None:
            effects += self.issuer.hand_over(successor, now_s)
        return effects + self.grant.release(now_s)

    def _successor(self) -> VmName | None:
        staying = [m.identity.vm for m in self._members if not m.leaving]
        return next((vm for vm in staying if vm != self._own.vm), None)
