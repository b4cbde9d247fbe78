"""States of a ticket as its home and its copy record them; no record means ``New``."""

from __future__ import annotations

from enum import Enum

from attrs import frozen

from siskinward.coordination.events import VmIdentity
from siskinward.coordination.outcomes import Answered
from siskinward.coordination.outcomes import NotRun
from siskinward.coordination.outcomes import Outcome
from siskinward.coordination.outcomes import RefusalReason
from siskinward.coordination.outcomes import Unknown
from siskinward.state.identifiers import AccountName


class NotRunScope(Enum):
    """What a ``NotRun`` answer guarantees.

    ``REQUEST``: nothing ran under the ticket and nothing ever will. ``SEND``: this send did not
    run; earlier sends under the same ticket or key may have.
    """

    REQUEST = "request"
    SEND = "send"


class Role(Enum):
    """The two VMs that record a ticket."""

    HOME = "home"
    COPY = "copy"


@frozen
class Claim:
    """The one attempt that may run a ticket; another attempt never replaces it."""

    claimant: VmIdentity
    attempt_id: str
    account: AccountName
    fingerprint: str

    def is_resend_of(self, other: Claim) -> bool:
        """Whether both attempts carry the same request of the same client account."""
        return self.account == other.account and self.fingerprint == other.fingerprint


@frozen
class New:
    """Nothing is recorded under the ticket."""


@frozen
class Claimed:
    """At the home: the copy was asked to confirm the claim, and may have granted it."""

    claim: Claim


@frozen
class Running:
    """The claim was granted; the claimant may have dispatched the request."""

    claim: Claim


@frozen
class Done:
    """The request ran and its answer is kept."""

    claim: Claim
    answer: Answered


@frozen
class Evicted:
    """The request ran; its answer is no longer kept."""

    claim: Claim


@frozen
class Lost:
    """The request may have run: its claimant could not find out, or no longer runs."""

    claim: Claim
    reason: RefusalReason


@frozen
class NeverRuns:
    """Nothing ran under the ticket and nothing ever will. ``claim`` is None if none was made."""

    claim: Claim | None
    refusal: NotRun


TicketState = New | Claimed | Running | Done | Evicted | Lost | NeverRuns


def claim_of(state: TicketState) -> Claim | None:
    """Return the claim that a state records."""
    match state:
        case New():
            return None
        case _:
            return state.claim


def outcome_of(state: TicketState) -> Outcome | None:
    """Return the outcome for a resend, or None while the request may still be running."""
    match state:
        case Done():
            return state.answer
        case Evicted():
            return Unknown(RefusalReason.ANSWER_EVICTED)
        case Lost():
            return Unknown(state.reason)
        case NeverRuns():
            return state.refusal
        case _:
            return None


def finished_state(claim: Claim, outcome: Outcome) -> TicketState:
    """Return the state of a ticket whose claimant reported its final outcome."""
    match outcome:
        case Answered():
            return Done(claim, outcome)
        case NotRun():
            return NeverRuns(claim, outcome)
        case Unknown():
            return Lost(claim, outcome.reason)
