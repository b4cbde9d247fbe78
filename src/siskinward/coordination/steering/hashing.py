"""Weighted rendezvous hashing: VMs with the same weights rank candidates alike, few ranks move."""

from __future__ import annotations

from functools import lru_cache
from hashlib import blake2b
from math import log
from zlib import crc32

CACHED_SCORES = 65536
HASH_RANGE = 2.0**64


@lru_cache(maxsize=CACHED_SCORES)
def rendezvous_score(key: str, candidate: str) -> float:
    """Score of a candidate for a key; multiplied by a weight, the highest comes first."""
    digest = blake2b(f"{key}\x00{candidate}".encode(), digest_size=8).digest()
    uniform = (int.from_bytes(digest, "big") + 1.0) / (HASH_RANGE + 2.0)
    return -1.0 / log(uniform)


@lru_cache(maxsize=CACHED_SCORES)
def short_id(name: str) -> int:
    """A number of 32 bits for a name, where many names travel often."""
    return crc32(name.encode())
