"""Compact encoding of all services' assignments.

A route takes three bytes per cell, which index a table of failure domain names.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

import msgpack
from expression import Error
from expression import Ok

from siskinward.coordination.planner import Assignment
from siskinward.coordination.planner import Cell
from siskinward.coordination.planner import CellRoute
from siskinward.state.client_map import BUCKET_COUNT
from siskinward.state.errors import StepError
from siskinward.state.identifiers import DomainName
from siskinward.state.identifiers import ServiceName

if TYPE_CHECKING:
    from collections.abc import Mapping
    from collections.abc import Sequence

    from expression import Result

Assignments = dict[ServiceName, Assignment]

ROUTE_BYTES = 3
SITE_BYTES = ROUTE_BYTES * BUCKET_COUNT
NO_ROUTE = bytes(ROUTE_BYTES)


def encode_assignments(assignments: Mapping[ServiceName, Assignment]) -> bytes:
    """Encode assignments deterministically; at most 255 failure domains are supported."""
    routes = [route for found in assignments.values() for route in found.routes.values()]
    names = {name for r in routes for name in (r.domain, r.domain_backup, r.region_backup) if name}
    domains = sorted(names)
    sites = sorted({cell.site for found in assignments.values() for cell in found.routes})
    numbers = {name: number for number, name in enumerate(domains, start=1)}
    rows = [
        [service, found.version, _pack_routes(found.routes, sites, numbers)]
        for service, found in sorted(assignments.items())
    ]
    packed: bytes = msgpack.packb([domains, sites, rows])
    return packed


def decode_assignments(content: bytes) -> Result[Assignments, StepError]:
    """Decode assignments."""
    try:
        domains, sites, rows = msgpack.unpackb(content)
        found = (_unpack_row(row, domains, sites) for row in rows)
        return Ok({assignment.service: assignment for assignment in found})
    except (ValueError, TypeError, IndexError, msgpack.UnpackException) as error:
        return Error(StepError("decode assignments", "content", str(error)))


def _pack_routes(
    routes: Mapping[Cell, CellRoute], sites: Sequence[str], numbers: Mapping[DomainName, int]
) -> bytes:
    packed = bytearray()
    for site in sites:
        for bucket in range(BUCKET_COUNT):
            route = routes.get(Cell(site, bucket))
            if route is None:
                packed += NO_ROUTE
                continue
            names = (route.domain, route.domain_backup, route.region_backup)
            packed += bytes(0 if name is None else numbers[name] for name in names)
    return bytes(packed)


def _unpack_row(row: Any, domains: Any, sites: Any) -> Assignment:
    match row:
        case [str() as service, int() as version, bytes() as packed] if isinstance(
            domains, list
        ) and len(packed) == SITE_BYTES * len(sites):
            return Assignment(ServiceName(service), version, _unpack_routes(packed, domains, sites))
        case _:
            raise ValueError(
                "expected a service name, a version and the packed routes of all sites"
            )


def _unpack_routes(
    packed: bytes, domains: list[Any], sites: Sequence[Any]
) -> dict[Cell, CellRoute]:
    names = [None, *(DomainName(str(name)) for name in domains)]
    routes = {}
    for number in range(len(packed) // ROUTE_BYTES):
        first, second, third = packed[number * ROUTE_BYTES : (number + 1) * ROUTE_BYTES]
        domain = names[first]
        if domain is not None:
            cell = Cell(str(sites[number // BUCKET_COUNT]), number % BUCKET_COUNT)
            routes[cell] = CellRoute(domain, names[second], names[third])
    return routes
