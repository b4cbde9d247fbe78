"""Rendezvous hashing with bounded loads; keeps a group's targets together while there is room."""

from __future__ import annotations

from hashlib import blake2b
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping
    from collections.abc import Sequence

    from siskinward.state.identifiers import VmName

HASH_BYTES = 8


def rendezvous_score(key: str, vm: str) -> int:
    """Return a pseudo-random score of ``vm`` for ``key``, the same on every VM."""
    digest = blake2b(f"{key}\0{vm}".encode(), digest_size=HASH_BYTES).digest()
    return int.from_bytes(digest, "big")


def load_bound(*, total_slots: int, vms: int, largest_target: int, slack: float) -> float:
    """Return the most slots that one of ``vms`` should own."""
    return total_slots / vms * (1.0 + slack) + largest_target


def choose_vm(
    group: str, *, slots: int, loads: Mapping[VmName, int], bound: float
) -> VmName | None:
    """Return the first VM with room in the group's rendezvous order, else the least loaded one."""
    if not loads:
        return None
    order: Sequence[VmName] = sorted(
        loads, key=lambda vm: rendezvous_score(group, vm), reverse=True
    )
    for vm in order:
        if loads[vm] + slots <= bound:
            return vm
    return min(order, key=lambda vm: loads[vm])
