from __future__ import annotations

import pytest

from siskinward.coordination.events import VmIdentity
from siskinward.coordination.lookup import LookupSettings
from siskinward.coordination.lookup import LookupTable
from siskinward.coordination.lookup import VmEndpoint
from siskinward.coordination.planner import Assignment
from siskinward.coordination.planner import Cell
from siskinward.coordination.planner import CellRoute
from siskinward.state.client_map import BUCKET_COUNT
from siskinward.state.client_map import BlockSite
from siskinward.state.client_map import ClientMap
from siskinward.state.identifiers import DomainName
from siskinward.state.identifiers import IncarnationId
from siskinward.state.identifiers import RegionName
from siskinward.state.identifiers import ServiceName
from siskinward.state.identifiers import VmName
from siskinward.state.objects import Configuration
from siskinward.state.objects import FailureDomain
from siskinward.state.objects import Link
from siskinward.state.objects import Site

PAYMENTS = ServiceName("payments")
HARJU, TARTU, PARNU = (DomainName(name) for name in ("harju-1", "tartu-1", "parnu-1"))
REGIONS = {name: RegionName(name.split("-")[0]) for name in (HARJU, TARTU, PARNU)}
VMS = {
    name: [VmEndpoint(VmName(f"{name}-{n}"), "::1", 8000 + n) for n in range(2)] for name in REGIONS
}


def make_table() -> LookupTable:
    configuration = Configuration(
        failure_domains={name: FailureDomain(name, region) for name, region in REGIONS.items()},
        links={"far": Link("far", REGIONS[HARJU], REGIONS[PARNU], 4e9, 20.0)},
        sites={"tartu": Site("tartu", TARTU)},
    )
    own = VmIdentity(VmName("harju-1-0"), HARJU, IncarnationId("a"))
    table = LookupTable(LookupSettings(), own, configuration)
    table.set_live_vms(VMS, leaving=[])
    table.set_client_map(ClientMap.from_blocks(7, [BlockSite("10.0.0.0/8", "tartu")]).ok)
    return table


def domains_of(table: LookupTable, address: str) -> list[str]:
    names = [vm.name.rsplit("-", 1)[0] for vm in table.answer(address, PAYMENTS).vms]
    return list(dict.fromkeys(names))


@pytest.mark.parametrize(("address", "first"), [("10.1.1.1", TARTU), ("11.1.1.1", HARJU)])
def test_answer_starts_with_the_site_or_the_own_domain(address: str, first: str) -> None:
    domains = domains_of(make_table(), address)
    assert domains[0] == first and set(domains) == set(REGIONS)


def test_assignment_and_its_failover_shares_come_first() -> None:
    table = make_table()
    route = CellRoute(PARNU, HARJU, TARTU)
    routes = {Cell("tartu", bucket): route for bucket in range(BUCKET_COUNT)}
    table.set_assignment(Assignment(PAYMENTS, 3, routes))
    assert domains_of(table, "10.1.1.1") == [PARNU, HARJU, TARTU]
    table.set_assignment(Assignment(PAYMENTS, 2, {}))
    answer = table.answer("10.1.1.1", PAYMENTS)
    assert (answer.map_version, answer.assignment_version) == (7, 3)


def test_leaving_vms_are_left_out_and_the_rest_share_the_cells() -> None:
    table = make_table()
    addresses = [f"10.1.{number}.1" for number in range(64)]
    first = {table.answer(address, PAYMENTS).vms[0].name for address in addresses}
    assert first == {"tartu-1-0", "tartu-1-1"}
    table.set_live_vms(VMS, leaving=[VmName("tartu-1-0")])
    named = {vm.name for address in addresses for vm in table.answer(address, PAYMENTS).vms}
    assert "tartu-1-0" not in named and "tartu-1-1" in named
