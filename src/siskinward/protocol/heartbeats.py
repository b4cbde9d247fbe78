"""msgpack encoding of the datagrams that entry VMs exchange."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any
from typing import TypeVar

import msgpack
from attrs import astuple

from siskinward.coordination.steering.account_tokens import TokenAsk
from siskinward.coordination.steering.account_tokens import TokenGrant
from siskinward.coordination.steering.fleet import Heartbeat
from siskinward.coordination.steering.fleet import LoadReport
from siskinward.coordination.steering.fleet import VmState
from siskinward.coordination.steering.limit_tokens import LimitAsk
from siskinward.coordination.steering.limit_tokens import LimitGrant
from siskinward.coordination.steering.rows import Position
from siskinward.coordination.steering.target_limits import LimitReport
from siskinward.coordination.steering.targets import WarmupReport
from siskinward.coordination.steering.warm_targets import WarmPair
from siskinward.protocol.peer_fields import MALFORMED
from siskinward.protocol.peer_fields import PeerMessageError
from siskinward.protocol.peer_fields import decode_age_s
from siskinward.protocol.peer_fields import decode_integer
from siskinward.protocol.peer_fields import decode_numbers
from siskinward.protocol.peer_fields import decode_position
from siskinward.protocol.peer_fields import encode_position
from siskinward.protocol.peer_fields import unpack
from siskinward.protocol.steering_headers import RATE_DECIMALS
from siskinward.protocol.vm_identity import decode_vm_fields
from siskinward.protocol.vm_identity import encode_vm_fields
from siskinward.state.identifiers import AccountName
from siskinward.state.identifiers import IncarnationId
from siskinward.state.identifiers import TargetName

if TYPE_CHECKING:
    from collections.abc import Callable

Key = TypeVar("Key")

HEARTBEAT_TYPE = 1
REPORT_TYPE = 2
ASK_TYPE = 3
GRANT_TYPE = 4
LIMIT_ASK_TYPE = 5
LIMIT_GRANT_TYPE = 6
# The tables in the order in which a load report lists their positions and ages.
REPORTED_TABLES = ("operator", "targets")
# What follows travels among the counts of requests in flight, where earlier releases ignore it.
WARM_KEY = "warm"
SLOW_KEY = "slow"
LIMITS_KEY = "limits"
WARMUPS_KEY = "warmups"
LEAVING_KEY = "leaving"
CUT_OFF_KEY = "cut-off"
STORE_LOST_KEY = "store-lost"
LOSSES_KEY = "losses"
ANSWERED_KEY = "answered"
# Rates travel as integers: numbers of a heartbeat are rounded to single precision.
RATE_SCALE = 10**RATE_DECIMALS
# A heartbeat counts the held rows of a table beside its position, under this suffix.
HELD_SUFFIX = "-held"


PeerMessage = Heartbeat | LoadReport | TokenAsk | TokenGrant | LimitAsk | LimitGrant


def encode_heartbeat(heartbeat: Heartbeat) -> bytes:
    """Encode a heartbeat as one datagram."""
    sender = heartbeat.sender
    fields = (
        HEARTBEAT_TYPE,
        encode_vm_fields(sender),
        heartbeat.number,
        int(heartbeat.state),
        _encode_positions(heartbeat),
        heartbeat.ages_s,
        _encode_in_flight(heartbeat) | _encode_losses(heartbeat),
        heartbeat.demand_per_s,
        heartbeat.crashing_requests,
    )
    return bytes(msgpack.packb(fields, use_single_float=True))


def encode_report(report: LoadReport) -> bytes:
    """Encode a load report as one datagram."""
    fields = (
        REPORT_TYPE,
        report.incarnation,
        report.number,
        [encode_position(report.positions.get(name, Position())) for name in REPORTED_TABLES],
        [int(report.ages_s.get(name, 0.0) * 1000) for name in REPORTED_TABLES],
        _encode_in_flight(report),
    )
    return bytes(msgpack.packb(fields))


def encode_token_message(message: TokenAsk | TokenGrant) -> bytes:
    """Encode a request for tokens, or the reply to one, as one datagram."""
    fields: tuple[object, ...]
    match message:
        case TokenAsk(number=number, account=account, wanted=amount):
            fields = (ASK_TYPE, number, account, amount)
        case TokenGrant():
            retry_after_ms = round(message.retry_after_s * 1000)
            fields = (
                GRANT_TYPE,
                message.number,
                message.account,
                message.granted,
                retry_after_ms,
            )
    return bytes(msgpack.packb(fields))


def encode_limit_message(message: LimitAsk | LimitGrant) -> bytes:
    """Encode a request for a token of a target's limit, or the reply to one, as one datagram."""
    fields: tuple[object, ...]
    match message:
        case LimitAsk(number=number, target=target, report=report):
            fields = (LIMIT_ASK_TYPE, number, target, *_encode_limit(report))
        case LimitGrant(number=number, is_granted=is_granted):
            retry_after_ms = round(message.retry_after_s * 1000)
            fields = (LIMIT_GRANT_TYPE, number, is_granted, retry_after_ms)
    return bytes(msgpack.packb(fields))


