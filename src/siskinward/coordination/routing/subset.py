"""Deterministic subsets of connections, which keep to limits without coordination."""

from __future__ import annotations

from hashlib import blake2b
from heapq import nlargest
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection

    from siskinward.state.identifiers import TargetName
    from siskinward.state.identifiers import VmName
    from siskinward.state.objects import Target

HASH_BYTES = 8


def connecting_vms(
    target: Target,
    vms: Collection[VmName],
    *,
    connections_per_vm: int,
    reserve_share: float,
) -> frozenset[VmName]:
    """Return the VMs that may connect to ``target`` within its connection limit.

    ``reserve_share`` of the limit is reserved for VMs that are not in ``vms``, but connect because
    the list of another VM has them. This keeps all connections together within the limit while
    the lists differ a little.
    """
    usable = int(target.connection_limit * (1.0 - reserve_share))
    count = usable // connections_per_vm
    return frozenset(nlargest(count, vms, key=lambda vm: _score(target.name, vm)))


def connection_subset(
    own: VmName,
    vms: Collection[VmName],
    targets: Collection[Target],
    *,
    connections_per_vm: int,
    reserve_share: float = 0.2,
) -> tuple[TargetName, ...]:
    """Return the targets that the VM ``own`` may connect to."""
    return tuple(
        target.name
        for target in targets
        if own
        in connecting_vms(
            target, vms, connections_per_vm=connections_per_vm, reserve_share=reserve_share
        )
    )


def peer_subset(own: VmName, vms: Collection[VmName], *, count: int) -> tuple[VmName, ...]:
    """Return the VMs of another failure domain that ``own`` keeps streams to, best first."""
    return tuple(nlargest(count, vms, key=lambda vm: _score(own, vm)))


def _score(key: str, vm: str) -> int:
    digest = blake2b(f"{key}\0{vm}".encode(), digest_size=HASH_BYTES).digest()
    return int.from_bytes(digest, "big")
