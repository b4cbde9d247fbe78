"""Faults of a target: how it treats requests, and what it writes instead of their answers."""

from __future__ import annotations

from enum import Enum
from enum import IntEnum

from attrs import frozen


class TargetFault(Enum):
    """Faults that can be injected into a target's handling of requests."""

    NONE = "none"
    SHEDS = "sheds"
    LOSES_ANSWERS = "loses-answers"
    DOUBLES_ANSWERS = "doubles-answers"
    TRUNCATES_ANSWERS = "truncates-answers"
    FAILS = "fails"
    CRASHES = "crashes"
    ENDLESS_HEAD = "endless-head"
    ENDLESS_INTERIM = "endless-interim"
    ENDLESS_BODY = "endless-body"
    ENDLESS_CHUNKS = "endless-chunks"
    REPEATS_REFUSALS = "repeats-refusals"
    STOPS_IN_HEAD = "stops-in-head"
    FAILS_AS_REFUSED = "fails-as-refused"
    NO_LENGTH = "no-length"


class RefusalCopy(IntEnum):
    """When a target writes a refusal once more: before the next answer, whole or not, or behind."""

    WHOLE = 0
    PIECE = 1
    BEHIND = 2


@frozen
class EndlessAnswer:
    """An answer that never ends: ``piece`` follows ``start`` again and again."""

    start: bytes
    piece: bytes


ENDLESS_ANSWERS = {
    TargetFault.ENDLESS_HEAD: EndlessAnswer(b"HTTP/1.1 200 OK\r\nx-filler: ", b"x" * 65536),
    TargetFault.ENDLESS_INTERIM: EndlessAnswer(b"", b"HTTP/1.1 103 Early Hints\r\n\r\n" * 512),
    TargetFault.ENDLESS_BODY: EndlessAnswer(b"HTTP/1.1 200 OK\r\n\r\n", b"x" * 65536),
    TargetFault.ENDLESS_CHUNKS: EndlessAnswer(
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n",
        b"1\r\nx\r\n" * 8192,
    ),
}
