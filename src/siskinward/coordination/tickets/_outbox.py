"""Resends final outcomes until the home and the copy have recorded them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import frozen

from siskinward.coordination.events import Send
from siskinward.coordination.events import VmIdentity
from siskinward.coordination.tickets._states import Role
from siskinward.coordination.tickets.messages import ClaimFinished

if TYPE_CHECKING:
    from collections.abc import Callable

    from siskinward.coordination.outcomes import Outcome
    from siskinward.coordination.tickets._decisions import TicketStep
    from siskinward.coordination.tickets._settings import TicketSettings
    from siskinward.coordination.tickets._states import Claim
    from siskinward.coordination.tickets._ticket import Ticket


@frozen
class _OutboxKey:
    attempt_id: str
    role: Role


@frozen
class _PendingOutcome:
    message: ClaimFinished
    send_at_s: float
    drop_at_s: float


class FinishOutbox:
    """Resends each outcome until it is recorded or its retention has passed."""

    def __init__(self, settings: TicketSettings, home_of: Callable[[Ticket], VmIdentity]) -> None:
        self._settings = settings
        self._home_of = home_of
        self._pending: dict[_OutboxKey, _PendingOutcome] = {}

    def send_until_recorded(
        self, ticket: Ticket, claim: Claim, outcome: Outcome, role: Role, now_s: float
    ) -> list[TicketStep]:
        """Send an outcome to the VM in ``role``, and resend it until it is recorded."""
        if role is Role.COPY and ticket.copy is None:
            return []
        key = _OutboxKey(claim.attempt_id, role)
        if key in self._pending:
            return []
        message = ClaimFinished(ticket, claim, outcome, role)
        drop_at_s = now_s + self._settings.finish_retention_s
        self._pending[key] = _PendingOutcome(
            message, now_s + self._settings.finish_interval_s, drop_at_s
        )
        return [self._send(message)]

    def on_recorded(self, attempt_id: str, role: Role) -> None:
        """Stop resending an outcome that was recorded, or whose role no process holds any more."""
        self._pending.pop(_OutboxKey(attempt_id, role), None)

    def on_timer(self, now_s: float) -> list[TicketStep]:
        """Resend the outcomes that are due; drop those past their retention."""
        steps: list[TicketStep] = []
        for key, pending in list(self._pending.items()):
            if now_s >= pending.drop_at_s:
                del self._pending[key]
            elif now_s >= pending.send_at_s:
                send_at_s = now_s + self._settings.finish_interval_s
                self._pending[key] = _PendingOutcome(pending.message, send_at_s, pending.drop_at_s)
                steps.append(self._send(pending.message))
        return steps

    def _send(self, message: ClaimFinished) -> TicketStep:
        copy = message.ticket.copy
        if message.role is Role.COPY and copy is not None:
            return Send(copy.vm, message)
        return Send(self._home_of(message.ticket).vm, message)
