"""Serves requests that other VMs want relayed to targets: one at a time on each stream."""

from __future__ import annotations

from contextlib import suppress
from typing import TYPE_CHECKING
from typing import Any

import curio

from siskinward.protocol.peer_fields import PeerMessageError
from siskinward.transport.body_memory import BodyShare
from siskinward.transport.body_memory import NoRoomForBodyError
from siskinward.transport.draining import wait_until_none
from siskinward.transport.frames import discard_frame
from siskinward.transport.frames import receive_frame_data
from siskinward.transport.frames import receive_frame_size
from siskinward.transport.frames import send_frame
from siskinward.transport.outbound_connection import ExchangeFailedError
from siskinward.transport.outbound_connection import SendPhase
from siskinward.transport.relay_messages import FRAME_LIMIT_BYTES
from siskinward.transport.relay_messages import RelayFailure
from siskinward.transport.relay_messages import decode_relay_request
from siskinward.transport.relay_messages import encode_relay_reply
from siskinward.transport.sockets import RECEIVE_SIZE_BYTES
from siskinward.transport.sockets import accept
from siskinward.transport.sockets import enable_keepalive
from siskinward.transport.sockets import has_ended

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from siskinward.transport.body_memory import BodyMemory
    from siskinward.transport.relay_messages import RelayReply
    from siskinward.transport.relay_messages import RelayRequest

# Smaller requests are always taken: VMs also ask each other whether a target can be reached.
COUNTED_FRAME_BYTES = 64 * 1024


class RelayServer:
    """Accepts requests to relay, and passes each to ``relay``.

    One that does not fit into ``bodies`` is not read, and another VM may relay it.
    ``active_count`` requests are in progress, of ``served_count`` so far. A VM that closes its
    connection gives up on its request, which is then cancelled.
    """

    def __init__(
        self, relay: Callable[[RelayRequest], Awaitable[RelayReply]], bodies: BodyMemory
    ) -> None:
        self._relay = relay
        self._bodies = bodies
        self._connections: set[Any] = set()
        self.active_count = 0
        self.served_count = 0

    async def serve(self, listener: Any) -> None:
        """Serve requests until cancelled."""
        async with listener:
            while True:
                sock, _ = await accept(listener)
                enable_keepalive(sock)
                await curio.spawn(self._serve_connection, sock, daemon=True)

    async def wait_answered(self, limit_s: float) -> bool:
        """Wait up to ``limit_s`` until all requests are answered; return whether they are."""
        return await wait_until_none(lambda: self.active_count, limit_s)

    async def abort(self) -> None:
        """Cancel every connection."""
        for task in list(self._connections):
            await task.cancel(blocking=False)

    async def _serve_connection(self, sock: Any) -> None:
        task = await curio.current_task()
        self._connections.add(task)
        try:
            async with sock:
                while True:
                    await self._serve_next(sock, BodyShare(self._bodies))
        except (OSError, PeerMessageError):
            # The other VM has closed the connection; a new one serves its next request.
            return
        finally:
            self._connections.discard(task)

    async def _serve_next(self, sock: Any, share: BodyShare) -> None:
        size_bytes = await receive_frame_size(sock, FRAME_LIMIT_BYTES)
        try:
            if size_bytes >= COUNTED_FRAME_BYTES:
                share.grow_to(size_bytes)
        except NoRoomForBodyError as error:
            await discard_frame(sock, size_bytes)
            await send_frame(sock, encode_relay_reply(_no_room(error)))
            return
        try:
            data = await receive_frame_data(sock, size_bytes)
            if has_ended(sock):
                raise ConnectionResetError("the other VM gave up on its request")
            await self._serve_one(sock, decode_relay_request(data))
        finally:
            share.free()

    async def _serve_one(self, sock: Any, request: RelayRequest) -> None:
        self.active_count += 1
        self.served_count += 1
        work = await curio.spawn(self._relay, request)
        watch = await curio.spawn(_cancel_on_disconnect, sock, work)
        try:
            reply: RelayReply = await work.join()
        except curio.TaskError:
            raise ConnectionResetError("the other VM gave up on its request") from None
        finally:
            self.active_count -= 1
            await work.cancel()
            await watch.cancel()
        await send_frame(sock, encode_relay_reply(reply))


def _no_room(error: NoRoomForBodyError) -> RelayFailure:
    failure = ExchangeFailedError(SendPhase.NOT_CONNECTED, f"the relay has no room: {error}")
    return RelayFailure(failure, is_relays_fault=True)


async def _cancel_on_disconnect(sock: Any, work: Any) -> None:
    with suppress(OSError):
        await sock.recv(RECEIVE_SIZE_BYTES)
    await work.cancel()
