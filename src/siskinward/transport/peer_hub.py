"""Links to all other VMs: one outgoing stream per peer, any number of incoming ones.

Messages are sent on the outgoing stream and received on incoming ones. Pings are sent along with
messages, to detect outgoing streams whose peer no longer responds; messages queued meanwhile may be
lost, which the decision objects tolerate. An outgoing stream without messages is closed, so that a
VM keeps streams only to peers that it talks to.
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
from siskinward.transport.clock import read_clock_s
from siskinward.transport.peer_link import PeerLink
from siskinward.transport.sockets import accept
from siskinward.transport.sockets import connect
from siskinward.transport.task_set import TaskSet
from siskinward.transport.tls import start_tls
from siskinward.transport.traffic import Direction
from siskinward.transport.traffic import ignore_traffic

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from siskinward.coordination.events import VmIdentity
    from siskinward.protocol.codec import MessageCodec
    from siskinward.state.identifiers import VmName
    from siskinward.transport.peer_link import PeerSettings
    from siskinward.transport.traffic import TrafficCallback

OUTBOX_LIMIT_MESSAGES = 4096
RECONNECT_DELAY_S = 0.3
EMPTY_FRAME = b""
CONNECT_TIMEOUT_S = 1.0


@frozen
class PeerAddress:
    """Address at which a VM accepts streams of other VMs."""

    host: str
    port: int


class PeerHub:
    """Sends messages to VMs by name and passes received ones to ``on_message``."""

    def __init__(
        self,
        settings: PeerSettings,
        codec: MessageCodec,
        on_message: Callable[[Any, VmIdentity], Awaitable[None]],
        on_error: Callable[[StepError], None],
        on_traffic: TrafficCallback = ignore_traffic,
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

    @property
    def link_count(self) -> int:
        """Number of outgoing links."""
        return len(self._outgoing)

    def set_address(self, vm: VmName, address: PeerAddress) -> None:
        """Set the address at which a VM accepts streams."""
        self._addresses[vm] = address

    def has_address(self, vm: VmName) -> bool:
        """Return whether the VM's address is known."""
        return vm in self._addresses

    async def identify(self, address: PeerAddress) -> VmIdentity | None:
        """Return the identity of the VM at an address, and record the address as that VM's.

        Return None if the address is unreachable or the handshake fails.
        """
        try:
            async with curio.timeout_after(CONNECT_TIMEOUT_S):
                sock = await _connect(self._settings, address)
        except (OSError, curio.TaskTimeout):
            return None
        link = PeerLink(sock, self._codec, f"{address.host}:{address.port}", self._on_traffic)
        result = await link.handshake(self._settings, is_initiator=True)
        await link.close()
        if result.is_error():
            self._on_error(result.error)
            return None
        self.set_address(result.ok.vm, address)
        return result.ok

    async def send(self, to: VmName, message: Any) -> bool:
        """Queue a message; return False if the peer's address is unknown or its queue is full."""
        if to == self._settings.own.vm:
            await self._on_message(message, self._settings.own)
            return True
        address = self._addresses.get(to)
        if address is None:
            self.dropped_count += 1
            return False
        link = self._outgoing.get(to)
        if link is None or link.address != address:
            link = await self._open_link(to, address)
        link.was_used = True
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
                sock, address = await accept(listener)
                peer = f"{address[0]}:{address[1]}"
                self._incoming.discard_ended()
                await self._incoming.spawn(self._serve_link, sock, peer)

    async def close(self) -> None:
        """Close all links and discard the messages that are still queued."""
        await self._incoming.cancel()
        for link in self._outgoing.values():
            await link.task.cancel()

    async def _open_link(self, to: VmName, address: PeerAddress) -> _OutgoingLink:
        previous = self._outgoing.get(to)
        if previous is not None and previous.task is not None:
            await previous.task.cancel(blocking=False)
        link = _OutgoingLink(
            self._settings, self._codec, to, address, self._on_error, self._on_traffic
        )
        self._outgoing[to] = link
        link.task = await curio.spawn(self._run_link, link, daemon=True)
        return link

    async def _run_link(self, link: _OutgoingLink) -> None:
        await link.run()
        if self._outgoing.get(link.to) is link:
            del self._outgoing[link.to]

    async def _accept_tls(self, sock: Any) -> Any:
        tls = self._settings.tls
        if tls is None:
            return sock
        async with curio.timeout_after(CONNECT_TIMEOUT_S):
            return await start_tls(sock, tls.server, is_server=True)

    async def _serve_link(self, sock: Any, peer: str) -> None:
        try:
            sock = await self._accept_tls(sock)
        except (OSError, curio.TaskTimeout) as error:
            self._on_error(StepError("TLS handshake", peer, str(error)))
            await sock.close()
            return
        link = PeerLink(sock, self._codec, peer, self._on_traffic)
        async with sock:
            result = await link.handshake(self._settings, is_initiator=False)
            if result.is_error():
                self._on_error(result.error)
                return
            try:
                await self._receive_messages(link, result.ok)
            except SiskinwardError as error:
                self._on_error(error.error)
            except OSError:
                return

    async def _receive_messages(self, link: PeerLink, sender: VmIdentity) -> None:
        while True:
            message = await link.read()
            if isinstance(message, Ping):
                await link.write(Pong(message.serial))
            else:
                await self._on_message(message, sender)