def decode_datagram(data: bytes) -> PeerMessage:
    """Decode a datagram; raises ``PeerMessageError``."""
    try:
        message_type, *rest = unpack(data)
        match message_type:
            case type_ if type_ == HEARTBEAT_TYPE:
                return _decode_heartbeat(rest)
            case type_ if type_ == REPORT_TYPE:
                return _decode_report(rest)
            case type_ if type_ == ASK_TYPE:
                number, account, amount = rest
                return TokenAsk(
                    decode_integer(number), AccountName(str(account)), decode_integer(amount)
                )
            case type_ if type_ == GRANT_TYPE:
                number, account, amount, retry_after_ms = rest
                name = AccountName(str(account))
                return TokenGrant(
                    decode_integer(number),
                    name,
                    decode_integer(amount),
                    decode_integer(retry_after_ms) / 1000,
                )
            case type_ if type_ == LIMIT_ASK_TYPE:
                number, target, *report = rest
                return LimitAsk(
                    decode_integer(number), TargetName(str(target)), _decode_limit(report)
                )
            case type_ if type_ == LIMIT_GRANT_TYPE:
                number, is_granted, retry_after_ms = rest
                return LimitGrant(
                    decode_integer(number), bool(is_granted), decode_integer(retry_after_ms) / 1000
                )
            case _:
                raise PeerMessageError(f"unknown message type {message_type!r}")
    except MALFORMED as error:
        raise PeerMessageError(f"malformed datagram: {error}") from error


def _decode_heartbeat(fields: list[Any]) -> Heartbeat:
    vm, number, state, positions, ages_s, in_flight, demand, crashing_requests = fields
    return Heartbeat(
        sender=decode_vm_fields(vm),
        number=decode_integer(number),
        state=VmState(state),
        positions={
            name: decode_position(value)
            for name, value in positions.items()
            if not name.endswith(HELD_SUFFIX)
        },
        held={
            name.removesuffix(HELD_SUFFIX): int(value)
            for name, value in positions.items()
            if name.endswith(HELD_SUFFIX)
        },
        ages_s={str(name): decode_age_s(age_s) for name, age_s in ages_s.items()},
        in_flight=_decode_in_flight(in_flight),
        warm=_decode_warm(in_flight),
        slow=_decode_slow(in_flight),
        limits=_decode_limits(in_flight),
        warmups=_decode_warmups(in_flight),
        leaving=tuple(decode_integer(item) for item in in_flight.get(LEAVING_KEY, ())),
        is_cut_off=bool(in_flight.get(CUT_OFF_KEY)),
        is_store_lost=bool(in_flight.get(STORE_LOST_KEY)),
        demand_per_s={AccountName(name): rate for name, rate in decode_numbers(demand).items()},
        crashing_requests={str(key): int(count) for key, count in crashing_requests.items()},
        losses={
            str(key): _decode_ages(ages_ms, decode_integer)
            for key, ages_ms in in_flight.get(LOSSES_KEY, {}).items()
        },
        answered_requests=_decode_ages(in_flight.get(ANSWERED_KEY, {}), str),
    )


