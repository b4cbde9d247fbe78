"""Versioned state that only moves forward: a pointer row and immutable contents."""

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
    """Return the hash that names a content."""
    return blake2b(content, digest_size=HASH_BYTES).hexdigest()


class VersionTracker:
    """Adopts only versions higher than the adopted one, with content that matches its hash."""

    def __init__(self, name: str) -> None:
        self._name = name
        self.newest: Pointer | None = None
        self.active: Pointer | None = None
        self.content = b""
        self.previous_hash = ""
        self.previous_content = b""

    @property
    def is_ready(self) -> bool:
        """Whether a version is in force; a fresh VM serves nothing before."""
        return self.active is not None

    @property
    def version(self) -> int:
        """The version in force, 0 if none is."""
        return self.active.version if self.active else 0

    @property
    def is_behind(self) -> bool:
        """Whether a higher version is known than the one in force."""
        return self.newest is not None and self.newest.version > self.version

    def record_pointer(self, pointer: Pointer, source: str) -> Result[bool, StepError]:
        """Learn of a version; return whether it is the highest known so far."""
        newest = self.newest
        if newest is not None and pointer.version < newest.version:
            return Ok(False)
        if newest is not None and pointer.version == newest.version:
            if pointer.content_hash == newest.content_hash:
                return Ok(False)
            detail = f"version {pointer.version} has two contents"
            return Error(StepError(f"learn {self._name} version", source, detail))
        self.newest = pointer
        return Ok(True)

    def try_activate(
        self, pointer: Pointer, content: bytes, source: str
    ) -> Result[bool, StepError]:
        """Adopt a content; return whether the version in force changed."""
        step = f"adopt {self._name} version {pointer.version}"
        if content_hash_of(content) != pointer.content_hash:
            return Error(StepError(step, source, "content does not match its hash"))
        learned = self.record_pointer(pointer, source)
        if learned.is_error():
            return learned
        if pointer.version <= self.version:
            return Ok(False)
        self.previous_hash = self.active.content_hash if self.active else ""
        self.previous_content = self.content
        self.active = pointer
        self.content = content
        return Ok(True)
