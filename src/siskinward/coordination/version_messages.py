"""Messages of the freshness and the version sync, and the effects of the latter."""

from __future__ import annotations

from attrs import frozen

from siskinward.state.content_delta import ContentDelta
from siskinward.state.versions import Pointer


@frozen
class FreshnessBeat:
    """Latest observation of a pointer row: its version, ``age_s`` before this beat was sent.

    ``serial`` numbers the sender's beats. ``echo_serial`` is the latest beat that the sender
    received from the receiver, ``held_s`` before; it bounds the time on the way without
    synchronised clocks. A negative ``age_s`` stands for no observation.
    """

    state: str
    version: int
    age_s: float
    serial: int
    echo_serial: int
    held_s: float


@frozen
class VersionRequest:
    """Asks for the newest content of ``state``; ``held_hash`` names the one in force."""

    state: str
    held_hash: str


@frozen
class VersionPush:
    """A content of ``state``, as a difference from ``base_hash``; empty stands for no base."""

    state: str
    pointer: Pointer
    base_hash: str
    delta: ContentDelta


MESSAGES = (FreshnessBeat, VersionRequest, VersionPush)


@frozen
class FetchObject:
    """Effect: fetch a content from the object store."""

    content_hash: str


@frozen
class ObjectFetched:
    """Answer to ``FetchObject``."""

    content_hash: str
    content: bytes


@frozen
class ObjectFailed:
    """The object store did not answer, or has no such content."""

    content_hash: str


@frozen
class Activated:
    """Effect: ``content`` is in force from now on."""

    state: str
    pointer: Pointer
    content: bytes


ObjectAnswer = ObjectFetched | ObjectFailed
