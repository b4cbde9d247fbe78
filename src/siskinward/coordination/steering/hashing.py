"""Rendezvous hashing: every VM ranks the same candidates alike, and few ranks move."""

from __future__ import annotations

from functools import lru_cache
from hashlib import blake2b

CACHED_SCORES = 65536


@lru_cache(maxsize=CACHED_SCORES)
def rendezvous_score(key: str, candidate: str) -> int:
    """Rank of a candidate for a key; the highest comes first."""
    digest = blake2b(f"{key}\x00{candidate}".encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")
