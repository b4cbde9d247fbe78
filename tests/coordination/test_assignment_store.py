from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING
from typing import Any

import pytest
from fakes.memory_platform import Fault
from fakes.memory_platform import MemoryPlatform

from siskinward.coordination.assignment_content import decode_assignments
from siskinward.coordination.assignment_content import encode_assignments
from siskinward.coordination.assignment_store import ASSIGNMENT_ROW
from siskinward.coordination.assignment_store import AssignmentStore
from siskinward.coordination.planner import Assignment
from siskinward.coordination.planner import Cell
from siskinward.coordination.planner import CellRoute
from siskinward.state.identifiers import DomainName
from siskinward.state.identifiers import ServiceName

if TYPE_CHECKING:
    from collections.abc import Coroutine

LISTINGS = ServiceName("listings")
NORTH, SOUTH = DomainName("north"), DomainName("south")


def run(coroutine: Coroutine[Any, Any, Any]) -> Any:
    """Run a coroutine that never suspends, and return its result."""
    with pytest.raises(StopIteration) as stopped:
        coroutine.send(None)
    return stopped.value.value


def assignments_of(version: int, domain: DomainName) -> dict[ServiceName, Assignment]:
    routes = {Cell("site", 3): CellRoute(domain, SOUTH, None)}
    return {LISTINGS: Assignment(LISTINGS, version, routes)}


def test_only_one_of_two_concurrent_writes_is_accepted() -> None:
    platform = MemoryPlatform()
    stores = [AssignmentStore(platform, platform) for _ in range(2)]
    bases = [run(store.read()).ok for store in stores]
    first = run(stores[0].write(bases[0], assignments_of(1, NORTH), "first"))
    second = run(stores[1].write(bases[1], assignments_of(1, SOUTH), "second"))
    assert first.is_ok() and second.is_error()
    assert run(stores[1].read()).ok.assignments == assignments_of(1, NORTH)
    assert first.ok == run(stores[1].read()).ok
    assert run(stores[0].write(first.ok, assignments_of(2, SOUTH), "first")).ok.pointer.version == 2


def test_second_write_on_the_same_base_is_refused_after_a_lost_answer() -> None:
    platform = MemoryPlatform(transact_faults=deque([Fault.ANSWER_LOST]))
    store = AssignmentStore(platform, platform)
    base = run(store.read()).ok
    assert run(store.write(base, assignments_of(1, NORTH), "x")).is_error()
    assert run(store.write(base, assignments_of(1, SOUTH), "x")).is_error()
    assert platform.rows[ASSIGNMENT_ROW][0] == 1


def test_content_keeps_every_route() -> None:
    routes = {
        Cell("east", 0): CellRoute(NORTH, SOUTH, None),
        Cell("east", 15): CellRoute(SOUTH),
        Cell("west", 7): CellRoute(NORTH, None, SOUTH),
    }
    bookings = ServiceName("bookings")
    found = assignments_of(7, SOUTH) | {bookings: Assignment(bookings, 2, routes)}
    assert decode_assignments(encode_assignments(found)).ok == found


@pytest.mark.parametrize("content", [b"", b"\x01", encode_assignments({})[:-1], b"\x93\x90\x91"])
def test_malformed_content_is_an_error(content: bytes) -> None:
    assert decode_assignments(content).is_error()
