"""A small deployment on a paused clock, over real sockets on loopback."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING
from typing import Any

import curio
import pytest
from attrs import define

from siskinward.standins.deployment import Deployment
from siskinward.standins.deployment import DeploymentSettings
from siskinward.state.configuration import parse_configuration
from siskinward.state.key_table import hash_key

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from siskinward.transport.http_messages import HttpResponse


def configuration_text() -> str:
    """Two regions with one failure domain each; each has one VM and one target per service."""
    lines = ["[region north]", "[region south]"]
    lines += ["[failure-domain a]", "region = north", "[failure-domain b]", "region = south"]
    for number, domain in enumerate(("a", "b")):
        lines += [f"[vm vm-{domain}]", f"failure_domain = {domain}", "host = 127.0.0.1"]
        lines += [f"front_port = {20001 + number}", f"peer_port = {20011 + number}"]
    for service, kind in (("listings", "read"), ("bookings", "order")):
        lines += [f"[service {service}]", f"service_class = {kind}", "timeout_s = 3"]
    lines += ["[route listings]", "service = listings", "path_prefix = /listings"]
    lines += ["methods = GET"]
    lines += ["[route open]", "service = listings", "path_prefix = /open", "methods = GET"]
    lines += ["access = open"]
    lines += ["[route bookings]", "service = bookings", "path_prefix = /bookings"]
    lines += ["methods = POST", "idempotent = no"]
    groups = [(service, domain) for service in ("listings", "bookings") for domain in "ab"]
    for number, (service, domain) in enumerate(groups):
        lines += [f"[target-group {service}-{domain}]", f"service = {service}"]
        lines += [f"failure_domain = {domain}"]
        lines += [f"[target {service}-{domain}-1]", f"group = {service}-{domain}"]
        lines += ["host = 127.0.0.1", f"port = {20021 + number}", "slots = 3"]
        lines += ["connection_limit = 50"]
    for domain in "ab":
        lines += [f"[site site-{domain}]", f"failure_domain = {domain}"]
    for account in ("alpha", "beta"):
        lines += [f"[client-account {account}]", "rate_per_s = 50", "burst_tokens = 100"]
        if account == "beta":
            lines += ["when_isolated = serve"]
        lines += [f"[key {account}-1]", f"client_account = {account}"]
        lines += [f"key_hash_hex = {hash_key('demo-' + account).hex()}"]
    return "\n".join(lines) + "\n"


@define
class SmallDeployment(Deployment):
    """A deployment with helpers for common calls."""

    kernel: Any = None

    def run(self, body: Callable[[], Awaitable[Any]]) -> None:
        """Start everything on the paused clock, run ``body``, stop everything."""

        async def main() -> None:
            await self.start()
            try:
                await body()
            finally:
                await self.stop()

        self.kernel.run(main)

    def front_port(self, vm: str) -> int:
        return self.configuration.vms[vm].front_port  # type: ignore[index]

    async def get(self, vm: str, path: str, account: str | None = None) -> HttpResponse | None:
        return await self.call(vm, "GET", path, _authorization(account))

    async def tickets(self, vm: str, count: int) -> list[str]:
        response = await self.call(vm, "GET", f"/lookup?service=bookings&tickets={count}")
        assert response is not None
        return list(json.loads(response.body)["tickets"])

    async def book(self, vm: str, ticket: str | None, body: bytes = b"{}") -> HttpResponse | None:
        headers = _authorization("alpha")
        if ticket is not None:
            headers = (*headers, (b"idempotency-key", ticket.encode()))
        return await self.call(vm, "POST", "/bookings/x", headers, body)

    def booking_runs(self) -> list[int]:
        """Return how often each booking that reached a target ran."""
        targets = [t for name, t in self.targets.items() if name.startswith("bookings")]
        return [count for target in targets for count in target.runs_by_id.values()]

    async def wait_for(self, vm: str, condition: Callable[[dict[str, Any]], bool]) -> None:
        async with curio.timeout_after(60.0):
            while not condition(await self.health(vm)):
                await curio.sleep(0.02)


def _authorization(account: str | None) -> tuple[tuple[bytes, bytes], ...]:
    if account is None:
        return ()
    return ((b"authorization", f"Bearer demo-{account}".encode()),)


@pytest.fixture
def deployment(paused_kernel: Any) -> SmallDeployment:
    """Return a deployment that runs on the paused clock."""
    parsed = parse_configuration(configuration_text(), "test")
    assert parsed.is_ok(), str(parsed.error)
    settings = DeploymentSettings(service_time_s=0.002, has_latency=False, look_up_ttl_s=0.2)
    return SmallDeployment(settings, parsed.ok, kernel=paused_kernel)
