"""The configuration that the operator publishes to the store stand-in."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING
from typing import Any

from attrs import define

if TYPE_CHECKING:
    from collections.abc import Sequence

HOST_NAME = "site.example"


@define
class OperatorConfiguration:
    """Resources of the operator's configuration; each ``encode`` raises the version."""

    resources: list[dict[str, Any]]
    version: int = 1

    def encode(self) -> bytes:
        """Raise the version and return the whole configuration as JSON."""
        self.version += 3
        return json.dumps({"version": f"r{self.version}", "resources": self.resources}).encode()

    def spec(self, kind: str, name: str) -> dict[str, Any]:
        """Return the ``spec`` of a resource for changing; raises ``KeyError`` if there is none."""
        for resource in self.resources:
            if resource["type"] == kind and resource["metadata"].get("name") == name:
                spec: dict[str, Any] = resource["spec"]
                return spec
        raise KeyError(f"{kind} {name}")

    def withdraw_key(self, account: str, key: str) -> bool:
        """Remove a key from the account; return False if it was already removed."""
        keys: list[str] = self.spec("tenants", account)["api_keys"]
        if key not in keys:
            return False
        keys.remove(key)
        return True


def create_configuration(
    services: Sequence[str], rate_per_s: float, burst: float
) -> OperatorConfiguration:
    """Return a configuration with a route for each service, two accounts and limits."""
    resources: list[dict[str, Any]] = []
    for service in services:
        resources.append(_route(service))
        resources.append(
            {
                "type": "services",
                "metadata": {"name": service},
                "spec": {
                    "health_path": "/health",
                    "max_connections": 330,
                    "warmup": "3s",
                    "warmup_per_s": 4.0,
                },
            }
        )
    for number in (1, 2):
        account: dict[str, Any] = {
            "api_keys": [f"key-{number}", f"spare-key-{number}"],
            "priority": 1,
            "rate_per_s": rate_per_s,
            "burst": burst,
            "allowed_regions": [],
        }
        resources.append(
            {"type": "tenants", "metadata": {"name": f"account-{number}"}, "spec": account}
        )
    limits = {
        "max_header_bytes": 16384,
        "max_body_bytes": 1 << 20,
        "header_timeout": "3000ms",
        "idle_timeout": "15000ms",
    }
    resources.append({"type": "limits", "metadata": {}, "spec": limits})
    return OperatorConfiguration(resources)


def _route(service: str) -> dict[str, Any]:
    spec: dict[str, Any] = {
        "host": HOST_NAME,
        "prefix": f"/{service}/",
        "route_type": "unsafe" if service == "bookings" else "safe",
        "timeout": "2000ms",
        "target_latency": "400ms",
        "priority": 2,
        "service": service,
        "max_attempts": 2,
        "public": False,
        "sticky": True,
        "allowed_regions": [],
    }
    return {"type": "routes", "metadata": {"name": f"r-{service}"}, "spec": spec}
