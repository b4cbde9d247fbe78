"""One authenticated stream between two VMs."""

from __future__ import annotations

import os
from typing import TYPE_CHECKING
from typing import Any

import curio
import msgpack
from attrs import frozen
from expression import Error
from expression import Ok

from siskinward.coordination.events import VmIdentity
from siskinward.protocol.handshake import NONCE_SIZE_BYTES
from siskinward.protocol.handshake import Hello
from siskinward.protocol.handshake import Proof
from siskinward.protocol.handshake import compute_proof
from siskinward.protocol.handshake import is_valid_proof
from siskinward.state.errors import SiskinwardError
from siskinward.state.errors import StepError
from siskinward.transport.sockets import RECEIVE_SIZE_BYTES
from siskinward.transport.tls import PeerTls
from siskinward.transport.traffic import Direction
from siskinward.transport.traffic import ignore_traffic

if TYPE_CHECKING:
    from expression import Result

    from siskinward.protocol.codec import MessageCodec
    from siskinward.transport.traffic import TrafficCallback

HANDSHAKE_TIMEOUT_S = 2.0


@frozen
class PeerSettings:
    """Identity of this VM, and the secret that all VMs of a deployment share.

    Pings are sent along with messages, at most one per ``ping_interval_s``. A link is closed when
    a ping has been unanswered for ``pong_timeout_s``, or when this VM has sent no message on it
    for ``idle_timeout_s``.
    """

    own: VmIdentity
    shared_secret: bytes
    tls: PeerTls | None = None
    ping_interval_s: float = 0.9
    pong_timeout_s: float = 2.0
    idle_timeout_s: float = 6.0


class PeerLink:
    """Stream of messages to or from one peer, authenticated by ``handshake``."""

    def __init__(
        self,
        sock: Any,
        codec: MessageCodec,
        address: str,
        on_traffic: TrafficCallback = ignore_traffic,
    ) -> None:
        self._sock = sock
        self._codec = codec
        self._unpacker = codec.unpacker()
        self._on_traffic = on_traffic
        self.address = address

    async def handshake(
        self, settings: PeerSettings, *, is_initiator: bool
    ) -> Result[VmIdentity, StepError]:
        """Authenticate both sides by the shared secret; return the identity of the peer."""
        try:
            async with curio.timeout_after(HANDSHAKE_TIMEOUT_S):
                return Ok(await self._handshake(settings, is_initiator=is_initiator))
        except curio.TaskTimeout:
            return Error(StepError("handshake", self.address, "timed out waiting for the peer"))
        except SiskinwardError as error:
            return Error(error.error)
        except OSError as error:
            return Error(StepError("handshake", self.address, str(error)))

    async def _handshake(self, settings: PeerSettings, *, is_initiator: bool) -> VmIdentity:
        own = settings.own
        nonce = os.urandom(NONCE_SIZE_BYTES)
        own_hello = Hello(own.vm, own.failure_domain, own.incarnation, nonce)
        await self.write(own_hello)
        hello = await self.read()
        if not isinstance(hello, Hello):
            raise self._error("handshake", "expected Hello")
        if hello.nonce == nonce:
            raise self._error("handshake", "the challenge was reflected")
        if is_initiator:
            await self.write(compute_proof(settings.shared_secret, own_hello, hello))
        proof = await self.read()
        if not isinstance(proof, Proof):
            raise self._error("handshake", "expected Proof")
        if not is_valid_proof(settings.shared_secret, proof, hello, own_hello):
            raise self._error("handshake", "the shared secret was not proved")
        if not is_initiator:
            await self.write(compute_proof(settings.shared_secret, own_hello, hello))
        return hello.identity

    async def write(self, message: Any) -> None:
        """Send one message."""
        frame = self._codec.encode(message)
        self._on_traffic(type(message), Direction.OUT, len(frame))
        await self._sock.sendall(frame)

    async def write_frames(self, frames: list[bytes]) -> None:
        """Send encoded messages in a single write."""
        await self._sock.sendall(b"".join(frames))

    async def read(self) -> Any:
        """Read one message.

        Raises ``SiskinwardError`` if it is invalid, ``OSError`` if the stream has ended.
        """
        while True:
            start = self._unpacker.tell()
            frame = self._next_frame()
            if frame is not None:
                message = self._decode(frame)
                size_bytes = self._unpacker.tell() - start
                self._on_traffic(type(message), Direction.IN, size_bytes)
                return message
            data = await self._sock.recv(RECEIVE_SIZE_BYTES)
            if not data:
                raise ConnectionResetError("the peer closed the link")
            self._feed(data)

    async def close(self) -> None:
        """Close the stream."""
        await self._sock.close()

    def _feed(self, data: bytes) -> None:
        try:
            self._unpacker.feed(data)
        except msgpack.BufferFull as error:
            raise self._error("read frame", "the frame is too large") from error

    def _next_frame(self) -> Any:
        try:
            return self._unpacker.unpack()
        except msgpack.OutOfData:
            return None
        except (ValueError, TypeError, msgpack.UnpackException) as error:
            raise self._error("read frame", f"invalid msgpack: {error}") from error

    def _decode(self, frame: Any) -> Any:
        result = self._codec.decode(frame, self.address)
        if result.is_error():
            raise SiskinwardError(result.error)
        return result.ok

    def _error(self, step: str, detail: str) -> SiskinwardError:
        return SiskinwardError(StepError(step, self.address, detail))
