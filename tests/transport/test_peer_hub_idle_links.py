"""Idle links cost no traffic: they are not pinged, and are closed after the idle timeout."""

from __future__ import annotations

import contextlib
from collections import Counter
from typing import Any

import curio

from siskinward.coordination.events import VmIdentity
from siskinward.protocol.forwarding import ForwardReply
from siskinward.protocol.handshake import Ping
from siskinward.protocol.handshake import Pong
from siskinward.protocol.registry import create_codec
from siskinward.state.identifiers import DomainName
from siskinward.state.identifiers import IncarnationId
from siskinward.state.identifiers import VmName
from siskinward.transport.peer_hub import PeerAddress
from siskinward.transport.peer_hub import PeerHub
from siskinward.transport.peer_link import PeerLink
from siskinward.transport.peer_link import PeerSettings
from siskinward.transport.sockets import listen
from siskinward.transport.sockets import port_of
from siskinward.transport.traffic import Direction

HOST = "127.0.0.1"
MESSAGE = ForwardReply(7, "incarnation")
PING_INTERVAL_S = 0.05
PONG_TIMEOUT_S = 0.1
IDLE_TIMEOUT_S = 0.2
WAIT_LIMIT_S = 5.0


def make_hub(
    name: str, received: list[Any], sent: Counter[type], idle_timeout_s: float = IDLE_TIMEOUT_S
) -> PeerHub:
    async def on_message(message: Any, sender: VmIdentity) -> None:
        received.append(message)

    def on_traffic(message_type: type, direction: Direction, size_bytes: int) -> None:
        sent[message_type] += direction is Direction.OUT

    own = VmIdentity(VmName(name), DomainName("d"), IncarnationId(f"{name}-1"))
    settings = PeerSettings(
        own,
        b"secret",
        ping_interval_s=PING_INTERVAL_S,
        pong_timeout_s=PONG_TIMEOUT_S,
        idle_timeout_s=idle_timeout_s,
    )
    return PeerHub(settings, create_codec(), on_message, lambda error: None, on_traffic)


async def wait_until(condition: Any) -> None:
    async with curio.timeout_after(WAIT_LIMIT_S):
        while not condition():
            await curio.sleep(0.005)


def test_peer_hub_closes_an_idle_link_and_opens_it_again() -> None:
    async def main() -> None:
        received: list[Any] = []
        sent: Counter[type] = Counter()
        listener = listen(HOST, 0)
        port = port_of(listener)
        receiver = make_hub("receiver", received, Counter())
        await curio.spawn(receiver.serve, listener, daemon=True)
        sender = make_hub("sender", [], sent)
        sender.set_address(VmName("receiver"), PeerAddress(HOST, port))
        await sender.send(VmName("receiver"), MESSAGE)
        await wait_until(lambda: received == [MESSAGE])
        await wait_until(lambda: sender.link_count == 0)
        assert sent[Ping] <= 2, "an idle link is not pinged"
        await sender.send(VmName("receiver"), MESSAGE)
        await wait_until(lambda: received == [MESSAGE, MESSAGE])
        await sender.close()
        await receiver.close()

    curio.run(main)


def test_peer_hub_closes_the_idle_link_to_an_unreachable_peer() -> None:
    async def main() -> None:
        listener = listen(HOST, 0)
        port = port_of(listener)
        await listener.close()
        sender = make_hub("sender", [], Counter())
        sender.set_address(VmName("gone"), PeerAddress(HOST, port))
        await sender.send(VmName("gone"), MESSAGE)
        await wait_until(lambda: sender.link_count == 0)
        await sender.close()

    curio.run(main)


def test_peer_hub_reconnects_when_a_connection_goes_silent_after_a_pong() -> None:
    async def main() -> None:
        listener = listen(HOST, 0)
        port = port_of(listener)
        answered: list[Any] = []
        own = VmIdentity(VmName("receiver"), DomainName("d"), IncarnationId("receiver-1"))

        async def serve(sock: Any) -> None:
            link = PeerLink(sock, create_codec(), "sender")
            await link.handshake(PeerSettings(own, b"secret"), is_initiator=False)
            with contextlib.suppress(OSError):
                while True:
                    message = await link.read()
                    if isinstance(message, Ping) and not answered:
                        answered.append(message)
                        await link.write(Pong(message.serial))

        sender = make_hub("sender", [], Counter(), idle_timeout_s=WAIT_LIMIT_S)
        sender.set_address(VmName("receiver"), PeerAddress(HOST, port))
        await sender.send(VmName("receiver"), MESSAGE)
        first, _ = await listener.accept()
        await curio.spawn(serve, first, daemon=True)
        await wait_until(lambda: answered)
        await sender.send(VmName("receiver"), MESSAGE)
        async with curio.timeout_after(WAIT_LIMIT_S):
            second, _ = await listener.accept()
        await second.close()
        await sender.close()
        await listener.close()

    curio.run(main)
