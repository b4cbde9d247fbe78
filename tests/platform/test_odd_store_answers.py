"""A malformed answer of the store, or a malformed row in one, does not end what follows it."""

from __future__ import annotations

from math import inf
from math import nan
from typing import TYPE_CHECKING
from typing import Any

import curio
import pytest
from site_calls import call_all
from site_calls import runs_after

from siskinward.platform.standins import SiteSettings
from siskinward.platform.standins import TargetStandIn
from siskinward.transport.clock import read_clock_s

if TYPE_CHECKING:
    from siskinward.platform.standins import Site
    from siskinward.standins.memory_network import MemoryNetwork

ONE_ZONE = SiteSettings(zones={"bud-a": "budapest"})
AWAY_S = 0.6
SETTLE_S = 3.0
PAGE_ROWS = 500
FAILURE_KINDS = {"runtime", "task-failed"}


def nested(levels: int) -> Any:
    value: Any = 1
    for _ in range(levels):
        value = [value]
    return value


def odd_row(**changes: Any) -> dict[str, Any]:
    return {"table": "servers", "part": "", "key": "odd", "ver": 1, "value": "e30=", **changes}


ODD_ROWS: dict[str, Any] = {
    "a-number": 7,
    "nothing": None,
    "no-fields": {},
    "key-a-number": odd_row(key=7),
    "key-a-surrogate": odd_row(key="\ud800"),
    "key-a-list": odd_row(key=["odd"]),
    "version-missing": {"table": "servers", "part": "", "key": "odd", "value": "e30="},
    "version-a-text": odd_row(ver="many"),
    "version-huge": odd_row(ver=10**30),
    "version-infinite": odd_row(ver=inf),
    "version-negative": odd_row(ver=-5),
    "value-no-base64": odd_row(value="!"),
    "value-not-ascii": odd_row(value="é"),
    "value-a-number": odd_row(value=7),
    "value-nested": odd_row(value=nested(100)),
}
ODD_FIELDS: dict[str, Any] = {
    "version-a-text": {"ver": "many"},
    "version-huge": {"ver": 10**30},
    "version-infinite": {"ver": inf},
    "version-not-a-number": {"ver": nan},
    "version-negative": {"ver": -1},
    "version-missing": {"ver": None},
    "rows-a-text": {"rows": "none"},
    "rows-a-number": {"rows": 7},
    "rows-nested": {"rows": nested(100)},
    "pages-without-end": {"rows": [], "more_pages": True},
}


async def assert_vms_follow(site: Site) -> None:
    """A new target gets requests, and all VMs go on without a failed task."""
    new = TargetStandIn("listings-new", "listings", "10.1.64.99", 8080, "bud-a")
    await new.start()
    site.targets[new.name] = new
    await site.report(new)
    await curio.sleep(SETTLE_S)
    since_s = read_clock_s()
    assert set(await call_all(site, 12)) == {200}
    assert runs_after([new], since_s) > 0
    for vm in site.vms:
        assert not FAILURE_KINDS & {line["kind"] for line in site.lines(vm)}


@pytest.mark.parametrize("row", ODD_ROWS.values(), ids=ODD_ROWS)
def test_malformed_row_in_each_answer_hides_no_other_row(run_site: Any, row: Any) -> None:
    async def scenario(site: Site, network: MemoryNetwork) -> None:
        site.store.odd_rows = [row]
        await curio.sleep(SETTLE_S)
        for vm in list(site.vms)[:1]:
            await site.restart_vm(vm)
        copy = site.store.take_copy()
        await site.store.come_back_from(copy, away_s=AWAY_S)
        await curio.sleep(SETTLE_S)
        await assert_vms_follow(site)

    run_site(scenario, ONE_ZONE)


@pytest.mark.parametrize("fields", ODD_FIELDS.values(), ids=ODD_FIELDS)
def test_malformed_answers_end_nothing(run_site: Any, fields: dict[str, Any]) -> None:
    async def scenario(site: Site, network: MemoryNetwork) -> None:
        site.store.odd_fields = fields
        site.store.drop_history()
        await curio.sleep(SETTLE_S)
        assert set(await call_all(site, 2)) == {200}
        site.store.odd_fields = {}
        await curio.sleep(SETTLE_S)
        await assert_vms_follow(site)

    run_site(scenario, ONE_ZONE)


def test_pages_of_odd_entries_are_read_to_their_end(run_site: Any) -> None:
    async def scenario(site: Site, network: MemoryNetwork) -> None:
        for number in range(PAGE_ROWS + 100):
            await site.store.put("servers", f"a-{number:04}", b"\xff" * 200)
        site.store.drop_history()
        for vm in list(site.vms):
            await site.restart_vm(vm)
        await curio.sleep(SETTLE_S)
        await assert_vms_follow(site)

    run_site(scenario, ONE_ZONE)
