"""Memory for request bodies: what fits, what is refused, and what relays do without room."""

from __future__ import annotations

import curio
import pytest

from siskinward.daemon.entry.refusals import Reason
from siskinward.daemon.entry.refusals import refuse
from siskinward.standins.memory_network import MemoryNetwork
from siskinward.standins.paused_clock import paused_kernel
from siskinward.state.identifiers import TargetName
from siskinward.transport.answer_memory import AnswerMemory
from siskinward.transport.body_memory import BodyLimits
from siskinward.transport.body_memory import BodyMemory
from siskinward.transport.body_memory import BodyShare
from siskinward.transport.body_memory import NoRoomForBodyError
from siskinward.transport.front_server import Arrival
from siskinward.transport.front_server import FrontServer
from siskinward.transport.http_messages import HttpRequest
from siskinward.transport.http_messages import HttpResponse
from siskinward.transport.relay_messages import RelayFailure
from siskinward.transport.relay_messages import RelayRequest
from siskinward.transport.relay_pool import RelayLimits
from siskinward.transport.relay_pool import RelayPool
from siskinward.transport.relay_server import RelayServer
from siskinward.transport.sockets import connect
from siskinward.transport.sockets import listen

HOST = "10.0.0.1"
PORT = 7601
WORK_S = 1.0
LIMITS = BodyLimits(total_bytes=1000, beside_largest_bytes=100)
RELAY_LIMITS = BodyLimits(total_bytes=1_000_000, beside_largest_bytes=0)


def test_body_memory_refuses_what_does_not_fit_beside_others() -> None:
    memory = BodyMemory(LIMITS)
    first, second = BodyShare(memory), BodyShare(memory)
    first.grow_to(600)
    second.grow_to(400)
    with pytest.raises(NoRoomForBodyError, match="401 bytes doesn't fit beside 600"):
        second.grow_to(401)
    first.free()
    first.free()
    second.grow_to(401)
    assert memory.held_bytes == 401


def test_body_memory_takes_the_largest_body_alone_and_small_ones_beside_it() -> None:
    memory = BodyMemory(LIMITS, largest_body_bytes=5000)
    BodyShare(memory).grow_to(5000)
    BodyShare(memory).grow_to(100)
    with pytest.raises(NoRoomForBodyError):
        BodyShare(memory).grow_to(1)


def test_body_memory_counts_a_body_that_shrinks_once() -> None:
    memory = BodyMemory(LIMITS)
    share = BodyShare(memory)
    share.grow_to(500)
    share.grow_to(20)
    assert memory.held_bytes == 500


def test_front_refuses_a_body_without_room_unread_and_takes_it_later() -> None:
    async def handle(arrival: Arrival) -> HttpResponse:
        await curio.sleep(WORK_S)
        return HttpResponse(200)

    async def send(size_bytes: int, sent_bytes: int) -> bytes:
        sock = await connect(HOST, PORT)
        async with sock:
            head = f"POST / HTTP/1.1\r\nhost: x\r\ncontent-length: {size_bytes}\r\n\r\n"
            await sock.sendall(head.encode() + bytes(sent_bytes))
            data: bytes = await sock.recv(65536)
            return data

    async def main() -> None:
        memory = BodyMemory(LIMITS)
        refused: list[NoRoomForBodyError] = []
        server = FrontServer(
            handle,
            bodies=memory,
            on_no_room=refused.append,
            no_room_response=refuse(Reason.NO_ROOM_FOR_BODY, 0.25),
        )
        await curio.spawn(server.serve, listen(HOST, PORT), daemon=True)
        first = await curio.spawn(send, 800, 800)
        await curio.sleep(0.1)
        response = await send(300, 1)
        assert response.startswith(b"HTTP/1.1 503")
        assert b"retry-after: 0.250" in response
        assert b"connection: close" in response
        assert len(refused) == 1
        assert (await send(200, 200)).startswith(b"HTTP/1.1 200")
        assert (await first.join()).startswith(b"HTTP/1.1 200")
        assert (await send(900, 900)).startswith(b"HTTP/1.1 200")
        await curio.sleep(0.1)
        assert memory.held_bytes == 0

    with paused_kernel(MemoryNetwork()) as kernel:
        kernel.run(main)


def test_front_frees_a_body_whose_caller_leaves_before_its_end() -> None:
    async def main() -> None:
        memory = BodyMemory(LIMITS)

        async def handle(arrival: Arrival) -> HttpResponse:
            return HttpResponse(200)

        server = FrontServer(handle, bodies=memory)
        await curio.spawn(server.serve, listen(HOST, PORT), daemon=True)
        sock = await connect(HOST, PORT)
        async with sock:
            await sock.sendall(b"POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 700\r\n\r\nabc")
            await curio.sleep(0.1)
            assert memory.held_bytes == 700
        await curio.sleep(0.1)
        assert memory.held_bytes == 0

    with paused_kernel(MemoryNetwork()) as kernel:
        kernel.run(main)


def test_relay_without_room_says_that_nothing_was_sent_and_relays_later() -> None:
    def request(size_bytes: int) -> RelayRequest:
        body = HttpRequest("POST", "/", (), bytes(size_bytes))
        return RelayRequest(TargetName("t"), HOST, 8080, 5.0, False, body)

    async def relay(message: RelayRequest) -> HttpResponse:
        await curio.sleep(WORK_S)
        return HttpResponse(200)

    async def main() -> None:
        memory = BodyMemory(RELAY_LIMITS)
        server = RelayServer(relay, memory)
        await curio.spawn(server.serve, listen(HOST, PORT), daemon=True)
        pool = RelayPool(RelayLimits(), PORT, AnswerMemory())
        first = await curio.spawn(pool.exchange, HOST, request(700_000))
        await curio.sleep(0.1)
        small = await curio.spawn(pool.exchange, HOST, request(500))
        refused = await pool.exchange(HOST, request(500_000))
        assert isinstance(refused, RelayFailure)
        assert refused.may_ask_another
        assert "no room" in refused.error.detail
        assert await first.join() == await small.join() == HttpResponse(200)
        assert await pool.exchange(HOST, request(500_000)) == HttpResponse(200)
        await curio.sleep(0.1)
        assert memory.held_bytes == 0

    with paused_kernel(MemoryNetwork()) as kernel:
        kernel.run(main)
