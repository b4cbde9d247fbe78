"""Weighted rendezvous hashing: VMs with equal weights agree, and a change moves few keys."""

from __future__ import annotations

from functools import lru_cache
from hashlib import blake2b
from math import log
from zlib import crc32

CACHE_ENTRIES = 65536
HASH_RANGE = 2.0**64


@lru_cache(maxsize=CACHE_ENTRIES)
def rendezvous_score(key: str, candidate: str) -> float:
    """Return the score of a candidate for a key; the highest score times weight ranks first."""
    digest = blake2b(f"{key}\x00{candidate}".encode(), digest_size=8).digest()
    uniform = (int.from_bytes(digest, "big") + 1.0) / (HASH_RANGE + 2.0)
    return -1.0 / log(uniform)


@lru_cache(maxsize=CACHE_ENTRIES)
def short_id(name: str) -> int:
    """Return a 32-bit hash of a name, to keep frequent messages with many names short."""
    return crc32(name.encode())
