"""msgpack encoding of what entry VMs exchange: datagrams, and rows on request."""

from __future__ import annotations

import zlib
from math import isfinite
from typing import Any

import msgpack
from attrs import astuple
from attrs import frozen

from siskinward.coordination.steering.account_tokens import TokenAsk
from siskinward.coordination.steering.account_tokens import TokenGrant
from siskinward.coordination.steering.fleet import EntryVm
from siskinward.coordination.steering.fleet import Heartbeat
from siskinward.coordination.steering.fleet import LoadReport
from siskinward.coordination.steering.fleet import VmState
from siskinward.coordination.steering.held_rows import HeldRow
from siskinward.coordination.steering.limit_tokens import LimitAsk
from siskinward.coordination.steering.limit_tokens import LimitGrant
from siskinward.coordination.steering.row import Row
from siskinward.coordination.steering.rows import Changes
from siskinward.coordination.steering.rows import Position
from siskinward.coordination.steering.rows import Snapshot
from siskinward.coordination.steering.target_limits import LimitReport
from siskinward.coordination.steering.targets import WarmupReport
from siskinward.coordination.steering.warm_targets import WarmPair
from siskinward.state.addresses import is_ip_address
from siskinward.state.identifiers import AccountName
from siskinward.state.identifiers import DomainName
from siskinward.state.identifiers import IncarnationId
from siskinward.state.identifiers import RegionName
from siskinward.state.identifiers import TargetName
from siskinward.state.identifiers import VmName

HEARTBEAT_TYPE = 1
REPORT_TYPE = 2
ASK_TYPE = 3
GRANT_TYPE = 4
LIMIT_ASK_TYPE = 5
LIMIT_GRANT_TYPE = 6
ROWS_TYPE = 1
REFERRAL_TYPE = 2
# The tables in the order in which a load report lists their positions and ages.
REPORTED_TABLES = ("operator", "targets")
# What follows travels among the counts of requests in flight, where earlier releases ignore it.
WARM_KEY = "warm"
SLOW_KEY = "slow"
LIMITS_KEY = "limits"
WARMUPS_KEY = "warmups"
# A heartbeat counts the held rows of a table beside its position, under this suffix.
HELD_SUFFIX = "-held"
# A position is sent as one integer, whose lower bits are the version; before the store first comes
# back from a copy it equals the version, which is all that earlier releases send and understand.
VERSION_BITS = 40
# What the decoding of a field of another type or size raises.
MALFORMED = (TypeError, ValueError, AttributeError, OverflowError)
FRAME_LIMIT_BYTES = 32 * 1024 * 1024


PeerMessage = Heartbeat | LoadReport | TokenAsk | TokenGrant | LimitAsk | LimitGrant


class PeerMessageError(ValueError):
    """Raised for bytes from another VM that do not decode to a message of this protocol."""


@frozen
class RowsRequest:
    """Requests the rows that a copy of ``table`` at ``position`` lacks; sent by ``host``."""

    table: str
    position: Position
    host: str


@frozen
class Referral:
    """Names hosts that recently received the rows, when the VM asked is busy sending them."""

    hosts: tuple[str, ...]


RowsReply = Snapshot | Changes | Referral


