"""Header fields that steer requests between callers, entry VMs and targets."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import frozen

if TYPE_CHECKING:
    from collections.abc import Iterable

Headers = tuple[tuple[bytes, bytes], ...]

BEARER = b"bearer "
HOP_BY_HOP = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
    )
)


@frozen
class SteeringHeaders:
    """Names of the fields, lower case; an adapter says how they are spelled.

    ``signature`` marks a target's own answers, ``not_run`` those to requests that it did not run.
    """

    attempt_id: bytes
    time_left_ms: bytes
    object_key: bytes
    signature: bytes
    client_account: bytes
    expected_target: bytes
    target: bytes
    load: bytes
    not_run: bytes
    warmup_left_ms: bytes


@frozen
class ReportedLoad:
    """What a target states in its answers: requests that run or wait there, and its slots."""

    requests: int
    slots: int


def decode_load(value: bytes | None) -> ReportedLoad | None:
    """Decode ``running,waiting,slots``; None where that is not stated."""
    parts = (value or b"").split(b",")
    if len(parts) != 3 or not all(part.strip().isdigit() for part in parts):
        return None
    running, waiting, slots = (int(part) for part in parts)
    return ReportedLoad(running + waiting, slots)


def bearer_key(value: bytes | None) -> str | None:
    """Return the key of an ``Authorization`` field."""
    if value is None or not value.lower().startswith(BEARER):
        return None
    return value[len(BEARER) :].strip().decode("latin-1")


def end_to_end_headers(headers: Headers) -> list[tuple[bytes, bytes]]:
    """Drop the fields that concern only one connection."""
    named = _named_by_connection(headers)
    return [item for item in headers if item[0] not in HOP_BY_HOP and item[0] not in named]


def _named_by_connection(headers: Iterable[tuple[bytes, bytes]]) -> set[bytes]:
    return {
        token.strip().lower()
        for name, value in headers
        if name == b"connection"
        for token in value.split(b",")
    }
