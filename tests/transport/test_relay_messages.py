"""Relay messages stay readable to VMs of the release before, and theirs to this one."""

from __future__ import annotations

import pytest

from siskinward.state.identifiers import TargetName
from siskinward.transport.http_messages import HttpRequest
from siskinward.transport.http_messages import HttpResponse
from siskinward.transport.outbound_connection import ExchangeFailedError
from siskinward.transport.outbound_connection import SendPhase
from siskinward.transport.relay_messages import RelayFailure
from siskinward.transport.relay_messages import RelayReply
from siskinward.transport.relay_messages import RelayRequest
from siskinward.transport.relay_messages import decode_relay_reply
from siskinward.transport.relay_messages import decode_relay_request
from siskinward.transport.relay_messages import encode_relay_reply
from siskinward.transport.relay_messages import encode_relay_request

# As written by the release before.
REQUEST_BYTES = (
    b"\x96\xa3t-1\xa810.0.0.1\xcd\x1f\x90\xcd\x05\xdc\xc2\x94\xa4POST\xa4/b/1"
    b"\x92\x92\xc4\x04host\xc4\x01h\x92\xc4\x0cx-attempt-id\xc4\x01a\xc4\x01x"
)
REFUSAL_BYTES = (
    b"\x94\x01\xcd\x01\xf7\x92\x92\xc4\x0ex-not-executed\xc4\x011"
    b"\x92\xc4\x0cx-attempt-id\xc4\x01a\xc4\x00"
)
SENT_BYTES = b"\x95\x02\xa4sent\xa6closed\xc3\xc3"
UNSENT_BYTES = b"\x95\x02\xadnot-connected\xa7refused\xc2\xc3"

HEADERS = ((b"host", b"h"), (b"x-attempt-id", b"a"))
REQUEST = RelayRequest(
    TargetName("t-1"), "10.0.0.1", 8080, 1.5, False, HttpRequest("POST", "/b/1", HEADERS, b"x")
)
REFUSAL = HttpResponse(503, ((b"x-not-executed", b"1"), (b"x-attempt-id", b"a")))
SENT = RelayFailure(ExchangeFailedError(SendPhase.SENT, "closed", True), is_relays_fault=True)
UNSENT = RelayFailure(ExchangeFailedError(SendPhase.NOT_CONNECTED, "refused"), is_relays_fault=True)


def test_relay_request_is_read_and_written_as_by_the_release_before() -> None:
    assert encode_relay_request(REQUEST) == REQUEST_BYTES
    assert decode_relay_request(REQUEST_BYTES) == REQUEST


@pytest.mark.parametrize(
    ("reply", "data"),
    [(REFUSAL, REFUSAL_BYTES), (SENT, SENT_BYTES), (UNSENT, UNSENT_BYTES)],
    ids=["answer", "sent", "unsent"],
)
def test_relay_reply_is_read_and_written_as_by_the_release_before(
    reply: RelayReply, data: bytes
) -> None:
    assert encode_relay_reply(reply) == data
    assert encode_relay_reply(decode_relay_reply(data)) == data


def test_relays_fault_of_the_release_before_is_no_leave_to_ask_another_for_what_was_sent() -> None:
    assert UNSENT.may_ask_another
    assert not SENT.may_ask_another
