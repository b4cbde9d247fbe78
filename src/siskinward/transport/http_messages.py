"""HTTP requests and responses, held completely in memory."""

from __future__ import annotations

from attrs import frozen

FINAL_STATUSES = range(200, 600)
"""The statuses that end an exchange; others are interim, or none that HTTP knows."""

Headers = tuple[tuple[bytes, bytes], ...]
"""Header lines in order; names are lower case."""


@frozen
class HttpRequest:
    """A complete request. ``target`` is the path with its query, as received."""

    method: str
    target: str
    headers: Headers = ()
    body: bytes = b""
    peer: str = ""
    peer_port: int = 0

    def header(self, name: bytes) -> bytes | None:
        """Return the value of the first header line called ``name`` (lower case)."""
        return next((value for key, value in self.headers if key == name), None)


@frozen
class HttpResponse:
    """A complete response."""

    status: int
    headers: Headers = ()
    body: bytes = b""

    def header(self, name: bytes) -> bytes | None:
        """Return the value of the first header line called ``name`` (lower case)."""
        return next((value for key, value in self.headers if key == name), None)

    def header_lines(self, name: bytes) -> list[bytes]:
        """Return the values of all header lines called ``name`` (lower case)."""
        return [value for key, value in self.headers if key == name]
