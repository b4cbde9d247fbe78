"""A node goes on serving while a task of its own fails, and starts the task again."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

import curio
import msgpack
import pytest

from siskinward.daemon.node import Node
from siskinward.state.settings import PlatformSettings
from siskinward.transport.platform_client import PlatformClient

if TYPE_CHECKING:
    from conftest import SmallDeployment

STEPS = ((Node, "run_timer_once"), (PlatformClient, "list_vms"))
FAILS_S = 40.0
GOOD_VM = ["vm-a", "a", "10.0.0.1", 80, 7600, False]
ODD_VMS: list[Any] = [
    7,
    [],
    ["vm-x", "a", 5, 80, 7600, False],
    ["vm-x", "a", "nowhere", 80, 7600, False],
    ["vm-x", "a", "10.0.0.2", 70000, 7600, False],
    ["vm-x", "a", "10.0.0.2", "80x", 7600, False],
    [["vm-x"], "a", "10.0.0.2", 80, 7600, False],
]


# An error in any of them ended the node.
@pytest.mark.parametrize(("owner", "step"), STEPS, ids=[step for _, step in STEPS])
def test_node_serves_on_while_a_task_fails(
    deployment: SmallDeployment, monkeypatch: pytest.MonkeyPatch, owner: Any, step: str
) -> None:
    original = getattr(owner, step)
    failures: list[float] = []
    fails = False

    async def run_or_fail(*args: Any) -> Any:
        if fails:
            failures.append(0.0)
            raise RuntimeError("no one foresaw this")
        return await original(*args)

    monkeypatch.setattr(owner, step, run_or_fail)

    async def body() -> None:
        nonlocal fails
        fails = True
        await curio.sleep(FAILS_S)
        fails = False
        await curio.sleep(FAILS_S)
        response = await deployment.get("vm-a", "/listings/1", "alpha")
        assert response is not None
        assert response.status == 200

    deployment.run(body)
    assert failures


@pytest.mark.parametrize("entry", ODD_VMS, ids=str)
def test_odd_entry_of_the_vm_list_hides_no_other(entry: Any) -> None:
    client = PlatformClient(PlatformSettings("127.0.0.1", 1, 1.0))
    (vm,) = client._decode_vms(msgpack.packb([entry, GOOD_VM, entry]))
    assert (vm.vm, vm.host, vm.peer_port) == ("vm-a", "10.0.0.1", 7600)
