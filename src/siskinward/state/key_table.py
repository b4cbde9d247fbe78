"""Maps a caller's key to its client account."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from siskinward.state.identifiers import AccountName
    from siskinward.state.objects import Configuration

KEY_HASH_BYTES = 32


def hash_key(key_text: str) -> bytes:
    """Return the BLAKE2b-256 hash of a key's text."""
    encoded = key_text.encode("utf-8", "surrogatepass")
    return hashlib.blake2b(encoded, digest_size=KEY_HASH_BYTES).digest()


class KeyTable:
    """The keys of one configuration version, looked up by hash.

    The look-up compares hashes, never key texts, so its duration reveals nothing about a key.
    """

    def __init__(self, configuration: Configuration) -> None:
        self._accounts = {
            bytes.fromhex(key.key_hash_hex): key.client_account
            for key in configuration.keys.values()
        }

    def account_of(self, key_text: str) -> AccountName | None:
        """Return the client account that a key belongs to, or None for an unknown key."""
        return self._accounts.get(hash_key(key_text))
