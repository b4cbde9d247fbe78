"""Messages round-trip through the protocol layer's codec, and flat records through states."""

from __future__ import annotations

from typing import Any

import pytest
from cattrs.preconf.msgpack import make_converter

from siskinward.coordination.events import VmIdentity
from siskinward.coordination.outcomes import Answered
from siskinward.coordination.outcomes import NotRun
from siskinward.coordination.outcomes import RefusalReason
from siskinward.coordination.outcomes import Unknown
from siskinward.coordination.tickets import NotRunScope
from siskinward.coordination.tickets import Ticket
from siskinward.coordination.tickets._states import Claim
from siskinward.coordination.tickets._states import Claimed
from siskinward.coordination.tickets._states import Done
from siskinward.coordination.tickets._states import Evicted
from siskinward.coordination.tickets._states import Lost
from siskinward.coordination.tickets._states import NeverRuns
from siskinward.coordination.tickets._states import Role
from siskinward.coordination.tickets._states import Running
from siskinward.coordination.tickets._ticket_record import record_of
from siskinward.coordination.tickets._ticket_record import state_of
from siskinward.coordination.tickets.messages import ClaimCopy
from siskinward.coordination.tickets.messages import ClaimSettled
from siskinward.coordination.tickets.messages import HandOverPart
from siskinward.state.identifiers import AccountName
from siskinward.state.identifiers import DomainName
from siskinward.state.identifiers import IncarnationId
from siskinward.state.identifiers import VmName

HOME = VmIdentity(VmName("home"), DomainName("domain"), IncarnationId("home-0"))
CLAIM = Claim(HOME, "attempt", AccountName("agency"), "print")
ANSWER = Answered(200, ((b"content-type", b"text/plain"),), b"booked")
REFUSAL = NotRun(RefusalReason.TARGET_SHED, 1.5)
STATES = [
    Claimed(CLAIM),
    Running(CLAIM),
    Evicted(CLAIM),
    Done(CLAIM, ANSWER),
    NeverRuns(CLAIM, REFUSAL),
    NeverRuns(None, REFUSAL),
    Lost(CLAIM, RefusalReason.PEER_LOST),
]
RECORDS = tuple(record_of(serial, state) for serial, state in enumerate(STATES))
MESSAGES = [
    HandOverPart(HOME, HOME, 0, 1, 2.5, 7, RECORDS),
    ClaimCopy(Ticket(HOME, None, 1, 2), CLAIM),
    ClaimCopy(Ticket(HOME, HOME, 1, 2), CLAIM),
    *(
        ClaimSettled(CLAIM, outcome, NotRunScope.SEND, Role.COPY)
        for outcome in (ANSWER, REFUSAL, Unknown(RefusalReason.IN_PROGRESS))
    ),
]


@pytest.mark.parametrize("message", MESSAGES)
def test_message_survives_codec(message: Any) -> None:
    converter = make_converter()
    packed = converter.dumps(message)
    assert converter.loads(packed, type(message)) == message


def test_record_keeps_state() -> None:
    assert [state_of(record) for record in RECORDS] == STATES
