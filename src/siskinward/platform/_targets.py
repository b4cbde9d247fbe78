"""Decodes the status rows that targets write to the store."""

from __future__ import annotations

from siskinward.platform._units import DecodeError
from siskinward.platform._units import read_address
from siskinward.platform._units import read_duration_s
from siskinward.platform._units import read_json
from siskinward.platform._units import read_mapping
from siskinward.platform._units import read_number
from siskinward.platform._units import read_text
from siskinward.state.identifiers import DomainName
from siskinward.state.identifiers import ServiceName
from siskinward.state.identifiers import TargetName
from siskinward.state.serving import TargetRecord

READINESS_BY_STATE = {"ready": True, "draining": False}


def decode_target(name: str, value: bytes) -> TargetRecord:
    """Decode a row of ``servers``; raises ``DecodeError`` if a field is missing or invalid.

    Wire names that mislead: ``born`` is when the target started, in Unix milliseconds, ``seq``
    counts its heartbeats since then, and ``zone`` is its failure domain.
    """
    where = f"target {name}"
    entry = read_json(value, where)
    info = read_mapping(entry, "info", where)
    status = read_mapping(entry, "status", where)
    host, port = read_address(entry.get("address"), f"{where}.address")
    state = read_text(status, "state", where)
    if state not in READINESS_BY_STATE:
        raise DecodeError(f"{where}.state", f"unknown state {state!r}")
    slots = int(read_number(info, "slots", where))
    if slots < 1:
        raise DecodeError(f"{where}.slots", f"expected at least 1, found {slots}")
    return TargetRecord(
        name=TargetName(name),
        service=ServiceName(read_text(info, "service", where)),
        host=host,
        port=port,
        failure_domain=DomainName(read_text(info, "zone", where)),
        slots=slots,
        is_ready=READINESS_BY_STATE[state],
        warmup_left_s=read_duration_s(status.get("warmup_left", "0ms"), f"{where}.warmup_left"),
        heartbeat=int(read_number(status, "seq", where)),
        started_ms=int(read_number(entry, "born", where, 0)),
    )
