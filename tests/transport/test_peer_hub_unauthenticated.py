"""Unauthenticated peers: the hub ignores their messages and stays up."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import curio
import msgpack
import pytest
from attrs import define
from attrs import field

from siskinward.coordination.events import VmIdentity
from siskinward.protocol.forwarding import ForwardReply
from siskinward.protocol.handshake import Hello
from siskinward.protocol.handshake import compute_proof
from siskinward.protocol.registry import create_codec
from siskinward.state.errors import SiskinwardError
from siskinward.state.identifiers import DomainName
from siskinward.state.identifiers import IncarnationId
from siskinward.state.identifiers import VmName
from siskinward.transport.peer_hub import PeerAddress
from siskinward.transport.peer_hub import PeerHub
from siskinward.transport.peer_link import PeerLink
from siskinward.transport.peer_link import PeerSettings
from siskinward.transport.sockets import connect
from siskinward.transport.sockets import listen
from siskinward.transport.sockets import port_of
from siskinward.transport.tls import PeerTls
from siskinward.transport.tls import create_peer_tls

HOST = "127.0.0.1"
WAIT_LIMIT_S = 10.0
TLS_FOLDER = Path(__file__).parents[1] / "fixtures" / "tls"
CERTIFICATE = str(TLS_FOLDER / "certificate.pem")
KEY = str(TLS_FOLDER / "key.pem")
MESSAGE = ForwardReply(7, "incarnation")


def identity(name: str) -> VmIdentity:
    return VmIdentity(VmName(name), DomainName("d"), IncarnationId(f"{name}-1"))


@define
class Receiver:
    """A hub on a free port, the messages that it received and the errors that it reported."""

    port: int = 0
    received: list[Any] = field(factory=list)
    errors: list[str] = field(factory=list)
    hub: PeerHub | None = None

    async def start(
        self, secret: bytes = b"secret", port: int = 0, tls: PeerTls | None = None
    ) -> None:
        async def on_message(message: Any, sender: VmIdentity) -> None:
            self.received.append((message, sender))

        listener = listen(HOST, port)
        self.port = port_of(listener)
        settings = PeerSettings(identity("receiver"), secret, tls)
        self.hub = PeerHub(
            settings, create_codec(), on_message, lambda error: self.errors.append(error.detail)
        )
        await curio.spawn(self.hub.serve, listener, daemon=True)
        await curio.sleep(0.02)

    async def wait(self, items: list[Any]) -> None:
        async with curio.timeout_after(WAIT_LIMIT_S):
            while not items:
                await curio.sleep(0.005)


async def send_from(
    receiver: Receiver,
    name: str,
    secret: bytes,
    to: str = "receiver",
    tls: PeerTls | None = None,
) -> PeerHub:
    async def ignore(message: Any, sender: VmIdentity) -> None:
        return None

    errors = receiver.errors
    hub = PeerHub(
        PeerSettings(identity(name), secret, tls),
        create_codec(),
        ignore,
        lambda error: errors.append(error.detail),
    )
    hub.set_address(VmName(to), PeerAddress(HOST, receiver.port))
    await hub.send(VmName(to), MESSAGE)
    return hub


def test_peer_hub_delivers_from_a_peer_that_proves_the_secret() -> None:
    async def main() -> None:
        receiver = Receiver()
        await receiver.start()
        await send_from(receiver, "sender", b"secret")
        await receiver.wait(receiver.received)
        assert receiver.received == [(MESSAGE, identity("sender"))]

    curio.run(main)


def test_peer_hub_reaches_a_peer_that_starts_later() -> None:
    async def main() -> None:
        receiver = Receiver()
        probe = listen(HOST, 0)
        receiver.port = port_of(probe)
        await probe.close()
        await send_from(receiver, "sender", b"secret")
        await curio.sleep(0.05)
        await receiver.start(port=receiver.port)
        await receiver.wait(receiver.received)
        assert receiver.received == [(MESSAGE, identity("sender"))]

    curio.run(main)


def test_peer_hub_delivers_under_tls() -> None:
    async def main() -> None:
        receiver = Receiver()
        tls = create_peer_tls(CERTIFICATE, KEY, CERTIFICATE)
        await receiver.start(tls=tls)
        await send_from(receiver, "sender", b"secret", tls=tls)
        await receiver.wait(receiver.received)
        assert receiver.received == [(MESSAGE, identity("sender"))]

    curio.run(main)


def test_peer_hub_under_tls_refuses_a_plain_stream() -> None:
    async def main() -> None:
        receiver = Receiver()
        await receiver.start(tls=create_peer_tls(CERTIFICATE, KEY, CERTIFICATE))
        await send_from(receiver, "sender", b"secret")
        await receiver.wait(receiver.errors)
        assert receiver.received == []

    curio.run(main)


def test_peer_tls_names_the_files_it_cannot_load() -> None:
    with pytest.raises(SiskinwardError) as caught:
        create_peer_tls("absent.pem", KEY, CERTIFICATE)
    assert caught.value.error.step == "load TLS files"
    assert "absent.pem" in caught.value.error.peer


def test_peer_hub_refuses_a_wrong_secret() -> None:
    async def main() -> None:
        receiver = Receiver()
        await receiver.start()
        await send_from(receiver, "sender", b"another secret")
        await receiver.wait(receiver.errors)
        assert receiver.received == []
        assert receiver.errors[0] == "the shared secret was not proved"

    curio.run(main)


def test_peer_hub_sends_nothing_to_a_vm_of_another_name() -> None:
    async def main() -> None:
        receiver = Receiver()
        await receiver.start()
        await send_from(receiver, "sender", b"secret", to="elsewhere")
        await receiver.wait(receiver.errors)
        assert receiver.received == []
        assert receiver.errors[0] == "expected VM elsewhere, found receiver"

    curio.run(main)


@pytest.mark.parametrize(
    "data",
    [
        b"\xc1" * 16,
        b"GET / HTTP/1.1\r\nhost: x\r\n\r\n",
        msgpack.packb(["Hello", {"vm": 1}]),
        msgpack.packb(["Unknown", {}]),
        msgpack.packb(["ForwardReply", {"correlation_id": 1, "sender_incarnation": "x"}]),
        msgpack.packb(["Hello", [1]]),
        msgpack.packb(["Hello", ["vm", "d", "vm-1", 7]]),
        msgpack.packb(["Hello", [["vm"], "d", "vm-1", b"x" * 16, "more"]]),
        msgpack.packb({"a": 1}),
        b"\xdd\xff\xff\xff\xff",
        b"\xc6\xff\xff\xff\xff" + b"x" * 1024,
    ],
)
def test_peer_hub_survives_invalid_bytes_of_an_unauthenticated_peer(data: bytes) -> None:
    async def main() -> None:
        receiver = Receiver()
        await receiver.start()
        sock = await connect(HOST, receiver.port)
        await sock.sendall(data)
        await sock.close()
        await send_from(receiver, "sender", b"secret")
        await receiver.wait(receiver.received)
        assert [sender for _, sender in receiver.received] == [identity("sender")]
        assert receiver.errors

    curio.run(main)


def test_peer_hub_refuses_a_reflected_challenge() -> None:
    async def main() -> None:
        receiver = Receiver()
        await receiver.start()
        sock = await connect(HOST, receiver.port)
        link = PeerLink(sock, create_codec(), "receiver")
        challenge = await link.read()
        await link.write(challenge)
        await receiver.wait(receiver.errors)
        assert receiver.errors[0] == "the challenge was reflected"

    curio.run(main)


def test_proof_binds_the_identity_and_both_nonces() -> None:
    one = Hello("a", "d", "1", b"n1")
    other = Hello("b", "d", "2", b"n2")
    proof = compute_proof(b"secret", one, other)
    assert proof != compute_proof(b"secret", other, one)
    assert proof != compute_proof(b"secret", Hello("a", "e", "1", b"n1"), other)
    assert proof != compute_proof(b"secret", one, Hello("b", "d", "2", b"n3"))