def _decode_report(fields: list[Any]) -> LoadReport:
    incarnation, number, reported_positions, ages_ms, in_flight = fields
    loaded = [
        name for name, position in zip(REPORTED_TABLES, reported_positions, strict=True) if position
    ]
    positions = dict(zip(REPORTED_TABLES, reported_positions, strict=True))
    ages = dict(zip(REPORTED_TABLES, ages_ms, strict=True))
    return LoadReport(
        incarnation=IncarnationId(str(incarnation)),
        number=decode_integer(number),
        positions={name: decode_position(positions[name]) for name in loaded},
        ages_s={name: decode_age_s(ages[name]) / 1000.0 for name in loaded},
        in_flight=_decode_in_flight(in_flight),
        warm=_decode_warm(in_flight),
        slow=_decode_slow(in_flight),
        limits=_decode_limits(in_flight),
        warmups=_decode_warmups(in_flight),
        leaving=tuple(decode_integer(item) for item in in_flight.get(LEAVING_KEY, ())),
        is_cut_off=bool(in_flight.get(CUT_OFF_KEY)),
        is_store_lost=bool(in_flight.get(STORE_LOST_KEY)),
    )


def _encode_positions(heartbeat: Heartbeat) -> dict[str, int]:
    positions = {name: encode_position(value) for name, value in heartbeat.positions.items()}
    held = {name + HELD_SUFFIX: count for name, count in heartbeat.held.items()}
    return positions | held


def _encode_in_flight(message: Heartbeat | LoadReport) -> dict[Any, Any]:
    fields: dict[Any, Any] = dict(message.in_flight)
    if message.warm:
        fields[WARM_KEY] = [id_ for pair in message.warm for id_ in astuple(pair)]
    if message.slow:
        fields[SLOW_KEY] = message.slow
    if message.warmups:
        fields[WARMUPS_KEY] = {
            item.target_id: round(item.left_s * 1000) for item in message.warmups
        }
    if message.leaving:
        fields[LEAVING_KEY] = message.leaving
    if message.is_cut_off:
        fields[CUT_OFF_KEY] = True
    if message.is_store_lost:
        fields[STORE_LOST_KEY] = True
    if message.limits:
        fields[LIMITS_KEY] = [_encode_limit(report) for report in message.limits]
    return fields


def _encode_losses(heartbeat: Heartbeat) -> dict[Any, Any]:
    fields: dict[Any, Any] = {}
    if heartbeat.losses:
        fields[LOSSES_KEY] = {key: _encode_ages(ages) for key, ages in heartbeat.losses.items()}
    if heartbeat.answered_requests:
        fields[ANSWERED_KEY] = _encode_ages(heartbeat.answered_requests)
    return fields


def _encode_ages(ages_s: dict[Any, float]) -> dict[Any, int]:
    return {key: round(age_s * 1000) for key, age_s in ages_s.items()}


def _decode_ages(ages_ms: dict[Any, Any], decode_key: Callable[[Any], Key]) -> dict[Key, float]:
    return {
        decode_key(key): max(0, decode_integer(age_ms)) / 1000 for key, age_ms in ages_ms.items()
    }


def _decode_in_flight(fields: dict[Any, Any]) -> dict[int, int]:
    return {key: int(count) for key, count in fields.items() if isinstance(key, int)}


def _decode_warm(fields: dict[Any, Any]) -> tuple[WarmPair, ...]:
    ids = iter(fields.get(WARM_KEY, ()))
    return tuple(WarmPair(int(one), int(other)) for one, other in zip(ids, ids, strict=True))


def _decode_slow(fields: dict[Any, Any]) -> dict[int, int]:
    return {int(key): int(count) for key, count in fields.get(SLOW_KEY, {}).items()}


def _encode_limit(report: LimitReport) -> tuple[int, int | None, int]:
    rate = None if report.rate_per_s is None else round(report.rate_per_s * RATE_SCALE)
    return (report.target_id, rate, round(report.age_s * 1000))


def _decode_limit(fields: Any) -> LimitReport:
    target_id, rate, age_ms = fields
    if rate is not None and decode_integer(rate) < 0:
        raise ValueError(f"expected a rate limit of 0 or more, found {rate!r}")
    return LimitReport(
        decode_integer(target_id),
        None if rate is None else decode_integer(rate) / RATE_SCALE,
        max(0, decode_integer(age_ms)) / 1000,
    )


def _decode_warmups(fields: dict[Any, Any]) -> tuple[WarmupReport, ...]:
    warmups_ms = fields.get(WARMUPS_KEY, {})
    return tuple(
        WarmupReport(decode_integer(key), decode_integer(left) / 1000)
        for key, left in warmups_ms.items()
    )


def _decode_limits(fields: dict[Any, Any]) -> tuple[LimitReport, ...]:
    return tuple(_decode_limit(item) for item in fields.get(LIMITS_KEY, ()))
