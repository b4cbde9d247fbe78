"""A caller is told that a request was not run only if no target ran it (real sockets)."""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable

import curio
import pytest
from loopback_site import LoopbackSite
from loopback_site import ScriptedTarget
from loopback_site import TargetConnection
from loopback_site import refusal
from loopback_site import run_loopback_site

from siskinward.transport.http_messages import HttpRequest

PROMISES = {408, 421, 429, 503}
WORK_S = 0.05
MOMENTS = ("before", "during", "after")
Copy = Callable[[TargetConnection], bytes]


async def run_with_copy(
    target: ScriptedTarget,
    connection: TargetConnection,
    request: HttpRequest,
    copy: Callable[[str], Awaitable[None]],
) -> None:
    """Run a request, with a chance to write something else at each moment."""
    await copy("before")
    target.begin_run(request)
    await curio.sleep(WORK_S)
    await copy("during")
    await connection.write(target.success(request))
    await copy("after")


def copying_script(*, echoes: bool = True) -> Callable[..., Awaitable[None]]:
    """Return a script that refuses first and later writes the refusal of its connection again.

    Paths end with what happens: ``full`` is always refused, ``again-MOMENT`` the first time, and
    ``MOMENT`` is when the copy is written.
    """
    seen: set[bytes] = set()

    async def script(
        target: ScriptedTarget, connection: TargetConnection, request: HttpRequest
    ) -> None:
        *_, kind = request.target.split("/")
        key = request.target.encode()
        if kind == "full" or (kind.startswith("again") and key not in seen):
            seen.add(key)
            await connection.refuse(refusal(request, echoes=echoes))
            return

        async def copy(moment: str) -> None:
            if kind.endswith(moment) and connection.refusal:
                await connection.write(connection.refusal)

        await run_with_copy(target, connection, request, copy)

    return script


async def check_booking(site: LoopbackSite, request: HttpRequest, vm: int = 0) -> None:
    """Send a booking; it runs once at most, and not at all if it is refused with a promise."""
    response = await site.send(request, vm)
    await curio.sleep(2 * WORK_S)
    runs = site.runs(request.target)
    assert runs <= 1
    assert runs == 0 or response.status not in PROMISES
    assert response.status != 200 or response.body == b"done"


@pytest.mark.parametrize("relays", [False, True], ids=["own", "relayed"])
def test_refusal_written_again_for_the_same_request_is_not_its_second_answer(relays: bool) -> None:
    async def scenario(site: LoopbackSite) -> None:
        for moment in MOMENTS:
            for number in range(4):
                await check_booking(site, site.request(f"/bookings/{number}/again-{moment}"))

    run_loopback_site(scenario, copying_script(), relays=relays, targets=2)


@pytest.mark.parametrize("relays", [False, True], ids=["own", "relayed"])
def test_refusal_written_again_on_another_connection_is_not_a_second_sends_answer(
    relays: bool,
) -> None:
    refused: set[tuple[str, str]] = set()

    async def script(
        target: ScriptedTarget, connection: TargetConnection, request: HttpRequest
    ) -> None:
        if (target.name, request.target) not in refused:
            refused.add((target.name, request.target))
            await connection.write(refusal(request))
            return

        async def copy(moment: str) -> None:
            if moment == "before":
                await connection.write(refusal(request))

        await run_with_copy(target, connection, request, copy)

    async def scenario(site: LoopbackSite) -> None:
        for number in range(4):
            await check_booking(site, site.request(f"/bookings/{number}/any"))

    run_loopback_site(scenario, script, relays=relays)


@pytest.mark.parametrize("relays", [False, True], ids=["own", "relayed"])
def test_refusal_without_an_id_written_again_is_not_another_requests_answer(relays: bool) -> None:
    async def scenario(site: LoopbackSite) -> None:
        for moment in MOMENTS:
            await site.send(site.request(f"/bookings/{moment}/full"))
            await check_booking(site, site.request(f"/bookings/x/{moment}"))

    run_loopback_site(scenario, copying_script(echoes=False), relays=relays)


@pytest.mark.parametrize("relays", [False, True], ids=["own", "relayed"])
def test_refusal_of_a_request_without_an_id_is_not_the_next_ones_answer(relays: bool) -> None:
    async def scenario(site: LoopbackSite) -> None:
        for moment in MOMENTS:
            for attempt_id in ("", None):
                path = f"/bookings/{attempt_id}/{moment}"
                await site.send(site.request(f"/bookings/{moment}/full", attempt_id=None))
                await check_booking(site, site.request(path, attempt_id=attempt_id))
                again = f"/bookings/{attempt_id}/again-{moment}"
                await check_booking(site, site.request(again, attempt_id=attempt_id))

    run_loopback_site(scenario, copying_script(), relays=relays)


@pytest.mark.parametrize("relays", [False, True], ids=["own", "relayed"])
def test_piece_of_an_earlier_refusal_before_an_answer_is_no_refusal(relays: bool) -> None:
    length = len(refusal(HttpRequest("POST", "/", ((b"x-attempt-id", b"attempt-00001"),))))

    async def script(
        target: ScriptedTarget, connection: TargetConnection, request: HttpRequest
    ) -> None:
        *_, kind = request.target.split("/")
        if kind == "full":
            await connection.refuse(refusal(request))
            return

        async def copy(moment: str) -> None:
            if moment == "before":
                await connection.write(connection.refusal[: int(kind)])

        await run_with_copy(target, connection, request, copy)

    async def scenario(site: LoopbackSite) -> None:
        for size in range(1, length + 1):
            await site.send(site.request(f"/bookings/{size}/full"))
            await check_booking(site, site.request(f"/bookings/x/{size}"))

    run_loopback_site(scenario, script, relays=relays)


@pytest.mark.parametrize("status", sorted(PROMISES))
@pytest.mark.parametrize("service", ["bookings", "listings"])
def test_status_of_a_target_that_ran_a_request_is_no_promise(service: str, status: int) -> None:
    async def script(
        target: ScriptedTarget, connection: TargetConnection, request: HttpRequest
    ) -> None:
        target.begin_run(request)
        await connection.write(target.success(request).replace(b"200 OK", b"%d Failed" % status))

    async def scenario(site: LoopbackSite) -> None:
        path = f"/{service}/1"
        response = await site.send(site.request(path))
        assert site.runs(path) >= 1
        assert response.status not in PROMISES

    run_loopback_site(scenario, script)


def test_statement_that_a_request_did_not_run_is_no_proof_beside_a_success() -> None:
    async def script(
        target: ScriptedTarget, connection: TargetConnection, request: HttpRequest
    ) -> None:
        target.begin_run(request)
        stated = target.success(request).replace(b"\r\n", b"\r\nX-Not-Executed: 1\r\n", 1)
        await connection.write(stated)

    async def scenario(site: LoopbackSite) -> None:
        await check_booking(site, site.request("/bookings/1"))

    run_loopback_site(scenario, script, targets=2)
