"""The operator's config: routes for ``listings`` (safe), ``bookings`` and ``sheets`` (unsafe)."""

from __future__ import annotations

import json

SERVICES = ("listings", "bookings")
# Prefix, service, route type, timeout and response-time goal of each route.
ROUTES = (
    ("listings", "listings", "safe", "1500ms", "400ms"),
    ("bookings", "bookings", "unsafe", "2000ms", "600ms"),
    ("sheets", "bookings", "unsafe", "6000ms", "1500ms"),
)


def encode_configuration(version: int = 4) -> bytes:
    resources: list[dict[str, object]] = []
    for prefix, service, kind, timeout, goal in ROUTES:
        route = {
            "host": "site.example",
            "prefix": f"/{prefix}/",
            "route_type": kind,
            "timeout": timeout,
            "target_latency": goal,
            "priority": 1,
            "service": service,
            "max_attempts": 2,
            "public": False,
            "sticky": True,
            "allowed_regions": [],
        }
        resources.append({"type": "routes", "metadata": {"name": f"r-{prefix}"}, "spec": route})
    for service in SERVICES:
        limits = {
            "health_path": "/health",
            "max_connections": 330,
            "protocol": "h1",
            "tls": False,
            "warmup": "3s",
            "warmup_per_s": 4.4,
        }
        resources.append({"type": "services", "metadata": {"name": service}, "spec": limits})
    account = {
        "api_keys": ["key-1"],
        "priority": 1,
        "rate_per_s": 0,
        "burst": 0,
        "allowed_regions": [],
    }
    resources.append({"type": "tenants", "metadata": {"name": "account-1"}, "spec": account})
    limits = {
        "max_header_bytes": 16384,
        "max_body_bytes": 67108864,
        "header_timeout": "3000ms",
        "idle_timeout": "15000ms",
    }
    resources.append({"type": "limits", "metadata": {}, "spec": limits})
    return json.dumps({"version": f"r{version}", "resources": resources}).encode()
