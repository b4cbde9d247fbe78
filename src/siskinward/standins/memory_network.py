"""In-memory sockets, which make runs on the paused clock deterministic."""

from __future__ import annotations

import socket
from collections import deque
from enum import Enum
from typing import TYPE_CHECKING
from typing import Any

import curio
from attrs import frozen

if TYPE_CHECKING:
    from collections.abc import Collection

Address = tuple[str, int]
FIRST_EPHEMERAL_PORT = 40_000


class CutKind(Enum):
    """What a cut between hosts does to connections: open ones and attempts to open one."""

    HANGS = "hangs"
    RESETS = "resets"
    REFUSES = "refuses"
    REFUSES_NEW = "refuses-new"


@frozen
class HostCut:
    """A cut of connections from some hosts to others."""

    kind: CutKind
    sources: frozenset[str]
    destinations: frozenset[str]

    def applies_to(self, source: str, destination: str) -> bool:
        """Return whether connections from one host to another are cut."""
        return source in self.sources and destination in self.destinations


@frozen
class _OpenConnection:
    source: str
    destination: str
    own_end: MemorySocket
    other_end: MemorySocket


class _Pipe:
    """One direction of a stream."""

    def __init__(self) -> None:
        self._data = bytearray()
        self._is_ended = False
        self._is_reset = False
        self._changed = curio.Event()

    @property
    def is_readable(self) -> bool:
        """Whether a read would return at once."""
        return bool(self._data) or self._is_ended or self._is_reset

    @property
    def has_ended(self) -> bool:
        """Whether the stream was reset, or has ended with nothing left to read."""
        return self._is_reset or (self._is_ended and not self._data)

    async def read(self, size_bytes: int) -> bytes:
        while not self.is_readable:
            self._changed.clear()
            await self._changed.wait()
        if self._is_reset:
            raise ConnectionResetError("the connection was reset")
        data = bytes(self._data[:size_bytes])
        del self._data[: len(data)]
        return data

    async def write(self, data: bytes) -> None:
        if self._is_reset:
            raise BrokenPipeError("the connection was reset")
        if not self._is_ended:
            self._data += data
            await self._changed.set()

    async def end(self) -> None:
        self._is_ended = True
        await self._changed.set()

    async def reset(self) -> None:
        self._is_reset = True
        await self._changed.set()


class MemorySocket:
    """One end of a stream. While ``is_silent``, everything that this end sends is lost."""

    def __init__(self, incoming: _Pipe, outgoing: _Pipe, peer: Address) -> None:
        self._incoming = incoming
        self._outgoing = outgoing
        self.peer = peer
        self.is_silent = False

    async def __aenter__(self) -> MemorySocket:
        return self

    async def __aexit__(self, *args: object) -> None:
        await self.close()

    @property
    def is_readable(self) -> bool:
        """Whether a read would return at once."""
        return self._incoming.is_readable

    @property
    def has_ended(self) -> bool:
        """Whether the stream has ended, with nothing left to read."""
        return self._incoming.has_ended

    def setsockopt(self, *args: object) -> None:
        """Accept any option."""

    async def recv(self, size_bytes: int) -> bytes:
        """Read what has arrived; empty at the end of the stream."""
        return await self._incoming.read(size_bytes)

    async def sendall(self, data: bytes) -> None:
        """Send data, then let the other tasks run."""
        if not self.is_silent:
            await self._outgoing.write(data)
        await curio.sleep(0)

    async def shutdown(self, how: int) -> None:
        """End the outgoing direction unless only reading is shut down."""
        if how in (socket.SHUT_WR, socket.SHUT_RDWR):
            await self._outgoing.end()

    async def close(self) -> None:
        """End the outgoing direction."""
        if not self.is_silent:
            await self._outgoing.end()

    async def reset(self) -> None:
        """Reset both directions."""
        await self._outgoing.reset()
        await self._incoming.reset()


class _Listener:
    def __init__(self, network: MemoryNetwork, address: Address) -> None:
        self._network = network
        self.address = address
        self._arrivals: curio.Queue = curio.Queue()

    async def __aenter__(self) -> _Listener:
        return self

    async def __aexit__(self, *args: object) -> None:
        self._network.listeners.pop(self.address, None)

    async def close(self) -> None:
        self._network.listeners.pop(self.address, None)

    async def accept(self) -> tuple[MemorySocket, Address]:
        arrived: tuple[MemorySocket, Address] = await self._arrivals.get()
        return arrived

    async def add(self, sock: MemorySocket) -> None:
        await self._arrivals.put((sock, sock.peer))


