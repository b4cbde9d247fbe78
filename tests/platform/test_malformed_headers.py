"""A malformed number in a header loses no answer and no request."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

import curio
import pytest
from site_calls import call_all

from siskinward.platform._headers import HEADERS
from siskinward.transport.clock import read_clock_s

if TYPE_CHECKING:
    from siskinward.platform.standins import Site
    from siskinward.standins.memory_network import MemoryNetwork

VM = "vm-bud-a-0"
LONG_NUMBER = b"9" * 5000


@pytest.mark.parametrize(
    "header",
    [
        (HEADERS.load, LONG_NUMBER + b",0,3"),
        (b"keep-alive", b"timeout=" + LONG_NUMBER),
        (HEADERS.rate_limit, LONG_NUMBER),
    ],
    ids=lambda item: item[0].decode(),
)
def test_malformed_header_of_an_answer_does_not_lose_the_answer(
    run_site: Any, header: tuple[bytes, bytes]
) -> None:
    async def scenario(site: Site, network: MemoryNetwork) -> None:
        for target in site.targets.values():
            target.extra_headers = (header,)
        assert set(await call_all(site, 3)) == {200}
        assert set(await call_all(site, 3, "/bookings/{}")) == {200}
        assert site.runs("bookings") == 3 * len(site.vms)

    run_site(scenario)


def test_malformed_warmup_of_a_probe_is_read_as_the_whole_warmup(run_site: Any) -> None:
    async def scenario(site: Site, network: MemoryNetwork) -> None:
        limited = site.targets["listings-bud-a-0"]
        limited.extra_headers = ((HEADERS.warmup_left_ms, LONG_NUMBER),)
        target = site.vms[VM].steering.targets.get(limited.name)
        target.needs_probe = True
        await curio.sleep(1.0)
        assert not target.needs_probe
        assert target.is_cold(read_clock_s())
        assert limited.probes == 1

    run_site(scenario)


def test_malformed_time_left_of_a_caller_is_ignored(run_site: Any) -> None:
    async def scenario(site: Site, network: MemoryNetwork) -> None:
        request = site.request("/listings/1", headers=())
        headers = tuple(item for item in request.headers if item[0] != HEADERS.time_left_ms)
        headers = (*headers, (HEADERS.time_left_ms, LONG_NUMBER))
        malformed = type(request)(request.method, request.target, headers, request.body)
        assert (await site.send(VM, malformed)).status == 200

    run_site(scenario)