def encode_heartbeat(heartbeat: Heartbeat) -> bytes:
    """Encode a heartbeat as one datagram."""
    sender = heartbeat.sender
    fields = (
        HEARTBEAT_TYPE,
        _encode_vm(sender),
        heartbeat.number,
        int(heartbeat.state),
        _encode_positions(heartbeat),
        heartbeat.ages_s,
        _encode_in_flight(heartbeat),
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
        [_encode_position(report.positions.get(name, Position())) for name in REPORTED_TABLES],
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
    fields = _unpack(data)
    try:
        message_type, *rest = fields
        match message_type:
            case type_ if type_ == HEARTBEAT_TYPE:
                return _decode_heartbeat(rest)
            case type_ if type_ == REPORT_TYPE:
                return _decode_report(rest)
            case type_ if type_ == ASK_TYPE:
                number, account, amount = rest
                return TokenAsk(int(number), AccountName(str(account)), int(amount))
            case type_ if type_ == GRANT_TYPE:
                number, account, amount, retry_after_ms = rest
                name = AccountName(str(account))
                return TokenGrant(int(number), name, int(amount), int(retry_after_ms) / 1000)
            case type_ if type_ == LIMIT_ASK_TYPE:
                number, target, *report = rest
                return LimitAsk(int(number), TargetName(str(target)), _decode_limit(report))
            case type_ if type_ == LIMIT_GRANT_TYPE:
                number, is_granted, retry_after_ms = rest
                return LimitGrant(int(number), bool(is_granted), int(retry_after_ms) / 1000)
            case _:
                raise PeerMessageError(f"unknown message type {message_type!r}")
    except MALFORMED as error:
        raise PeerMessageError(f"malformed datagram: {error}") from error


def _decode_heartbeat(fields: list[Any]) -> Heartbeat:
    vm, number, state, positions, ages_s, in_flight, demand, crashing_requests = fields
    return Heartbeat(
        sender=_decode_vm(vm),
        number=int(number),
        state=VmState(state),
        positions={
            name: _decode_position(value)
            for name, value in positions.items()
            if not name.endswith(HELD_SUFFIX)
        },
        held={
            name.removesuffix(HELD_SUFFIX): int(value)
            for name, value in positions.items()
            if name.endswith(HELD_SUFFIX)
        },
        ages_s=_decode_numbers(ages_s),
        in_flight=_decode_in_flight(in_flight),
        warm=_decode_warm(in_flight),
        slow=_decode_slow(in_flight),
        limits=_decode_limits(in_flight),
        warmups=_decode_warmups(in_flight),
        demand_per_s={AccountName(name): rate for name, rate in _decode_numbers(demand).items()},
        crashing_requests={str(key): int(count) for key, count in crashing_requests.items()},
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
        number=int(number),
        positions={name: _decode_position(positions[name]) for name in loaded},
        ages_s={name: ages[name] / 1000.0 for name in loaded},
        in_flight=_decode_in_flight(in_flight),
        warm=_decode_warm(in_flight),
        slow=_decode_slow(in_flight),
        limits=_decode_limits(in_flight),
        warmups=_decode_warmups(in_flight),
    )


def encode_rows_request(request: RowsRequest) -> bytes:
    """Encode a request for rows."""
    return bytes(msgpack.packb((request.table, _encode_position(request.position), request.host)))


def decode_rows_request(data: bytes) -> RowsRequest:
    """Decode a request for rows; raises ``PeerMessageError``."""
    try:
        table, position, host = _unpack(data)
        return RowsRequest(str(table), _decode_position(position), str(host))
    except MALFORMED as error:
        raise PeerMessageError(f"malformed request for rows: {error}") from error


def encode_rows_reply(reply: RowsReply, now_s: float) -> bytes:
    """Encode the reply to a request for rows; held rows are sent with the time that is left."""
    match reply:
        case Referral(hosts=hosts):
            fields: tuple[Any, ...] = (REFERRAL_TYPE, hosts)
        case Snapshot() | Changes():
            after = _encode_position(reply.after) if isinstance(reply, Changes) else None
            rows = [(row.key, row.value, row.version) for row in reply.rows]
            fields = (ROWS_TYPE, after, _encode_position(reply.position), rows)
            if isinstance(reply, Snapshot) and reply.held:
                fields = (*fields, [_encode_held(held, now_s) for held in reply.held])
    return zlib.compress(msgpack.packb(fields))


def decode_rows_reply(data: bytes, now_s: float) -> RowsReply:
    """Decode the reply to a request for rows; raises ``PeerMessageError``."""
    try:
        message_type, *rest = _unpack(zlib.decompress(data))
        if message_type == REFERRAL_TYPE:
            (hosts,) = rest
            return Referral(tuple(str(host) for host in hosts))
        after, position, fields, *more = rest
        rows = tuple(_decode_row(item) for item in fields)
        held = tuple(_decode_held(item, now_s) for item in (more[0] if more else ()))
        if after is None:
            return Snapshot(rows, _decode_position(position), held)
        return Changes(rows, _decode_position(after), _decode_position(position))
    except (*MALFORMED, zlib.error) as error:
        raise PeerMessageError(f"malformed reply with rows: {error}") from error


def _encode_position(position: Position) -> int:
    if position.version < 0:
        return position.version
    return (position.era << VERSION_BITS) + position.version


def _decode_position(value: Any) -> Position:
    number = int(value)
    if number < 0:
        return Position(0, number)
    return Position(number >> VERSION_BITS, number & ((1 << VERSION_BITS) - 1))


def _encode_positions(heartbeat: Heartbeat) -> dict[str, int]:
    positions = {name: _encode_position(value) for name, value in heartbeat.positions.items()}
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
    if message.limits:
        fields[LIMITS_KEY] = [_encode_limit(report) for report in message.limits]
    return fields


def _decode_in_flight(fields: dict[Any, Any]) -> dict[int, int]:
    return {key: int(count) for key, count in fields.items() if isinstance(key, int)}


def _decode_warm(fields: dict[Any, Any]) -> tuple[WarmPair, ...]:
    ids = iter(fields.get(WARM_KEY, ()))
    return tuple(WarmPair(int(one), int(other)) for one, other in zip(ids, ids, strict=True))


def _decode_slow(fields: dict[Any, Any]) -> dict[int, int]:
    return {int(key): int(count) for key, count in fields.get(SLOW_KEY, {}).items()}


def _encode_limit(report: LimitReport) -> tuple[int, float | None, int]:
    return (report.target_id, report.rate_per_s, round(report.age_s * 1000))


def _decode_limit(fields: Any) -> LimitReport:
    target_id, rate_per_s, age_ms = fields
    if rate_per_s is not None and _decode_number(rate_per_s) < 0:
        raise ValueError(f"expected a rate limit of 0 or more, found {rate_per_s!r}")
    return LimitReport(
        int(target_id),
        None if rate_per_s is None else float(rate_per_s),
        max(0, int(age_ms)) / 1000,
    )


def _decode_warmups(fields: dict[Any, Any]) -> tuple[WarmupReport, ...]:
    warmups_ms = fields.get(WARMUPS_KEY, {})
    return tuple(WarmupReport(int(key), int(left) / 1000) for key, left in warmups_ms.items())


def _decode_limits(fields: dict[Any, Any]) -> tuple[LimitReport, ...]:
    return tuple(_decode_limit(item) for item in fields.get(LIMITS_KEY, ()))


def _encode_held(held: HeldRow, now_s: float) -> tuple[Any, ...]:
    row = held.row
    return (row.key, row.value, row.version, max(0.0, held.until_s - now_s))


def _decode_held(fields: Any, now_s: float) -> HeldRow:
    *row, left_s = fields
    return HeldRow(_decode_row(row), now_s + _decode_number(left_s))


def _decode_row(fields: Any) -> Row:
    key, value, version = fields
    if value is not None and not isinstance(value, bytes):
        raise TypeError(f"row {key!r} holds no bytes: {value!r}")
    return Row(str(key), value, int(version))


def _decode_number(value: Any) -> float:
    number = float(value)
    if not isfinite(number):
        raise ValueError(f"expected a finite number, found {value!r}")
    return number


def _decode_numbers(fields: Any) -> dict[str, float]:
    return {str(name): _decode_number(value) for name, value in fields.items()}


def _encode_vm(vm: EntryVm) -> tuple[Any, ...]:
    return (
        vm.vm,
        vm.incarnation,
        vm.host,
        vm.front_port,
        vm.failure_domain,
        vm.region,
        vm.link_mbps,
    )


def _decode_vm(fields: Any) -> EntryVm:
    vm, incarnation, host, front_port, domain, region, *link_mbps = fields
    if not is_ip_address(host):
        raise ValueError(f"expected the IP address of VM {vm!r}, found {host!r}")
    return EntryVm(
        vm=VmName(str(vm)),
        incarnation=IncarnationId(str(incarnation)),
        host=host,
        front_port=int(front_port),
        failure_domain=DomainName(str(domain)),
        region=RegionName(str(region)),
        link_mbps=_decode_number(link_mbps[0]) if link_mbps else 0.0,
    )


def encode_vm(vm: EntryVm) -> bytes:
    """Encode a VM's identity, as it is written to the store."""
    return bytes(msgpack.packb(_encode_vm(vm)))


def decode_vm(data: bytes) -> EntryVm:
    """Decode a VM's identity; raises ``PeerMessageError``."""
    try:
        return _decode_vm(_unpack(data))
    except MALFORMED as error:
        raise PeerMessageError(f"malformed VM identity: {error}") from error


def _unpack(data: bytes) -> Any:
    try:
        return msgpack.unpackb(data, strict_map_key=False)
    except (ValueError, msgpack.UnpackException) as error:
        raise PeerMessageError(f"invalid msgpack: {error}") from error
