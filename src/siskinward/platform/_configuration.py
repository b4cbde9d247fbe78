"""Decodes the operator's configuration into the objects of ``siskinward.state.serving``."""

from __future__ import annotations

from typing import Any

from siskinward.platform._units import DecodeError
from siskinward.platform._units import check_name
from siskinward.platform._units import check_text
from siskinward.platform._units import decoding
from siskinward.platform._units import read_duration_s
from siskinward.platform._units import read_json
from siskinward.platform._units import read_list
from siskinward.platform._units import read_mapping
from siskinward.platform._units import read_number
from siskinward.platform._units import read_text
from siskinward.platform._units import read_texts
from siskinward.platform._units import read_version
from siskinward.platform._units import read_whole
from siskinward.state.identifiers import AccountName
from siskinward.state.identifiers import RegionName
from siskinward.state.identifiers import ServiceName
from siskinward.state.serving import AccountPolicy
from siskinward.state.serving import CallerLimits
from siskinward.state.serving import Repeatability
from siskinward.state.serving import ServedRoute
from siskinward.state.serving import ServedService
from siskinward.state.serving import ServingConfiguration
from siskinward.state.serving import WeightedService

# Only requests to ``safe`` routes may be executed more than once.
IDEMPOTENT_ROUTE_TYPE = "safe"
LARGEST_PRIORITY = 10**6
LARGEST_COUNT = 10**12


def decode_configuration(value: bytes) -> ServingConfiguration:
    """Decode ``op/config``; raises ``DecodeError`` that names the invalid object and field."""
    with decoding("config"):
        return _read_configuration(value)


def _read_configuration(value: bytes) -> ServingConfiguration:
    document = _parse_document(value)
    routes: list[ServedRoute] = []
    services: dict[ServiceName, ServedService] = {}
    accounts: list[AccountPolicy] = []
    limits = CallerLimits()
    for resource in read_list(document, "resources", "config"):
        kind = read_text(resource, "type", "resource")
        spec = read_mapping(resource, "spec", kind)
        # The ``limits`` resource has no name.
        metadata = read_mapping(resource, "metadata", kind)
        name = check_text(metadata.get("name", ""), f"{kind}.metadata.name")
        match kind:
            case "routes":
                routes.append(_decode_route(name, spec))
            case "services":
                services[ServiceName(name)] = _decode_service(name, spec)
            case "tenants":
                accounts.append(_decode_account(name, spec))
            case "limits":
                limits = _decode_limits(spec)
            case _:
                continue
    version = read_version(document.get("version"), "config.version")
    return ServingConfiguration(version, tuple(routes), services, tuple(accounts), limits)


def _parse_document(value: bytes) -> dict[str, Any]:
    document = read_json(value, "config")
    if not isinstance(document, dict):
        raise DecodeError("config", "expected a table")
    return document


def _decode_route(name: str, spec: dict[str, Any]) -> ServedRoute:
    where = f"route {name}"
    kind = read_text(spec, "route_type", where)
    is_idempotent = kind == IDEMPOTENT_ROUTE_TYPE
    return ServedRoute(
        name=name,
        host=read_text(spec, "host", where).lower(),
        path_prefix=read_text(spec, "prefix", where),
        repeatability=Repeatability.IDEMPOTENT if is_idempotent else Repeatability.AT_MOST_ONCE,
        timeout_s=read_duration_s(spec.get("timeout"), f"{where}.timeout"),
        latency_objective_s=read_duration_s(spec.get("target_latency"), f"{where}.target_latency"),
        priority=_read_priority(spec, where, default=0),
        services=_decode_services(spec, where),
        max_attempts=_read_count(spec, "max_attempts", where, default=1),
        is_public=bool(spec.get("public", False)),
        is_sticky=bool(spec.get("sticky", False)),
        home_regions=_decode_regions(spec, where),
    )


def _decode_services(spec: dict[str, Any], where: str) -> tuple[WeightedService, ...]:
    parts = read_list(spec, "traffic_split", where)
    if not parts:
        return (WeightedService(ServiceName(read_text(spec, "service", where)), 1.0),)
    services = tuple(
        WeightedService(
            ServiceName(read_text(part, "service", where)), _read_amount(part, "weight", where)
        )
        for part in parts
    )
    if not any(part.weight for part in services):
        raise DecodeError(f"{where}.traffic_split", "expected a weight above 0, found none")
    return services


def _decode_regions(spec: dict[str, Any], where: str) -> frozenset[RegionName]:
    # Absent or empty: every region is allowed.
    return frozenset(RegionName(name) for name in read_texts(spec, "allowed_regions", where))


def _read_amount(
    fields: dict[str, Any], name: str, where: str, default: float | None = None
) -> float:
    amount = read_number(fields, name, where, default)
    if amount < 0:
        raise DecodeError(f"{where}.{name}", f"expected 0 or more, found {amount}")
    return amount


def _read_count(fields: dict[str, Any], name: str, where: str, default: int | None = None) -> int:
    return read_whole(fields, name, where, smallest=0, largest=LARGEST_COUNT, default=default)


def _read_priority(spec: dict[str, Any], where: str, default: int | None = None) -> int:
    return read_whole(
        spec,
        "priority",
        where,
        smallest=-LARGEST_PRIORITY,
        largest=LARGEST_PRIORITY,
        default=default,
    )


def _decode_service(name: str, spec: dict[str, Any]) -> ServedService:
    where = f"service {name}"
    return ServedService(
        name=ServiceName(name),
        health_path=read_text(spec, "health_path", where),
        connection_limit=_read_count(spec, "max_connections", where),
        warmup_s=read_duration_s(spec.get("warmup", "0s"), f"{where}.warmup"),
        warmup_rate_per_s=_read_amount(spec, "warmup_per_s", where, 0),
    )


def _decode_account(name: str, spec: dict[str, Any]) -> AccountPolicy:
    where = f"tenant {name}"
    return AccountPolicy(
        name=AccountName(check_name(name, where)),
        keys=read_texts(spec, "api_keys", where),
        priority=None if spec.get("priority") is None else _read_priority(spec, where),
        rate_per_s=_read_amount(spec, "rate_per_s", where, 0),
        burst_requests=_read_amount(spec, "burst", where, 0),
        home_regions=_decode_regions(spec, where),
    )


def _decode_limits(spec: dict[str, Any]) -> CallerLimits:
    return CallerLimits(
        header_limit_bytes=_read_count(spec, "max_header_bytes", "limits"),
        body_limit_bytes=_read_count(spec, "max_body_bytes", "limits"),
        header_timeout_s=read_duration_s(spec.get("header_timeout"), "limits.header_timeout"),
        idle_timeout_s=read_duration_s(spec.get("idle_timeout"), "limits.idle_timeout"),
    )
