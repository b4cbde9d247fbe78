"""Messages of ``Freshness`` and ``VersionSync``, and the effects of ``VersionSync``."""

from __future__ import annotations

from attrs import frozen

from siskinward.state.content_delta import ContentDelta
from siskinward.state.versions import Pointer


@frozen
class FreshnessBeat:
    """Heartbeat with the sender's latest observation of a pointer row.

    ``version`` was observed ``age_s`` before this heartbeat was sent; a negative ``age_s`` means
    that there is no observation. ``serial`` numbers the sender's heartbeats. ``echo_serial`` is
    the latest heartbeat that the sender received from the receiver, ``held_s`` earlier. The echo
    bounds the transit time without synchronised clocks.
    """

    state: str
    version: int
    age_s: float
    serial: int
    echo_serial: int
    held_s: float


@frozen
class VersionRequest:
    """Request the newest content of ``state``; ``held_hash`` is the hash of the active one."""

    state: str
    held_hash: str


@frozen
class VersionPush:
    """Content of ``state`` as a delta from ``base_hash``; an empty ``base_hash`` means no base."""

    state: str
    pointer: Pointer
    base_hash: str
    delta: ContentDelta


MESSAGES = (FreshnessBeat, VersionRequest, VersionPush)


@frozen
class FetchObject:
    """Effect: fetch content from the object store."""

    content_hash: str


@frozen
class ObjectFetched:
    """Answer to ``FetchObject``."""

    content_hash: str
    content: bytes


@frozen
class ObjectFailed:
    """Answer to ``FetchObject``: the store did not respond or has no such content."""

    content_hash: str


@frozen
class Activated:
    """Effect: ``content`` is the active content from now on."""

    state: str
    pointer: Pointer
    content: bytes


ObjectAnswer = ObjectFetched | ObjectFailed
