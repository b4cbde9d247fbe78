"""Versioned state: a pointer to immutable content, whose version only increases."""

from __future__ import annotations

from hashlib import blake2b

from attrs import frozen
from expression import Error
from expression import Ok
from expression import Result

from siskinward.state.errors import StepError

HASH_BYTES = 32


@frozen
class Pointer:
    """A version and the hexadecimal BLAKE2b-256 hash of its content."""

    version: int
    content_hash: str


def content_hash_of(content: bytes) -> str:
    """Return the hash by which a content is identified."""
    return blake2b(content, digest_size=HASH_BYTES).hexdigest()


class VersionTracker:
    """Activates only versions above the active one, with content that matches its hash."""

    def __init__(self, name: str) -> None:
        self._name = name
        self.newest: Pointer | None = None
        self.active: Pointer | None = None
        self.content = b""
        self.previous_hash = ""
        self.previous_content = b""

    @property
    def is_ready(self) -> bool:
        """Whether any version is active; until then, a newly started VM serves nothing."""
        return self.active is not None

    @property
    def version(self) -> int:
        """The active version, or 0 if none is active."""
        return self.active.version if self.active else 0

    @property
    def is_behind(self) -> bool:
        """Whether a version above the active one is known."""
        return self.newest is not None and self.newest.version > self.version

    def record_pointer(self, pointer: Pointer, source: str) -> Result[bool, StepError]:
        """Record a published version; return whether it is above all versions known before."""
        newest = self.newest
        if newest is not None and pointer.version < newest.version:
            return Ok(False)
        if newest is not None and pointer.version == newest.version:
            if pointer.content_hash == newest.content_hash:
                return Ok(False)
            detail = f"version {pointer.version} has two different contents"
            return Error(StepError(f"learn {self._name} version", source, detail))
        self.newest = pointer
        return Ok(True)

    def try_activate(
        self, pointer: Pointer, content: bytes, source: str
    ) -> Result[bool, StepError]:
        """Activate a version with its content; return whether the active version changed."""
        step = f"adopt {self._name} version {pointer.version}"
        if content_hash_of(content) != pointer.content_hash:
            return Error(StepError(step, source, "content does not match its hash"))
        recorded = self.record_pointer(pointer, source)
        if recorded.is_error():
            return recorded
        if pointer.version <= self.version:
            return Ok(False)
        self.previous_hash = self.active.content_hash if self.active else ""
        self.previous_content = self.content
        self.active = pointer
        self.content = content
        return Ok(True)
