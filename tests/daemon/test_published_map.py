"""Published client maps become active on every VM, by deltas, without failing a look-up."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING
from typing import Any

import curio

from siskinward.coordination.map_publisher import MapPublisher
from siskinward.coordination.map_publisher import PublishedMap
from siskinward.state.client_map import BlockSite
from siskinward.state.settings import PlatformSettings
from siskinward.transport.platform_client import PlatformClient

if TYPE_CHECKING:
    from conftest import SmallDeployment

ACTIVATION_LIMIT_S = 5.0


def map_publisher(deployment: SmallDeployment) -> MapPublisher:
    client = PlatformClient(PlatformSettings("127.0.0.1", deployment.platform_port))
    return MapPublisher(client, client)


async def publish(
    deployment: SmallDeployment, sites: dict[str, str], publish_id: str
) -> PublishedMap:
    publisher = map_publisher(deployment)
    base = (await publisher.read()).ok
    blocks = [BlockSite(prefix, site) for prefix, site in sites.items()]
    return (await publisher.publish(blocks, base, publish_id)).ok


async def first_vm(deployment: SmallDeployment, vm: str, client: str) -> str:
    response = await deployment.get(vm, f"/lookup?service=listings&client={client}")
    assert response is not None
    return str(json.loads(response.body)["vms"][0]["vm"])


def test_client_map_becomes_active_on_every_vm_and_advances(
    deployment: SmallDeployment,
) -> None:
    async def body() -> None:
        steps: list[dict[str, Any]] = [
            {"10.0.0.0/8": "site-a", "11.0.0.0/8": "site-b"},
            {"10.0.0.0/8": "site-b", "11.0.0.0/8": "site-b", "10.1.0.0/16": "site-a"},
            {"10.0.0.0/8": "site-a"},
        ]
        for number, sites in enumerate(steps):
            published = await publish(deployment, sites, f"m{number}")
            assert published.pointer.version == number + 1
            await curio.sleep(ACTIVATION_LIMIT_S)
            for vm in deployment.vms:
                assert await first_vm(deployment, vm, "10.9.9.9") == (
                    "vm-a" if sites["10.0.0.0/8"] == "site-a" else "vm-b"
                )
        assert len(published.manifest.deltas) == 2

    deployment.run(body)


def test_one_of_two_concurrent_map_publications_fails(deployment: SmallDeployment) -> None:
    async def body() -> None:
        publisher = map_publisher(deployment)
        base = (await publisher.read()).ok
        first = await publisher.publish([BlockSite("10.0.0.0/8", "site-a")], base, "one")
        second = await publisher.publish([BlockSite("10.0.0.0/8", "site-b")], base, "two")
        assert first.is_ok()
        assert second.error.detail == "another map was published first"
        assert (await publisher.read()).ok.pointer.publish_id == "one"

    deployment.run(body)


def test_fresh_vm_without_the_platform_starts_from_its_peers(
    deployment: SmallDeployment,
) -> None:
    async def body() -> None:
        await publish(deployment, {"10.0.0.0/8": "site-b"}, "m")
        await deployment.kill_vm("vm-a")
        deployment.platform_cut_domains = {"a"}
        await deployment.start_vm("vm-a")
        await curio.sleep(3 * ACTIVATION_LIMIT_S)
        health = await deployment.health("vm-a")
        assert (health["ready"], health["standing"]) == (True, "Connected")
        served = await deployment.get("vm-a", "/listings/x", "alpha")
        assert served is not None and served.status == 200
        deployment.platform_cut_domains = set()
        await curio.sleep(3 * ACTIVATION_LIMIT_S)
        assert await first_vm(deployment, "vm-a", "10.9.9.9") == "vm-b"

    deployment.run(body)
