"""Decodes the status rows that targets write to the store."""

from __future__ import annotations

from ipaddress import ip_address

from siskinward.platform._units import DecodeError
from siskinward.platform._units import check_name
from siskinward.platform._units import decoding
from siskinward.platform._units import describe
from siskinward.platform._units import read_address
from siskinward.platform._units import read_duration_s
from siskinward.platform._units import read_json
from siskinward.platform._units import read_mapping
from siskinward.platform._units import read_text
from siskinward.platform._units import read_whole
from siskinward.state.identifiers import DomainName
from siskinward.state.identifiers import ServiceName
from siskinward.state.identifiers import TargetName
from siskinward.state.serving import LONGEST_WARMUP_S
from siskinward.state.serving import TargetRecord

READINESS_BY_STATE = {"ready": True, "draining": False}
MAX_ENTRY_BYTES = 8 * 1024
MAX_SLOTS = 100_000
MAX_HEARTBEATS = 10**12
# The first moment of the year 2100: no target has started later.
LATEST_START_MS = 4_102_444_800_000


def decode_target(name: str, value: bytes) -> TargetRecord:
    """Decode a row of ``servers``; raises ``DecodeError`` if it can't name a target to use.

    Wire names that mislead: ``born`` is when the target started, in Unix milliseconds, ``seq``
    counts its heartbeats since then, and ``zone`` is its failure domain.
    """
    where = f"target {name}"
    with decoding(where):
        return _read_target(name, value, where)


def _read_target(name: str, value: bytes, where: str) -> TargetRecord:
    if len(value) > MAX_ENTRY_BYTES:
        detail = f"expected at most {MAX_ENTRY_BYTES} bytes, found {len(value)}"
        raise DecodeError(where, detail)
    entry = read_json(value, where)
    info = read_mapping(entry, "info", where)
    status = read_mapping(entry, "status", where)
    host, port = _read_target_address(entry.get("address"), f"{where}.address")
    state = read_text(status, "state", where)
    if state not in READINESS_BY_STATE:
        raise DecodeError(f"{where}.state", f"unknown state {describe(state)}")
    warmup_left_s = read_duration_s(status.get("warmup_left", "0ms"), f"{where}.warmup_left")
    if warmup_left_s > LONGEST_WARMUP_S:
        detail = f"expected at most {LONGEST_WARMUP_S} s, found {warmup_left_s} s"
        raise DecodeError(f"{where}.warmup_left", detail)
    return TargetRecord(
        name=TargetName(check_name(name, where)),
        service=ServiceName(read_text(info, "service", where)),
        host=host,
        port=port,
        failure_domain=DomainName(read_text(info, "zone", where)),
        slots=read_whole(info, "slots", where, smallest=1, largest=MAX_SLOTS),
        is_ready=READINESS_BY_STATE[state],
        warmup_left_s=warmup_left_s,
        heartbeat=read_whole(status, "seq", where, smallest=0, largest=MAX_HEARTBEATS),
        started_ms=read_whole(entry, "born", where, smallest=0, largest=LATEST_START_MS, default=0),
    )


def _read_target_address(value: object, where: str) -> tuple[str, int]:
    """Read the address of one host; raises ``DecodeError``."""
    host, port = read_address(value, where)
    address = ip_address(host)
    if address.is_multicast or address.is_unspecified or address.is_reserved:
        raise DecodeError(where, f"expected the address of one host, found {describe(value)}")
    return host, port
