"""Links to all other VMs: one outgoing stream per peer, any number of incoming ones.

Messages are sent on the outgoing stream and received on incoming ones. A ping on each outgoing
stream finds connections that went silent; messages queued meanwhile may be lost, as the decision
objects expect.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

import curio
from attrs import frozen

from siskinward.protocol.handshake import Ping
from siskinward.protocol.handshake import Pong
from siskinward.state.errors import SiskinwardError
from siskinward.state.errors import StepError
from siskinward.transport.peer_link import PeerLink
from siskinward.transport.sockets import connect
from siskinward.transport.task_set import TaskSet
from siskinward.transport.traffic import Direction
from siskinward.transport.traffic import ignore_traffic

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from siskinward.coordination.events import VmIdentity
    from siskinward.protocol.codec import MessageCodec
    from siskinward.state.identifiers import VmName
    from siskinward.transport.peer_link import PeerSettings
    from siskinward.transport.traffic import TrafficCounter

OUTBOX_LIMIT_MESSAGES = 4096
PING_INTERVAL_S = 0.5
SILENCE_LIMIT_S = 2.0
RECONNECT_DELAY_S = 0.3
CONNECT_TIMEOUT_S = 1.0


@frozen
class PeerAddress:
    """Where a VM accepts streams of other VMs."""

    host: str
    port: int


class PeerHub:
    """Sends messages to VMs by name and hands received ones to ``on_message``."""

    def __init__(
        self,
        settings: PeerSettings,
        codec: MessageCodec,
        on_message: Callable[[Any, VmIdentity], Awaitable[None]],
        on_error: Callable[[StepError], None],
        on_traffic: TrafficCounter = ignore_traffic,
    ) -> None:
        self._settings = settings
        self._codec = codec
        self._on_message = on_message
        self._on_error = on_error
        self._on_traffic = on_traffic
        self._addresses: dict[VmName, PeerAddress] = {}
        self._outgoing: dict[VmName, _OutgoingLink] = {}
        self._incoming = TaskSet()
        self.dropped_count = 0

    def set_address(self, vm: VmName, address: PeerAddress) -> None:
        """Learn or change where a VM accepts streams."""
        self._addresses[vm] = address

    def has_address(self, vm: VmName) -> bool:
        """Tell whether the VM's address is known."""
        return vm in self._addresses

    async def send(self, to: VmName, message: Any) -> bool:
        """Queue a message; False when the peer is unknown or its queue is full."""
        if to == self._settings.own.vm:
            await self._on_message(message, self._settings.own)
            return True
        address = self._addresses.get(to)
        if address is None:
            self.dropped_count += 1
            return False
        link = self._outgoing.get(to)
        if link is None or link.address != address:
            link = await self._open(to, address)
        frame = self._codec.encode(message)
        if link.outbox.full():
            self.dropped_count += 1
            return False
        self._on_traffic(type(message), Direction.OUT, len(frame))
        await link.outbox.put(frame)
        return True

    async def serve(self, listener: Any) -> None:
        """Accept streams of other VMs on a socket of ``listen`` until cancelled."""
        async with listener:
            while True:
                sock, address = await listener.accept()
                peer = f"{address[0]}:{address[1]}"
                self._incoming.discard_ended()
                await self._incoming.spawn(self._serve_link, sock, peer)

    async def close(self) -> None:
        """Close all links, with whatever is still queued."""
        await self._incoming.cancel()
        for link in self._outgoing.values():
            await link.task.cancel()

    async def _open(self, to: VmName, address: PeerAddress) -> _OutgoingLink:
        previous = self._outgoing.get(to)
        if previous is not None and previous.task is not None:
            await previous.task.cancel(blocking=False)
        link = _OutgoingLink(
            self._settings, self._codec, to, address, self._on_error, self._on_traffic
        )
        self._outgoing[to] = link
        link.task = await curio.spawn(link.run, daemon=True)
        return link

    async def _serve_link(self, sock: Any, peer: str) -> None:
        link = PeerLink(sock, self._codec, peer, self._on_traffic)
        async with sock:
            result = await link.handshake(self._settings, is_initiator=False)
            if result.is_error():
                self._on_error(result.error)
                return
            try:
                await self._receive(link, result.ok)
            except SiskinwardError as error:
                self._on_error(error.error)
            except OSError:
                return

    async def _receive(self, link: PeerLink, sender: VmIdentity) -> None:
        while True:
            message = await link.read()
            if isinstance(message, Ping):
                await link.write(Pong(message.serial))
            else:
                await self._on_message(message, sender)


class _OutgoingLink:
    def __init__(
        self,
        settings: PeerSettings,
        codec: MessageCodec,
        to: VmName,
        address: PeerAddress,
        on_error: Callable[[StepError], None],
        on_traffic: TrafficCounter,
    ) -> None:
        self._settings = settings
        self._codec = codec
        self._to = to
        self._on_error = on_error
        self._on_traffic = on_traffic
        self._pong_at_s = 0.0
        self.address = address
        self.outbox = curio.Queue(OUTBOX_LIMIT_MESSAGES)
        self.task: Any = None

    async def run(self) -> None:
        while True:
            try:
                await self._run_once()
            except SiskinwardError as error:
                self._on_error(error.error)
            except (OSError, curio.TaskTimeout):
                pass
            await curio.sleep(RECONNECT_DELAY_S)

    async def _run_once(self) -> None:
        async with curio.timeout_after(CONNECT_TIMEOUT_S):
            sock = await connect(self.address.host, self.address.port)
        async with sock:
            peer = f"{self.address.host}:{self.address.port}"
            link = PeerLink(sock, self._codec, peer, self._on_traffic)
            result = await link.handshake(self._settings, is_initiator=True)
            if result.is_error():
                raise SiskinwardError(result.error)
            self._check_peer(result.ok)
            self._pong_at_s = await curio.clock()
            async with curio.TaskGroup(wait=any) as group:
                await group.spawn(self._write, link)
                await group.spawn(self._ping)
                await group.spawn(self._read_pongs, link)
            if group.exception is not None:
                raise group.exception

    def _check_peer(self, identity: VmIdentity) -> None:
        if identity.vm == self._to:
            return
        detail = f"expected VM {self._to}, found {identity.vm}"
        peer = f"{self.address.host}:{self.address.port}"
        raise SiskinwardError(StepError("handshake", peer, detail))

    async def _write(self, link: PeerLink) -> None:
        while True:
            frames = [await self.outbox.get()]
            while not self.outbox.empty():
                frames.append(await self.outbox.get())
            await link.write_frames(frames)

    async def _ping(self) -> None:
        serial = 0
        while await curio.clock() - self._pong_at_s < SILENCE_LIMIT_S:
            serial += 1
            if not self.outbox.full():
                frame = self._codec.encode(Ping(serial))
                self._on_traffic(Ping, Direction.OUT, len(frame))
                await self.outbox.put(frame)
            await curio.sleep(PING_INTERVAL_S)

    async def _read_pongs(self, link: PeerLink) -> None:
        while isinstance(await link.read(), Pong):
            self._pong_at_s = await curio.clock()