class _DatagramSocket:
    def __init__(self, network: MemoryNetwork, address: Address) -> None:
        self._network = network
        self._address = address
        self._arrivals: deque[tuple[bytes, Address]] = deque()
        self._changed = curio.Event()

    async def recvfrom(self, size_bytes: int) -> tuple[bytes, Address]:
        while not self._arrivals:
            self._changed.clear()
            await self._changed.wait()
        return self._arrivals.popleft()

    async def sendto(self, data: bytes, address: Address) -> int:
        self._network.datagrams_sent += 1
        receiver = self._network.datagrams.get(address)
        if receiver is not None and not self._network.is_cut(self._address[0], address[0]):
            receiver._arrivals.append((data, self._address))
            await receiver._changed.set()
        return len(data)

    async def close(self) -> None:
        self._network.datagrams.pop(self._address, None)


class MemoryNetwork:
    """All listeners and sockets of a run.

    Datagrams do not pass between a host in ``cut_hosts`` and one outside, nor between the hosts of
    a pair in ``cut_pairs``. Connections to a host in ``cut_hosts`` are not answered.
    ``cut_between`` cuts connections, not datagrams.
    """

    def __init__(self) -> None:
        self.listeners: dict[Address, _Listener] = {}
        self.datagrams: dict[Address, _DatagramSocket] = {}
        self.cut_hosts: set[str] = set()
        self.cut_pairs: set[frozenset[str]] = set()
        self.sockets: list[MemorySocket] = []
        self._connections: list[_OpenConnection] = []
        self._host_cuts: list[HostCut] = []
        self.datagrams_sent = 0
        self.caller_host = "10.9.9.9"
        self._last_port = FIRST_EPHEMERAL_PORT

    def is_cut(self, one: str, other: str) -> bool:
        """Return whether datagrams between two hosts are lost."""
        if frozenset((one, other)) in self.cut_pairs:
            return True
        return (one in self.cut_hosts) != (other in self.cut_hosts)

    async def cut_between(
        self, sources: Collection[str], destinations: Collection[str], kind: CutKind
    ) -> None:
        """Cut the connections from some hosts to others, until ``heal_cuts``.

        Open connections that hang carry nothing any more, even after that.
        """
        cut = HostCut(kind, frozenset(sources), frozenset(destinations))
        self._host_cuts.append(cut)
        for connection in self._connections:
            if cut.applies_to(connection.source, connection.destination):
                await _apply_cut(connection, kind)

    def heal_cuts(self) -> None:
        """Let new connections pass again."""
        self._host_cuts.clear()

    def listen(self, host: str, port: int) -> Any:
        """Open a listening socket; port 0 takes a free port."""
        if port == 0:
            self._last_port += 1
            port = self._last_port
        if (host, port) in self.listeners:
            raise OSError(f"{host}:{port} is in use")
        listener = self.listeners[(host, port)] = _Listener(self, (host, port))
        return listener

    async def connect(self, host: str, port: int, source_host: str = "") -> Any:
        """Open a connected socket."""
        await curio.sleep(0)
        await self._check_cuts(source_host, host)
        if host in self.cut_hosts:
            # A partitioned host does not answer at all, so the attempt hangs.
            await curio.sleep(3600)
        listener = self.listeners.get((host, port))
        if listener is None:
            raise ConnectionRefusedError(f"no listener at {host}:{port}")
        outbound, inbound = _Pipe(), _Pipe()
        own = MemorySocket(inbound, outbound, (host, port))
        self.sockets.append(own)
        self._last_port += 1
        other = MemorySocket(outbound, inbound, (self.caller_host, self._last_port))
        self._connections.append(_OpenConnection(source_host, host, own, other))
        await listener.add(other)
        return own

    async def _check_cuts(self, source: str, destination: str) -> None:
        kinds = [cut.kind for cut in self._host_cuts if cut.applies_to(source, destination)]
        if not kinds:
            return
        if CutKind.HANGS in kinds:
            await curio.sleep(3600)
        raise ConnectionRefusedError(f"{source} is cut off from {destination}")

    def open_datagrams(self, host: str, port: int) -> Any:
        """Open a datagram socket."""
        sock = self.datagrams[(host, port)] = _DatagramSocket(self, (host, port))
        return sock

    def is_stale(self, sock: Any) -> bool:
        """Return whether the stream has ended or has unread bytes, without reading them."""
        return bool(sock.is_readable)

    def has_ended(self, sock: Any) -> bool:
        """Return whether the stream has ended and holds no unread bytes."""
        return bool(sock.has_ended)

    def accept_waiting(self, listener: Any) -> list[Any]:
        """Return none: a listener in memory accepts in the step after a connect."""
        return []

    def port_of(self, listener: Any) -> int:
        """Return the port of a listening socket."""
        port: int = listener.address[1]
        return port

    async def reset(self, sock: Any) -> None:
        """Reset a connection."""
        await sock.reset()


async def _apply_cut(connection: _OpenConnection, kind: CutKind) -> None:
    match kind:
        case CutKind.HANGS:
            connection.own_end.is_silent = True
            connection.other_end.is_silent = True
        case CutKind.RESETS | CutKind.REFUSES:
            await connection.own_end.reset()
        case CutKind.REFUSES_NEW:
            return
