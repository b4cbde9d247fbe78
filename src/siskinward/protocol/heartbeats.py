"""msgpack forms of what entry VMs send one another: heartbeats, and rows on request."""

from __future__ import annotations

from typing import Any

import msgpack
from attrs import frozen

from siskinward.coordination.steering.fleet import EntryVm
from siskinward.coordination.steering.fleet import Heartbeat
from siskinward.coordination.steering.fleet import VmState
from siskinward.coordination.steering.rows import Changes
from siskinward.coordination.steering.rows import Row
from siskinward.coordination.steering.rows import Snapshot

HEARTBEAT_FORMAT = 1
FRAME_LIMIT_BYTES = 32 * 1024 * 1024


class PeerMessageError(ValueError):
    """Bytes from another VM that are no message of this protocol."""


@frozen
class RowsRequest:
    """Asks for what a copy of ``table`` at ``position`` lacks."""

    table: str
    position: int


def encode_heartbeat(heartbeat: Heartbeat) -> bytes:
    """Encode a heartbeat as one datagram."""
    sender = heartbeat.sender
    fields = (
        HEARTBEAT_FORMAT,
        _encode_vm(sender),
        heartbeat.number,
        int(heartbeat.state),
        heartbeat.positions,
        heartbeat.ages_s,
        heartbeat.in_flight,
        {name: round(rate, 2) for name, rate in heartbeat.demand_per_s.items()},
        heartbeat.crashers,
    )
    return bytes(msgpack.packb(fields, use_single_float=True))


def decode_heartbeat(data: bytes) -> Heartbeat:
    """Decode a datagram; raises ``PeerMessageError``."""
    fields = _unpack(data)
    try:
        version, vm, number, state, positions, ages_s, in_flight, demand, crashers = fields
        if version != HEARTBEAT_FORMAT:
            raise PeerMessageError(f"unknown heartbeat format {version!r}")
        return Heartbeat(
            sender=EntryVm(*vm),
            number=int(number),
            state=VmState(state),
            positions=dict(positions),
            ages_s=dict(ages_s),
            in_flight=dict(in_flight),
            demand_per_s=dict(demand),
            crashers=dict(crashers),
        )
    except (TypeError, ValueError) as error:
        raise PeerMessageError(f"no heartbeat: {error}") from error


def encode_request(request: RowsRequest) -> bytes:
    """Encode a request for rows."""
    return bytes(msgpack.packb((request.table, request.position)))


def decode_request(data: bytes) -> RowsRequest:
    """Decode a request for rows; raises ``PeerMessageError``."""
    try:
        table, position = _unpack(data)
        return RowsRequest(str(table), int(position))
    except (TypeError, ValueError) as error:
        raise PeerMessageError(f"no request for rows: {error}") from error


def encode_update(update: Snapshot | Changes) -> bytes:
    """Encode rows of a table."""
    after = update.after if isinstance(update, Changes) else None
    rows = [(row.key, row.value, row.version) for row in update.rows]
    return bytes(msgpack.packb((after, update.position, rows)))


def decode_update(data: bytes) -> Snapshot | Changes:
    """Decode rows of a table; raises ``PeerMessageError``."""
    try:
        after, position, fields = _unpack(data)
        rows = tuple(Row(str(key), value, int(version)) for key, value, version in fields)
    except (TypeError, ValueError) as error:
        raise PeerMessageError(f"no rows: {error}") from error
    if after is None:
        return Snapshot(rows, int(position))
    return Changes(rows, int(after), int(position))


def _encode_vm(vm: EntryVm) -> tuple[Any, ...]:
    return (vm.vm, vm.incarnation, vm.host, vm.front_port, vm.failure_domain, vm.region)


def encode_vm(vm: EntryVm) -> bytes:
    """Encode a VM's identity, as it stands in the store."""
    return bytes(msgpack.packb(_encode_vm(vm)))


def decode_vm(data: bytes) -> EntryVm:
    """Decode a VM's identity; raises ``PeerMessageError``."""
    try:
        return EntryVm(*_unpack(data))
    except (TypeError, ValueError) as error:
        raise PeerMessageError(f"no identity of a VM: {error}") from error


def _unpack(data: bytes) -> Any:
    try:
        return msgpack.unpackb(data)
    except (ValueError, msgpack.UnpackException) as error:
        raise PeerMessageError(f"no msgpack: {error}") from error
