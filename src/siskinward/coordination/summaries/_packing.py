"""Compact encoding of reports: rows of values, with the name of each service written once."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

import msgpack

from siskinward.coordination.routing import ServiceLoad
from siskinward.coordination.summaries.reports import DomainSummary
from siskinward.coordination.summaries.reports import OwnerReport
from siskinward.coordination.summaries.reports import Reports
from siskinward.state.identifiers import DomainName
from siskinward.state.identifiers import IncarnationId
from siskinward.state.identifiers import ServiceName
from siskinward.state.identifiers import VmName

if TYPE_CHECKING:
    from collections.abc import Iterable

US_PER_S = 1_000_000


def pack_reports(reports: Reports) -> bytes:
    """Encode reports; service times are rounded to microseconds."""
    loads = [report.loads for report in reports.owners]
    loads += [summary.loads for summary in reports.domains]
    services = list(dict.fromkeys(load.service for group in loads for load in group))
    indexes = {service: index for index, service in enumerate(services)}
    owners = [
        [r.vm, r.incarnation, r.sequence, _pack_loads(r.loads, indexes)] for r in reports.owners
    ]
    domains = [
        [s.failure_domain, s.holder, s.epoch, s.sequence, _pack_loads(s.loads, indexes)]
        for s in reports.domains
    ]
    packed: bytes = msgpack.packb([services, owners, domains])
    return packed


def unpack_reports(content: bytes) -> Reports | None:
    """Decode reports; return ``None`` if ``content`` is malformed."""
    try:
        services, owners, domains = msgpack.unpackb(content)
        return Reports(
            tuple(_unpack_owner_report(row, services) for row in owners),
            tuple(_unpack_domain_summary(row, services) for row in domains),
        )
    except (ValueError, TypeError, IndexError, msgpack.UnpackException):
        return None


def _pack_loads(loads: Iterable[ServiceLoad], indexes: dict[ServiceName, int]) -> list[list[int]]:
    return [
        [indexes[x.service], x.slots, x.in_use, x.waiting, round(x.service_s * US_PER_S)]
        for x in loads
    ]


def _unpack_owner_report(row: Any, services: Any) -> OwnerReport:
    match row:
        case [str() as vm, str() as incarnation, int() as sequence, list() as loads]:
            unpacked = _unpack_loads(loads, services)
            return OwnerReport(VmName(vm), IncarnationId(incarnation), sequence, unpacked)
        case _:
            raise ValueError("malformed owner report")


def _unpack_domain_summary(row: Any, services: Any) -> DomainSummary:
    match row:
        case [str() as name, str() as holder, int() as epoch, int() as sequence, list() as loads]:
            unpacked = _unpack_loads(loads, services)
            return DomainSummary(DomainName(name), VmName(holder), epoch, sequence, unpacked)
        case _:
            raise ValueError("malformed domain summary")


def _unpack_loads(rows: list[Any], services: Any) -> tuple[ServiceLoad, ...]:
    return tuple(_unpack_load(row, services) for row in rows)


def _unpack_load(row: Any, services: Any) -> ServiceLoad:
    match row:
        case [int() as index, int() as slots, int() as in_use, int() as waiting, int() as took_us]:
            service = services[index]
        case _:
            raise ValueError("malformed load")
    is_valid = min(index, slots, in_use, waiting, took_us) >= 0 and isinstance(service, str)
    if not is_valid:
        raise ValueError("load out of range")
    return ServiceLoad(ServiceName(service), slots, in_use, waiting, took_us / US_PER_S)
