"""Issues tickets and coordinates their claims so that each request runs at most once."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from siskinward.coordination.events import Send
from siskinward.coordination.local_delivery import deliver_locally
from siskinward.coordination.outcomes import NotRun
from siskinward.coordination.outcomes import RefusalReason
from siskinward.coordination.tickets._attempts import TicketAttempts
from siskinward.coordination.tickets._copy_role import CopyRole
from siskinward.coordination.tickets._decisions import AnswerCaller
from siskinward.coordination.tickets._decisions import TicketStep
from siskinward.coordination.tickets._home_role import MS_PER_S
from siskinward.coordination.tickets._home_role import HomeRole
from siskinward.coordination.tickets._key_claims import KeyClaims
from siskinward.coordination.tickets._states import Claim
from siskinward.coordination.tickets._states import NotRunScope
from siskinward.coordination.tickets._states import Role
from siskinward.coordination.tickets._ticket import Ticket
from siskinward.coordination.tickets._ticket import is_ticket
from siskinward.coordination.tickets._ticket import read_ticket
from siskinward.coordination.tickets._ticket import write_ticket
from siskinward.coordination.tickets.messages import ClaimCopy
from siskinward.coordination.tickets.messages import ClaimFinished
from siskinward.coordination.tickets.messages import ClaimGranted
from siskinward.coordination.tickets.messages import ClaimPending
from siskinward.coordination.tickets.messages import ClaimQuery
from siskinward.coordination.tickets.messages import ClaimRequest
from siskinward.coordination.tickets.messages import ClaimSettled
from siskinward.coordination.tickets.messages import HandOverNoted
from siskinward.coordination.tickets.messages import HandOverPart
from siskinward.coordination.tickets.messages import HomeMoved
from siskinward.coordination.tickets.messages import RoleGone

if TYPE_CHECKING:
    from collections.abc import Sequence

    from siskinward.coordination.events import TableAnswer
    from siskinward.coordination.events import VmIdentity
    from siskinward.coordination.outcomes import Outcome
    from siskinward.coordination.tickets._settings import TicketSettings
    from siskinward.state.identifiers import AccountName
    from siskinward.state.identifiers import IncarnationId


class TicketRegistry:
    """One VM as the home, the copy and the entry VM of tickets.

    A claim is recorded at the ticket's home and then at its copy before the claimant dispatches.
    Neither VM decides alone: a home that resumes after a pause can't grant a ticket that the copy
    has cancelled, and the copy cancels only tickets for which it has granted no claim. At-most-once
    depends neither on leases nor on clocks.
    """

    def __init__(self, settings: TicketSettings, own: VmIdentity, secret: bytes) -> None:
        self._own = own
        self._secret = secret
        self._copy_vm: VmIdentity | None = None
        self._live: tuple[VmIdentity, ...] = ()
        self._last_serial = 0
        self._moved: dict[IncarnationId, VmIdentity] = {}
        self._home = HomeRole(settings, own)
        self._copy = CopyRole(settings, own)
        self._attempts = TicketAttempts(settings, self._home_of)
        self._keys = KeyClaims(settings)

    @property
    def is_handed_over(self) -> bool:
        """Whether a hand-over was begun and the successor has acknowledged every part."""
        return self._home.is_handed_over

    def issue_ticket(self, now_s: float) -> str:
        """Return the text of a new ticket, for a look-up's answer or a refusal."""
        self._last_serial += 1
        minted_at_ms = int(now_s * MS_PER_S)
        ticket = Ticket(self._own, self._copy_vm, self._last_serial, minted_at_ms)
        return write_ticket(ticket, self._secret)

    def begin(
        self,
        attempt_id: str,
        ticket_or_key: str,
        account: AccountName,
        fingerprint: str,
        deadline_s: float,
        now_s: float,
    ) -> list[TicketStep]:
        """Start one send. ``attempt_id`` must be unique within the process."""
        claim = Claim(self._own, attempt_id, account, fingerprint)
        if not is_ticket(ticket_or_key):
            return self._keys.begin(ticket_or_key, claim, deadline_s, now_s)
        parsed = read_ticket(ticket_or_key, self._secret)
        if parsed.is_error():
            refusal = NotRun(RefusalReason.TICKET_INVALID, 0.0)
            return [AnswerCaller(attempt_id, refusal, NotRunScope.SEND)]
        steps = self._attempts.begin(parsed.ok, claim, deadline_s, now_s)
        return self._deliver_local(steps, now_s)

    def on_message(self, message: Any, sender: VmIdentity, now_s: float) -> list[TicketStep]:
        """Handle a message of ``messages.MESSAGES``."""
        return self._deliver_local(self._handle(message, sender, now_s), now_s)

    def on_table_answer(self, answer: TableAnswer, now_s: float) -> list[TicketStep]:
        """Handle the answer to a ``ReadRow`` or ``WriteRow`` of this registry."""
        return self._keys.on_table_answer(answer, now_s)

    def on_timer(self, now_s: float) -> list[TicketStep]:
        """Handle time-outs, resend what is unacknowledged and drop expired records."""
        steps: list[TicketStep] = [*self._home.on_timer(now_s)]
        self._copy.claims.expire(now_s)
        steps += self._attempts.on_timer(now_s)
        steps += self._keys.on_timer(now_s)
        return self._deliver_local(steps, now_s)

    def report_outcome(self, attempt_id: str, outcome: Outcome, now_s: float) -> list[TicketStep]:
        """Report the final outcome of a dispatched attempt, refusals after dispatch included."""
        if attempt_id in self._keys:
            return self._keys.report_outcome(attempt_id, outcome, now_s)
        steps = self._attempts.report_outcome(attempt_id, outcome, now_s)
        return self._deliver_local(steps, now_s)

    def on_members(self, live: Sequence[VmIdentity], now_s: float) -> list[TicketStep]:
        """Update the live VMs of all failure domains.

        Choose the copy of new tickets and mark open claims of departed claimants as lost.
        """
        departed = {vm.incarnation for vm in self._live} - {vm.incarnation for vm in live}
        self._live = tuple(live)
        self._copy_vm = _next_peer(self._own, live)
        steps: list[TicketStep] = [*self._home.claims.mark_claims_lost(departed, now_s)]
        steps += self._copy.claims.mark_claims_lost(departed, now_s)
        return self._deliver_local(steps, now_s)

    def hand_over(self, peer: VmIdentity, now_s: float) -> list[TicketStep]:
        """Hand the home role over to a peer of the failure domain; issue no ticket afterwards."""
        steps: list[TicketStep] = [*self._home.hand_over(peer, now_s)]
        for moved in self._home.home_moves():
            self._moved[moved.home] = moved.successor
            steps += [Send(vm.vm, moved) for vm in self._live if vm.vm != self._own.vm]
        return self._deliver_local(steps, now_s)

    def _handle(self, message: Any, sender: VmIdentity, now_s: float) -> Sequence[TicketStep]:
        match message:
            case ClaimRequest():
                return self._home.on_request(message, now_s)
            case ClaimCopy():
                return self._copy.on_copy(message, now_s)
            case ClaimQuery():
                return self._copy.on_query(message, now_s)
            case ClaimFinished(role=Role.HOME):
                return self._home.on_finished(message, now_s)
            case ClaimFinished():
                return self._copy.on_finished(message, now_s)
            case HandOverPart():
                return self._home.on_hand_over(message, sender, now_s)
            case HandOverNoted():
                self._home.on_part_received(message)
                return []
            case HomeMoved():
                self._moved[message.home] = message.successor
                return self._attempts.on_moved(message, now_s)
            case ClaimGranted() | ClaimPending() | ClaimSettled() | RoleGone():
                return self._handle_reply(message, now_s)
        return []

    def _handle_reply(
        self, message: ClaimGranted | ClaimPending | ClaimSettled | RoleGone, now_s: float
    ) -> list[TicketStep]:
        if message.claim.claimant.incarnation != self._own.incarnation:
            # The reply is meant for the previous process of this VM.
            return []
        match message:
            case ClaimGranted():
                return self._attempts.on_granted(message)
            case ClaimPending():
                return self._attempts.on_pending(message)
            case ClaimSettled():
                return self._attempts.on_settled(message, now_s)
            case RoleGone():
                return self._attempts.on_role_gone(message, now_s)

    def _deliver_local(self, steps: Sequence[TicketStep], now_s: float) -> list[TicketStep]:
        return deliver_locally(steps, self._own, self._handle, now_s)

    def _home_of(self, ticket: Ticket) -> VmIdentity:
        if self._home.holds(ticket):
            return self._own
        return self._moved.get(ticket.home.incarnation, ticket.home)


def _next_peer(own: VmIdentity, live: Sequence[VmIdentity]) -> VmIdentity | None:
    peers = [vm for vm in live if vm.failure_domain == own.failure_domain and vm.vm != own.vm]
    if not peers:
        return None
    return min(peers, key=lambda vm: (vm.vm <= own.vm, vm.vm))
