"""Decisions of the ticket registry that the embedding program carries out."""

from __future__ import annotations

from attrs import frozen

from siskinward.coordination.events import Effect
from siskinward.coordination.outcomes import Outcome
from siskinward.coordination.tickets._states import NotRunScope


@frozen
class Dispatch:
    """Run the attempt now; its final outcome is reported by ``report_outcome``."""

    attempt_id: str


@frozen
class AnswerCaller:
    """End the attempt without running it. ``scope`` qualifies a ``NotRun`` outcome."""

    attempt_id: str
    outcome: Outcome
    scope: NotRunScope


TicketStep = Effect | Dispatch | AnswerCaller
