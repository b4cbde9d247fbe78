"""Measures reading time, delta time and memory of a published client map of growing size.

Run as ``python benchmarks/published_map.py``. A process reads the whole map when it starts; each
later publication is a delta.
"""

from __future__ import annotations

import time
import tracemalloc
from random import Random

from client_map import make_blocks

from siskinward.coordination.map_manifest import decode_delta
from siskinward.coordination.map_manifest import encode_delta
from siskinward.state.client_map import BlockSite
from siskinward.state.client_map import ClientMap

SIZES = (10_000, 50_000, 150_000, 440_000)
CHANGED_SHARE = 0.001


def measure(count: int) -> str:
    """Measure one size; return a line with bytes, times and memory."""
    blocks = make_blocks(count, Random(1))
    published = ClientMap.from_blocks(1, blocks).ok
    content = published.to_bytes()
    changed = [BlockSite(b.prefix, "site-new") for b in blocks[:: round(1 / CHANGED_SHARE)]]
    delta = encode_delta(published.make_delta(2, changed, ()).ok)
    start_s = time.perf_counter()
    ClientMap.from_bytes(content)
    read_s = time.perf_counter() - start_s
    tracemalloc.start()
    held = ClientMap.from_bytes(content).ok
    held_mb = tracemalloc.get_traced_memory()[0] / 2**20
    tracemalloc.stop()
    start_s = time.perf_counter()
    assert decode_delta(delta).bind(held.apply).is_ok()
    apply_s = time.perf_counter() - start_s
    sizes = f"{len(content) / 1e6:5.2f} MB whole, {len(delta) / 1e3:6.1f} KB a delta"
    return (
        f"{count:8} blocks: {sizes}; "
        f"read {read_s * 1e3:6.1f} ms, delta {apply_s * 1e3:6.1f} ms, held {held_mb:5.1f} MB"
    )


def main() -> None:
    for count in SIZES:
        print(measure(count))


if __name__ == "__main__":
    main()
