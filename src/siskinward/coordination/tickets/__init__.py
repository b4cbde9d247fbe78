"""At-most-once execution under tickets and under callers' own idempotency keys."""

from __future__ import annotations

from siskinward.coordination.tickets._decisions import AnswerCaller
from siskinward.coordination.tickets._decisions import Dispatch
from siskinward.coordination.tickets._decisions import TicketStep
from siskinward.coordination.tickets._registry import TicketRegistry
from siskinward.coordination.tickets._settings import TicketSettings
from siskinward.coordination.tickets._states import NotRunScope
from siskinward.coordination.tickets._ticket import Ticket
from siskinward.coordination.tickets._ticket import is_ticket
from siskinward.coordination.tickets._ticket import read_ticket
from siskinward.coordination.tickets._ticket import write_ticket

__all__ = [
    "AnswerCaller",
    "Dispatch",
    "NotRunScope",
    "Ticket",
    "TicketRegistry",
    "TicketSettings",
    "TicketStep",
    "is_ticket",
    "read_ticket",
    "write_ticket",
]
