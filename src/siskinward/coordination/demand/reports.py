"""Reports of each service's demand and serving capacity, and their compact encoding."""

from __future__ import annotations

from collections import defaultdict
from math import ceil
from typing import TYPE_CHECKING
from typing import Any

import msgpack
from attrs import field
from attrs import frozen

from siskinward.coordination.planner import Cell
from siskinward.state.identifiers import ServiceName

if TYPE_CHECKING:
    from collections.abc import Iterable

MILLI = 1000
RATE_SCALE = 10


@frozen
class ServiceDemand:
    """Demand and capacity of one service.

    ``demands`` has the look-ups per second of each cell. ``capacity_per_s`` is the rate of requests
    that owned targets can serve. ``requests_per_s`` is the rate of requests that callers sent. It
    can exceed the rate of look-ups, because callers keep the answers of look-ups for a while.
    """

    service: ServiceName
    capacity_per_s: float
    demands: dict[Cell, float] = field(factory=dict)
    requests_per_s: float = 0.0


def sum_demands(reports: Iterable[tuple[ServiceDemand, ...]]) -> tuple[ServiceDemand, ...]:
    """Return the sum of reports for each service."""
    capacities: dict[ServiceName, float] = defaultdict(float)
    requests: dict[ServiceName, float] = defaultdict(float)
    demands: dict[ServiceName, dict[Cell, float]] = defaultdict(lambda: defaultdict(float))
    for report in reports:
        for item in report:
            capacities[item.service] += item.capacity_per_s
            requests[item.service] += item.requests_per_s
            for cell, amount in item.demands.items():
                demands[item.service][cell] += amount
    return tuple(
        ServiceDemand(service, capacity, dict(demands[service]), requests[service])
        for service, capacity in capacities.items()
    )


def pack_demands(report: tuple[ServiceDemand, ...]) -> bytes:
    """Encode a report.

    Rates are rounded up to tenths, capacities to the nearest thousandth.
    """
    rows = []
    for item in report:
        sites: dict[str, list[int]] = defaultdict(list)
        for cell, amount in item.demands.items():
            sites[cell.site] += [cell.bucket, ceil(amount * RATE_SCALE)]
        capacity = round(item.capacity_per_s * MILLI)
        rows.append([item.service, capacity, ceil(item.requests_per_s * RATE_SCALE), sites])
    packed: bytes = msgpack.packb(rows)
    return packed


def unpack_demands(content: bytes) -> tuple[ServiceDemand, ...] | None:
    """Return the report in ``content``, or None if it is malformed."""
    try:
        return tuple(_unpack_row(row) for row in msgpack.unpackb(content))
    except (ValueError, TypeError, msgpack.UnpackException):
        return None


def _unpack_row(row: Any) -> ServiceDemand:
    match row:
        case [str() as service, int() as capacity, requests, dict() as sites] if capacity >= 0:
            demands: dict[Cell, float] = {}
            for site, values in sites.items():
                for bucket, amount in zip(values[::2], values[1::2], strict=True):
                    demands[_unpack_cell(site, bucket)] = _unpack_rate(amount)
            requests_per_s = _unpack_rate(requests)
            return ServiceDemand(ServiceName(service), capacity / MILLI, demands, requests_per_s)
        case _:
            raise ValueError("malformed demand")


def _unpack_cell(site: Any, bucket: Any) -> Cell:
    if not isinstance(site, str) or not isinstance(bucket, int):
        raise ValueError("malformed cell")
    return Cell(site, bucket)


def _unpack_rate(amount: Any) -> float:
    if not isinstance(amount, int) or amount < 0:
        raise ValueError("malformed rate")
    return amount / RATE_SCALE
