"""Measures message sizes of planned shifts: demand reports and assignment contents."""

from __future__ import annotations

from siskinward.coordination.assignment_content import encode_assignments
from siskinward.coordination.demand import DemandSettings
from siskinward.coordination.demand.reports import ServiceDemand
from siskinward.coordination.demand.reports import pack_demands
from siskinward.coordination.planner import Assignment
from siskinward.coordination.planner import Cell
from siskinward.coordination.planner import CellRoute
from siskinward.state.client_map import BUCKET_COUNT
from siskinward.state.content_delta import make_delta
from siskinward.state.identifiers import DomainName
from siskinward.state.identifiers import ServiceName

SITES = 120
DOMAINS = 20
DOMAIN_VMS = 30
SERVICES = 6


def main() -> None:
    """Print sizes of a domain's demand report, of all assignments and of the delta of a step."""
    domains = [DomainName(f"domain-{number}") for number in range(DOMAINS)]
    services = [ServiceName(f"service-{number}") for number in range(SERVICES)]
    cells = [Cell(f"site-{site}", b) for site in range(SITES) for b in range(BUCKET_COUNT)]
    own_count = len(cells) // DOMAINS
    for label, count in (("its own cells", own_count), ("all cells", len(cells))):
        demands = dict.fromkeys(cells[:count], 17.25)
        report = tuple(ServiceDemand(service, 1234.5, demands) for service in services)
        size_bytes = len(pack_demands(report))
        per_s = DOMAINS * size_bytes / DemandSettings().interval_s
        print(f"domain report of {label}: {size_bytes} bytes; {per_s:.0f} bytes/s to the planner")
        holder_per_s = DOMAIN_VMS * size_bytes / DemandSettings().interval_s
        print(f"  the same from {DOMAIN_VMS} VMs: {holder_per_s:.0f} bytes/s to the grant holder")
    homes = {
        cell: CellRoute(domains[number * DOMAINS // len(cells)], domains[1], domains[2])
        for number, cell in enumerate(cells)
    }
    moved = {c: CellRoute(domains[9], r.domain_backup) for c, r in list(homes.items())[:own_count]}
    before = encode_assignments({name: Assignment(name, 1, homes) for name in services})
    after = encode_assignments({name: Assignment(name, 2, homes | moved) for name in services})
    delta = make_delta(before, after)
    print(f"assignments: {len(before)} bytes; delta of a step: {len(delta.middle)} bytes")


if __name__ == "__main__":
    main()
