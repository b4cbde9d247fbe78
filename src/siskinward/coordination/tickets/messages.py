"""Messages between the VMs about tickets."""

from __future__ import annotations

from attrs import frozen

from siskinward.coordination.events import VmIdentity
from siskinward.coordination.outcomes import Outcome
from siskinward.coordination.tickets._states import Claim
from siskinward.coordination.tickets._states import NotRunScope
from siskinward.coordination.tickets._states import Role
from siskinward.coordination.tickets._ticket import Ticket
from siskinward.coordination.tickets._ticket_record import TicketRecord
from siskinward.state.identifiers import IncarnationId


@frozen
class ClaimRequest:
    """Entry VM to home: requests the ticket's claim, or the outcome if it is already claimed."""

    ticket: Ticket
    claim: Claim


@frozen
class ClaimCopy:
    """Home to copy: the home has recorded the claim; the copy must record and grant it."""

    ticket: Ticket
    claim: Claim


@frozen
class ClaimQuery:
    """Entry VM to copy: the home timed out.

    The copy answers with the ticket's state; a ticket without a claim is cancelled for good.
    """

    ticket: Ticket
    claim: Claim


@frozen
class ClaimGranted:
    """To the claimant: home and copy have recorded the claim; it may dispatch once."""

    claim: Claim


@frozen
class ClaimPending:
    """To an entry VM: another attempt holds the claim; ``ClaimSettled`` follows."""

    claim: Claim


@frozen
class ClaimSettled:
    """To an entry VM: the final outcome of the ticket, as the home or the copy recorded it."""

    claim: Claim
    outcome: Outcome
    scope: NotRunScope
    role: Role


@frozen
class ClaimFinished:
    """Claimant to home and copy: its final outcome.

    With ``NotRun`` the claimant has not run the request and will not dispatch it any more.
    """

    ticket: Ticket
    claim: Claim
    outcome: Outcome
    role: Role


@frozen
class RoleGone:
    """To an entry VM: the process that held the role for this ticket no longer runs."""

    claim: Claim
    role: Role


@frozen
class HomeMoved:
    """To other VMs: the home role of a process was handed over to ``successor``."""

    home: IncarnationId
    successor: VmIdentity


@frozen
class HandOverPart:
    """One part of a home role; ``successor`` takes the role over once all ``parts`` have arrived.

    ``sender_now_s`` is the time on the home's clock. Records of tickets up to ``dropped_serial``
    may have been dropped.
    """

    home: VmIdentity
    successor: VmIdentity
    part: int
    parts: int
    sender_now_s: float
    dropped_serial: int
    records: tuple[TicketRecord, ...]


@frozen
class HandOverNoted:
    """Acknowledges a ``HandOverPart``."""

    home: IncarnationId
    part: int


MESSAGES = (
    ClaimRequest,
    ClaimCopy,
    ClaimQuery,
    ClaimGranted,
    ClaimPending,
    ClaimSettled,
    ClaimFinished,
    RoleGone,
    HomeMoved,
    HandOverPart,
    HandOverNoted,
)
