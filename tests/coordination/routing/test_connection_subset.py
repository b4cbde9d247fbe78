from __future__ import annotations

from collections import Counter

import pytest

from siskinward.coordination.routing import connection_subset
from siskinward.state.identifiers import TargetName
from siskinward.state.identifiers import VmName
from siskinward.state.objects import Target

TARGETS = [Target(TargetName(f"t-{i}"), "g", "::1", 80, 3, 330) for i in range(12)]


@pytest.mark.parametrize("connections_per_vm", [1, 3])
@pytest.mark.parametrize("vms", [1, 11, 590])
def test_connection_limit_holds_also_while_lists_differ(vms: int, connections_per_vm: int) -> None:
    names = [VmName(f"vm-{i}") for i in range(vms)]
    # A tenth of the VMs see a list in which another tenth was replaced.
    replaced = [VmName(f"new-{i}") if i % 10 == 0 else name for i, name in enumerate(names)]
    connections: Counter[str] = Counter()
    for number, own in enumerate(names):
        seen = replaced if number % 10 == 1 else names
        subset = connection_subset(own, seen, TARGETS, connections_per_vm=connections_per_vm)
        connections.update({name: connections_per_vm for name in subset})
    assert all(count <= 330 for count in connections.values())
    assert len(connections) == len(TARGETS)


def test_small_fleets_connect_everywhere() -> None:
    names = [VmName(f"vm-{i}") for i in range(11)]
    assert len(connection_subset(names[3], names, TARGETS, connections_per_vm=3)) == 12
