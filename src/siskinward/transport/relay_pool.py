"""Streams to the VMs that relay this VM's requests to targets."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

import curio
from attrs import evolve
from attrs import frozen

from siskinward.protocol.peer_fields import PeerMessageError
from siskinward.transport.clock import read_clock_s
from siskinward.transport.frames import receive_frame
from siskinward.transport.frames import send_frame
from siskinward.transport.outbound_connection import ExchangeFailedError
from siskinward.transport.outbound_connection import SendPhase
from siskinward.transport.relay_messages import FRAME_LIMIT_BYTES
from siskinward.transport.relay_messages import decode_relay_reply
from siskinward.transport.relay_messages import encode_relay_request
from siskinward.transport.sockets import connect
from siskinward.transport.sockets import is_stale
from siskinward.transport.sockets import reset

if TYPE_CHECKING:
    from siskinward.transport.answer_memory import AnswerMemory
    from siskinward.transport.relay_messages import RelayReply
    from siskinward.transport.relay_messages import RelayRequest


@frozen
class RelayLimits:
    """How long connecting may take, and how long an idle connection is kept and reused.

    ``unsafe_idle_timeout_s`` holds for requests that must not be sent twice.
    """

    connect_timeout_s: float = 0.3
    idle_timeout_s: float = 5.0
    unsafe_idle_timeout_s: float = 1.0
    max_idle_per_vm: int = 16


@frozen
class _IdleStream:
    sock: Any
    since_s: float


class RelayPool:
    """Reuses the idle stream that was used last; ``memory`` counts the answers being received."""

    def __init__(self, limits: RelayLimits, port: int, memory: AnswerMemory) -> None:
        self._limits = limits
        self._memory = memory
        self._port = port
        self._idle: dict[str, list[_IdleStream]] = {}

    async def exchange(self, host: str, request: RelayRequest) -> RelayReply:
        """Let a VM relay a request. Raises ``ExchangeFailedError``.

        As for a target, only ``NOT_CONNECTED`` proves that the request was not run.
        """
        deadline_s = read_clock_s() + request.time_left_s
        sock = await self._acquire(host, is_idempotent=request.is_idempotent)
        left_s = deadline_s - read_clock_s()
        is_kept = False
        try:
            async with curio.timeout_after(max(0.0, left_s)):
                await send_frame(sock, encode_relay_request(evolve(request, time_left_s=left_s)))
                reply = decode_relay_reply(await self._receive(sock))
            is_kept = True
        except curio.TaskTimeout:
            detail = f"timed out waiting for the relay {host}"
            raise ExchangeFailedError(SendPhase.SENT, detail, True) from None
        except (OSError, PeerMessageError) as error:
            raise ExchangeFailedError(SendPhase.SENT, f"relay {host}: {error}") from error
        finally:
            if not is_kept:
                await sock.close()
        await self._release(host, sock)
        return reply

    async def close_idle(self) -> None:
        """Close connections that have been idle for too long."""
        now_s = read_clock_s()
        for host, streams in list(self._idle.items()):
            self._idle[host] = []
            for stream in streams:
                if now_s - stream.since_s < self._limits.idle_timeout_s:
                    self._idle[host].append(stream)
                else:
                    await stream.sock.close()

    async def _receive(self, sock: Any) -> bytes:
        async def fail() -> None:
            await reset(sock)

        async with self._memory.open_share(fail) as share:
            return await receive_frame(sock, FRAME_LIMIT_BYTES, share)

    async def _acquire(self, host: str, *, is_idempotent: bool) -> Any:
        limits = self._limits
        max_idle_s = limits.idle_timeout_s if is_idempotent else limits.unsafe_idle_timeout_s
        idle = self._idle.get(host, [])
        while idle:
            stream = idle.pop()
            if read_clock_s() - stream.since_s < max_idle_s and not is_stale(stream.sock):
                return stream.sock
            await stream.sock.close()
        try:
            async with curio.timeout_after(limits.connect_timeout_s):
                return await connect(host, self._port)
        except (curio.TaskTimeout, OSError) as error:
            detail = f"relay {host}: {error or 'timed out connecting'}"
            raise ExchangeFailedError(SendPhase.NOT_CONNECTED, detail) from None

    async def _release(self, host: str, sock: Any) -> None:
        idle = self._idle.setdefault(host, [])
        idle.append(_IdleStream(sock, read_clock_s()))
        if len(idle) > self._limits.max_idle_per_vm:
            await idle.pop(0).sock.close()
