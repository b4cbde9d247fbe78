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
    """Entry VM to home: asks to run the ticket, or for what became of it."""

    ticket: Ticket
    claim: Claim


@frozen
class ClaimCopy:
    """Home to copy: the home has recorded the claim; the copy records and grants it."""

    ticket: Ticket
    claim: Claim


@frozen
class ClaimQuery:
    """Entry VM to copy, the home being silent; a ticket without a claim is barred for good."""

    ticket: Ticket
    claim: Claim


@frozen
class ClaimGranted:
    """To the claimant: home and copy have recorded the claim; it may dispatch once."""

    claim: Claim


@frozen
class ClaimPending:
    """To an entry VM: another attempt holds the claim; its outcome follows."""

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
    """Claimant to home and copy: its final outcome; ``NotRun`` promises not to dispatch."""

    ticket: Ticket
    claim: Claim
    outcome: Outcome
    role: Role


@frozen
class RoleGone:
    """To an entry VM: the process that held the role for this ticket is no longer there."""

    claim: Claim
    role: Role


@frozen
class HomeMoved:
    """The home role of a process was handed over to ``successor``."""

    home: IncarnationId
    successor: VmIdentity


@frozen
class HandOverPart:
    """One part of a home role; ``successor`` holds it once all ``parts`` have arrived.

    ``sender_now_s`` is the time on the home's clock; tickets up to ``dropped_serial`` may have had
    records that were dropped.
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
    """The part has arrived."""

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
