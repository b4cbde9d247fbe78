"""Measures look-ups, deltas and memory of the client map against a dictionary of prefixes.

Run with ``python benchmarks/client_map.py``.
"""

from __future__ import annotations

import time
import tracemalloc
from ipaddress import IPv4Address
from random import Random

from siskinward.state.client_map import BlockSite
from siskinward.state.client_map import ClientMap

SIZES = (10_000, 50_000, 150_000, 440_000)
SITES = 120
LOOKUPS = 20_000
DELTA_SHARE = 0.01
ROUNDS = 5
PREFIX_LENGTHS = (16, 18, 19, 20, 21, 22, 23, 24, 24, 24, 24, 26, 28)


def make_blocks(count: int, random: Random) -> list[BlockSite]:
    """Return random prefixes of mixed lengths, some of them nested."""
    prefixes: set[str] = set()
    while len(prefixes) < count:
        length = random.choice(PREFIX_LENGTHS)
        value = random.getrandbits(length) << (32 - length)
        prefixes.add(f"{IPv4Address(value)}/{length}")
    return [BlockSite(prefix, f"site-{random.randrange(SITES)}") for prefix in sorted(prefixes)]


def walk(prefixes: dict[tuple[int, int], str], value: int) -> str | None:
    """Look up an address in the baseline: one dictionary probe for each prefix length."""
    for length in range(32, 0, -1):
        site = prefixes.get((length, value >> (32 - length)))
        if site is not None:
            return site
    return None


def time_lookups(client_map: ClientMap, addresses: list[str]) -> tuple[float, float]:
    """Return mean and 99th percentile of a look-up in microseconds."""
    samples = []
    for address in addresses:
        start = time.perf_counter_ns()
        client_map.locate(address)
        samples.append(time.perf_counter_ns() - start)
    samples.sort()
    return sum(samples) / len(samples) / 1000, samples[int(len(samples) * 0.99)] / 1000


def time_baseline(blocks: list[BlockSite], addresses: list[str]) -> tuple[float, float]:
    """Return the dictionary's mean look-up in microseconds and its memory in megabytes."""
    tracemalloc.start()
    prefixes = {}
    for block in blocks:
        text, length_text = block.prefix.split("/")
        length = int(length_text)
        prefixes[(length, int(IPv4Address(text)) >> (32 - length))] = block.site
    size_mb = tracemalloc.get_traced_memory()[0] / 1e6
    tracemalloc.stop()
    start = time.perf_counter()
    for address in addresses:
        walk(prefixes, int(IPv4Address(address)))
    return (time.perf_counter() - start) / len(addresses) * 1e6, size_mb


def time_delta(client_map: ClientMap, blocks: list[BlockSite], random: Random) -> float:
    """Return the median time in ms to apply a delta, half reassignments and half removals."""
    changed = random.sample(blocks, int(len(blocks) * DELTA_SHARE))
    half = len(changed) // 2
    assigned = [
        BlockSite(block.prefix, f"site-{random.randrange(SITES)}") for block in changed[:half]
    ]
    removed = [block.prefix for block in changed[half:]]
    delta = client_map.make_delta(client_map.version + 1, assigned, removed).ok
    samples = []
    for _ in range(ROUNDS):
        start = time.perf_counter()
        assert client_map.apply(delta).is_ok()
        samples.append((time.perf_counter() - start) * 1000)
    return sorted(samples)[ROUNDS // 2]


def main() -> None:
    """Print one line for each number of blocks."""
    print("blocks lookup_us p99_us map_mb object_mb delta_ms dict_us dict_mb lookup/dict mb/dict")
    for size in SIZES:
        random = Random(size)
        blocks = make_blocks(size, random)
        addresses = [str(IPv4Address(random.getrandbits(32))) for _ in range(LOOKUPS)]
        client_map = ClientMap.from_blocks(1, blocks).ok
        mean_us, p99_us = time_lookups(client_map, addresses)
        delta_ms = time_delta(client_map, blocks, random)
        dict_us, dict_mb = time_baseline(blocks, addresses)
        map_mb = client_map.size_bytes / 1e6
        object_mb = len(client_map.to_bytes()) / 1e6
        print(
            f"{size} {mean_us:.2f} {p99_us:.2f} {map_mb:.2f} {object_mb:.2f} {delta_ms:.1f}"
            f" {dict_us:.2f} {dict_mb:.1f} {mean_us / dict_us:.2f} {map_mb / dict_mb:.3f}"
        )


if __name__ == "__main__":
    main()
