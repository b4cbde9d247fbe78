"""Flat form of a ticket's state, in which it is handed over to a peer."""

from __future__ import annotations

from enum import Enum

from attrs import frozen

from siskinward.coordination.outcomes import NotRun
from siskinward.coordination.outcomes import Outcome
from siskinward.coordination.tickets._states import Claim
from siskinward.coordination.tickets._states import Claimed
from siskinward.coordination.tickets._states import Evicted
from siskinward.coordination.tickets._states import NeverRuns
from siskinward.coordination.tickets._states import New
from siskinward.coordination.tickets._states import Running
from siskinward.coordination.tickets._states import TicketState
from siskinward.coordination.tickets._states import claim_of
from siskinward.coordination.tickets._states import finished_state
from siskinward.coordination.tickets._states import outcome_of


class RecordStatus(Enum):
    """State of a ticket in its flat form; ``FINISHED`` covers all states not named here."""

    CLAIMED = "claimed"
    RUNNING = "running"
    EVICTED = "evicted"
    FINISHED = "finished"


@frozen
class TicketRecord:
    """A recorded ticket; ``outcome`` is None unless it is finished."""

    serial: int
    status: RecordStatus
    claim: Claim | None
    outcome: Outcome | None


def record_of(serial: int, state: TicketState) -> TicketRecord:
    """Convert a state into its flat form."""
    match state:
        case Claimed():
            return TicketRecord(serial, RecordStatus.CLAIMED, state.claim, None)
        case Running():
            return TicketRecord(serial, RecordStatus.RUNNING, state.claim, None)
        case Evicted():
            return TicketRecord(serial, RecordStatus.EVICTED, state.claim, None)
        case _:
            return TicketRecord(serial, RecordStatus.FINISHED, claim_of(state), outcome_of(state))


def state_of(record: TicketRecord) -> TicketState:
    """Restore a state from its flat form."""
    match record:
        case TicketRecord(status=RecordStatus.CLAIMED, claim=Claim() as claim):
            return Claimed(claim)
        case TicketRecord(status=RecordStatus.RUNNING, claim=Claim() as claim):
            return Running(claim)
        case TicketRecord(status=RecordStatus.EVICTED, claim=Claim() as claim):
            return Evicted(claim)
        case TicketRecord(claim=None, outcome=NotRun() as refusal):
            return NeverRuns(None, refusal)
        case TicketRecord(claim=Claim() as claim, outcome=outcome) if outcome is not None:
            return finished_state(claim, outcome)
        case _:
            return New()
