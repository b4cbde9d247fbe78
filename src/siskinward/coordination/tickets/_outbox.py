"""Final outcomes that the home or the copy has not recorded yet."""

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
class _Posted:
    message: ClaimFinished
    send_at_s: float
    drop_at_s: float


class FinishOutbox:
    """Repeats each outcome until it is recorded or its retention has passed."""

    def __init__(self, settings: TicketSettings, home_of: Callable[[Ticket], VmIdentity]) -> None:
        self._settings = settings
        self._home_of = home_of
        self._posted: dict[_OutboxKey, _Posted] = {}

    def post(
        self, ticket: Ticket, claim: Claim, outcome: Outcome, role: Role, now_s: float
    ) -> list[TicketStep]:
        """Send an outcome to one of the two VMs that record the ticket."""
        if role is Role.COPY and ticket.copy is None:
            return []
        key = _OutboxKey(claim.attempt_id, role)
        if key in self._posted:
            return []
        message = ClaimFinished(ticket, claim, outcome, role)
        drop_at_s = now_s + self._settings.finish_retention_s
        self._posted[key] = _Posted(message, now_s + self._settings.finish_interval_s, drop_at_s)
        return [self._send(message)]

    def on_recorded(self, attempt_id: str, role: Role) -> None:
        """The outcome was recorded, or the role is gone."""
        self._posted.pop(_OutboxKey(attempt_id, role), None)

    def on_timer(self, now_s: float) -> list[TicketStep]:
        """Repeat the outcomes that are due; drop those past their retention."""
        steps: list[TicketStep] = []
        for key, posted in list(self._posted.items()):
            if now_s >= posted.drop_at_s:
                del self._posted[key]
            elif now_s >= posted.send_at_s:
                send_at_s = now_s + self._settings.finish_interval_s
                self._posted[key] = _Posted(posted.message, send_at_s, posted.drop_at_s)
                steps.append(self._send(posted.message))
        return steps

    def _send(self, message: ClaimFinished) -> TicketStep:
        copy = message.ticket.copy
        if message.role is Role.COPY and copy is not None:
            return Send(copy.vm, message)
        return Send(self._home_of(message.ticket).vm, message)
