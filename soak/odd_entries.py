"""Entries of another writer among those of the targets, none of which can be used."""

from __future__ import annotations

import json
from typing import Any

NESTED_LEVELS = 60_000
# Few enough for the parser of JSON, and too many for what walks through a value after it.
NESTED_LEVELS_PARSED = 900
LARGE_BYTES = 60_000
DIGITS = 5_000

ENTRY: dict[str, Any] = {
    "address": "10.1.64.200:8080",
    "born": 1,
    "info": {"service": "listings", "version": "v1", "zone": "bud-a", "slots": 3},
    "status": {"state": "ready", "seq": 1, "warmup_left": "0ms"},
}


def encode_entry(**changes: Any) -> bytes:
    """Return an entry with fields changed; those of ``info`` and ``status`` by their own names."""
    entry = json.loads(json.dumps(ENTRY))
    for name, value in changes.items():
        place = next((part for part in ("info", "status") if name in entry[part]), None)
        (entry[place] if place else entry)[name] = value
    return json.dumps(entry).encode()


def _nested(levels: int) -> bytes:
    return b"[" * levels + b"1" + b"]" * levels


ODD_ENTRIES: dict[str, bytes] = {
    "no-bytes": b"",
    "no-text": b"\xff\xfe\x00\xd8",
    "no-json": b"{",
    "a-number": b"7",
    "a-list": b"[]",
    "no-fields": b"{}",
    "nested": _nested(NESTED_LEVELS),
    "nested-and-parsed": _nested(NESTED_LEVELS_PARSED),
    "nested-field": encode_entry(address="X").replace(b'"X"', _nested(NESTED_LEVELS_PARSED)),
    "large": encode_entry(zone="x" * LARGE_BYTES),
    "long-number": encode_entry(slots=0).replace(b'"slots": 0', b'"slots": ' + b"9" * DIGITS),
    "surrogate-port": encode_entry(address="10.1.64.200:\ud800"),
    "surrogate-host": encode_entry(address="\ud800:80"),
    "surrogate-service": encode_entry(service="\udfff"),
    "surrogate-zone": encode_entry(zone="bud-a\ud83d"),
    "control-service": encode_entry(service="listings\r\nx: y"),
    "port-out-of-range": encode_entry(address="10.1.64.200:65536"),
    "port-zero": encode_entry(address="10.1.64.200:0"),
    "port-of-many-digits": encode_entry(address="10.1.64.200:" + "9" * DIGITS),
    "scope-with-null": encode_entry(address="fe80::1%\x00:80"),
    "scope-with-surrogate": encode_entry(address="fe80::1%\ud800:80"),
    "multicast": encode_entry(address="224.0.0.1:80"),
    "broadcast": encode_entry(address="255.255.255.255:80"),
    "unspecified": encode_entry(address="0.0.0.0:80"),
    "address-a-list": encode_entry(address=["10.1.64.200", 80]),
    "slots-infinite": encode_entry(slots=float("inf")),
    "slots-not-a-number": encode_entry(slots=float("nan")),
    "slots-true": encode_entry(slots=True),
    "slots-a-part": encode_entry(slots=2.5),
    "slots-many": encode_entry(slots=10**9),
    "slots-negative": encode_entry(slots=-1),
    "heartbeat-huge": encode_entry(seq=10**400),
    "heartbeat-negative": encode_entry(seq=-1),
    "start-late": encode_entry(born=10**14),
    "start-a-part": encode_entry(born=1.5),
    "start-a-text": encode_entry(born="1"),
    "warmup-endless": encode_entry(warmup_left="1e999s"),
    "warmup-of-years": encode_entry(warmup_left="90000000s"),
    "warmup-negative": encode_entry(warmup_left="-1s"),
    "state-unknown": encode_entry(state="dancing"),
    "state-a-list": encode_entry(state=["ready"]),
    "info-a-text": encode_entry(info="listings"),
}
