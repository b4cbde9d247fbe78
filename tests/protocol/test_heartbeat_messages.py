"""Datagrams and rows between entry VMs: limits round-trip, and malformed bytes raise one error."""

from __future__ import annotations

from math import inf
from math import nan
from typing import Any

import msgpack
import pytest

from siskinward.coordination.steering.fleet import EntryVm
from siskinward.coordination.steering.fleet import Heartbeat
from siskinward.coordination.steering.fleet import LoadReport
from siskinward.coordination.steering.fleet import VmState
from siskinward.coordination.steering.limit_tokens import LimitAsk
from siskinward.coordination.steering.limit_tokens import LimitGrant
from siskinward.coordination.steering.target_limits import LimitReport
from siskinward.coordination.steering.targets import WarmupReport
from siskinward.protocol.heartbeats import decode_datagram
from siskinward.protocol.heartbeats import encode_heartbeat
from siskinward.protocol.heartbeats import encode_limit_message
from siskinward.protocol.heartbeats import encode_report
from siskinward.protocol.peer_fields import PeerMessageError
from siskinward.state.identifiers import DomainName
from siskinward.state.identifiers import IncarnationId
from siskinward.state.identifiers import RegionName
from siskinward.state.identifiers import TargetName
from siskinward.state.identifiers import VmName

WARMUPS = (WarmupReport(9, 2.5),)
LIMITS = (LimitReport(4_000_000_000, 1.3, 0.5), LimitReport(7, None, 3.0))
VM = EntryVm(
    VmName("vm-1"), IncarnationId("a"), "10.0.0.1", 80, DomainName("bud-a"), RegionName("budapest")
)


def test_statements_of_targets_travel_with_heartbeats_and_load_reports() -> None:
    heartbeat = decode_datagram(
        encode_heartbeat(
            Heartbeat(VM, 1, VmState.READY, in_flight={5: 2}, limits=LIMITS, warmups=WARMUPS)
        )
    )
    report = decode_datagram(
        encode_report(
            LoadReport(VM.incarnation, 2, in_flight={5: 2}, limits=LIMITS, warmups=WARMUPS)
        )
    )
    assert isinstance(heartbeat, Heartbeat)
    assert isinstance(report, LoadReport)
    assert heartbeat.limits == report.limits == LIMITS
    assert heartbeat.warmups == report.warmups == WARMUPS
    assert heartbeat.in_flight == report.in_flight == {5: 2}


# As VMs of the release before write them, who say nothing of targets that leave.
EARLIER_HEARTBEAT = (
    b"\x99\x01\x97\xa4vm-1\xa1a\xa810.0.0.1P\xa5bud-a\xa8budapest\xca\x00\x00\x00\x00\x01\x01"
    b"\x80\x80\x81\x05\x02\x80\x80"
)
EARLIER_REPORT = b"\x96\x02\xa1a\x02\x92\x00\x00\x92\x00\x00\x81\x05\x02"


def test_leaving_targets_travel_with_heartbeats_and_load_reports() -> None:
    heartbeat = Heartbeat(VM, 1, VmState.READY, in_flight={5: 2}, leaving=(7, 4_000_000_000))
    report = LoadReport(VM.incarnation, 2, in_flight={5: 2}, leaving=(7, 4_000_000_000))
    assert decode_datagram(encode_heartbeat(heartbeat)) == heartbeat
    decoded = decode_datagram(encode_report(report))
    assert isinstance(decoded, LoadReport)
    assert (decoded.leaving, decoded.in_flight) == (report.leaving, report.in_flight)


@pytest.mark.parametrize("data", [EARLIER_HEARTBEAT, EARLIER_REPORT], ids=["heartbeat", "report"])
def test_message_of_the_release_before_says_nothing_of_leaving_targets(data: bytes) -> None:
    message = decode_datagram(data)
    assert isinstance(message, Heartbeat | LoadReport)
    assert message.leaving == ()
    assert message.in_flight == {5: 2}


@pytest.mark.parametrize("leaving", [None, 7, ["x"], [2**60], {"a": 1}])
def test_malformed_starts_of_leaving_targets_are_refused(leaving: Any) -> None:
    in_flight = {"leaving": leaving}
    fields = (2, "a", 2, [-1, -1], [0, 0], in_flight)
    with pytest.raises(PeerMessageError):
        decode_datagram(msgpack.packb(fields))


def test_answers_of_requests_that_lost_targets_travel_with_heartbeats() -> None:
    losses = {"f1": {4_000_000_000: 0.25, 7: 3.0}, "f2": {9: 0.0}}
    heartbeat = Heartbeat(
        VM,
        1,
        VmState.READY,
        crashing_requests={"f1": 2, "f2": 1},
        losses=losses,
        answered_requests={"f3": 1.25},
    )
    assert decode_datagram(encode_heartbeat(heartbeat)) == heartbeat


def test_loss_of_the_store_travels_with_heartbeats_and_load_reports() -> None:
    heartbeat = Heartbeat(VM, 1, VmState.READY, is_store_lost=True)
    report = LoadReport(VM.incarnation, 2, is_store_lost=True)
    assert decode_datagram(encode_heartbeat(heartbeat)) == heartbeat
    assert decode_datagram(encode_report(report)) == report


@pytest.mark.parametrize(
    "message",
    [
        LimitAsk(3, TargetName("i-1"), LIMITS[0]),
        LimitGrant(3, True, 0.0),
        LimitGrant(4, False, 0.75),
    ],
)
def test_limit_messages_round_trip(message: LimitAsk | LimitGrant) -> None:
    assert decode_datagram(encode_limit_message(message)) == message


@pytest.mark.parametrize("rate_per_s", [nan, inf, -inf, -1.0, "two", [1.0]])
def test_report_of_a_rate_that_is_none_is_malformed(rate_per_s: Any) -> None:
    with pytest.raises(PeerMessageError):
        decode_datagram(msgpack.packb([5, 1, "i-1", 7, rate_per_s, 0]))
