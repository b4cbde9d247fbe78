"""Request fingerprints: equal for a resent request, different for any other."""

from __future__ import annotations

from hashlib import blake2b
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from siskinward.state.identifiers import AccountName

FINGERPRINT_BYTES = 16
LENGTH_BYTES = 8


def fingerprint_of(account: AccountName, route: str, method: str, path: str, body: bytes) -> str:
    """Return a hexadecimal hash of the account, route, method, path and body."""
    digest = blake2b(digest_size=FINGERPRINT_BYTES)
    for text in (account, route, method, path):
        _add_field(digest, text.encode())
    _add_field(digest, body)
    return digest.hexdigest()


def _add_field(digest: blake2b, part: bytes) -> None:
    # The length prefix keeps ("ab", "c") apart from ("a", "bc").
    digest.update(len(part).to_bytes(LENGTH_BYTES, "big"))
    digest.update(part)