class _OutgoingLink:
    """Stream to one peer with its queue of encoded messages; reconnects until it is idle."""

    def __init__(
        self,
        settings: PeerSettings,
        codec: MessageCodec,
        to: VmName,
        address: PeerAddress,
        on_error: Callable[[StepError], None],
        on_traffic: TrafficCallback,
    ) -> None:
        self._settings = settings
        self._codec = codec
        self.to = to
        self._on_error = on_error
        self._on_traffic = on_traffic
        self._serial = 0
        self._pong_awaited_since_s: float | None = None
        self._pinged_at_s = float("-inf")
        self._needs_ping = False
        self._used_at_s = 0.0
        self.was_used = True
        self.address = address
        self.outbox = curio.Queue(OUTBOX_LIMIT_MESSAGES)
        self.task: Any = None

    async def run(self) -> None:
        """Keep the link connected until no message was sent for ``idle_timeout_s``."""
        while not self._check_idle(read_clock_s()):
            try:
                await self._run_once()
            except SiskinwardError as error:
                self._on_error(error.error)
            except (OSError, curio.TaskTimeout):
                pass
            if not self._check_idle(read_clock_s()):
                await curio.sleep(RECONNECT_DELAY_S)

    def _check_idle(self, now_s: float) -> bool:
        if self.was_used:
            self.was_used = False
            self._used_at_s = now_s
        return now_s - self._used_at_s >= self._settings.idle_timeout_s

    async def _run_once(self) -> None:
        async with curio.timeout_after(CONNECT_TIMEOUT_S):
            sock = await _connect(self._settings, self.address)
        async with sock:
            peer = f"{self.address.host}:{self.address.port}"
            link = PeerLink(sock, self._codec, peer, self._on_traffic)
            result = await link.handshake(self._settings, is_initiator=True)
            if result.is_error():
                raise SiskinwardError(result.error)
            self._check_identity(result.ok)
            self._pong_awaited_since_s = None
            self._pinged_at_s = float("-inf")
            async with curio.TaskGroup(wait=any) as group:
                await group.spawn(self._run_until_error, self._write, link)
                await group.spawn(self._watch_liveness)
                await group.spawn(self._run_until_error, self._read_pongs, link)

    async def _run_until_error(self, call: Callable[..., Awaitable[None]], link: PeerLink) -> None:
        try:
            await call(link)
        except SiskinwardError as error:
            self._on_error(error.error)
        except OSError:
            return

    def _check_identity(self, identity: VmIdentity) -> None:
        if identity.vm == self.to:
            return
        detail = f"expected VM {self.to}, found {identity.vm}"
        peer = f"{self.address.host}:{self.address.port}"
        raise SiskinwardError(StepError("handshake", peer, detail))

    async def _write(self, link: PeerLink) -> None:
        while True:
            frames = [await self.outbox.get()]
            while not self.outbox.empty():
                frames.append(await self.outbox.get())
            now_s = read_clock_s()
            self._needs_ping = not self._is_ping_due(now_s)
            if not self._needs_ping:
                frames.append(self._make_ping(now_s))
            await link.write_frames(frames)

    def _is_ping_due(self, now_s: float) -> bool:
        return now_s - self._pinged_at_s >= self._settings.ping_interval_s

    def _make_ping(self, now_s: float) -> bytes:
        self._pinged_at_s = now_s
        if self._pong_awaited_since_s is None:
            self._pong_awaited_since_s = now_s
        self._serial += 1
        frame = self._codec.encode(Ping(self._serial))
        self._on_traffic(Ping, Direction.OUT, len(frame))
        return frame

    async def _watch_liveness(self) -> None:
        """Return when a pong is overdue or the link is idle; wake the writer when a ping is due."""
        while True:
            now_s = read_clock_s()
            since_s = self._pong_awaited_since_s
            if since_s is not None and now_s - since_s >= self._settings.pong_timeout_s:
                return
            if self._needs_ping and self._is_ping_due(now_s) and not self.outbox.full():
                # Wakes the writer, which adds the ping.
                await self.outbox.put(EMPTY_FRAME)
            if self._check_idle(now_s):
                return
            await curio.sleep(self._settings.ping_interval_s)

    async def _read_pongs(self, link: PeerLink) -> None:
        while isinstance(message := await link.read(), Pong):
            is_last = message.serial == self._serial
            self._pong_awaited_since_s = None if is_last else read_clock_s()


async def _connect(settings: PeerSettings, address: PeerAddress) -> Any:
    sock = await connect(address.host, address.port)
    if settings.tls is None:
        return sock
    return await start_tls(sock, settings.tls.client, is_server=False)
