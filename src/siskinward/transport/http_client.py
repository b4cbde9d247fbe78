"""HTTP/1.1 client connection over curio and h11 that reports how far a failed exchange got."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING
from typing import Any
from typing import Protocol

import curio
import h11
from attrs import evolve
from attrs import frozen
from expression import Error
from expression import Ok

from siskinward.transport.client_protocol import encode_request
from siskinward.transport.client_protocol import read_response
from siskinward.transport.sockets import RECEIVE_SIZE_BYTES
from siskinward.transport.sockets import connect
from siskinward.transport.sockets import is_stale

if TYPE_CHECKING:
    from expression import Result

    from siskinward.transport.http_messages import HttpRequest
    from siskinward.transport.http_messages import HttpResponse


class ExchangePhase(Enum):
    """How far an exchange got before it failed."""

    CONNECT = "connect"
    UNSENT = "unsent"
    SENT = "sent"
    INCOMPLETE = "incomplete"


@frozen
class ExchangeError:
    """A failed exchange. Only ``CONNECT`` and ``UNSENT`` prove that no byte left this VM.

    ``is_silent``: nothing was received, while the server responded on a newer connection.
    """

    step: str
    peer: str
    detail: str
    phase: ExchangePhase
    timed_out: bool = False
    is_silent: bool = False


class _SilentConnectionError(ConnectionResetError):
    """Nothing is received on the connection while a newer one to the same server works."""


class SilenceDetector(Protocol):
    """Decides whether a connection without a response is dead or its server merely slow."""

    def check_interval_s(self) -> float:
        """Return how long to wait for the first byte before each check."""
        ...

    async def check_silence(self) -> bool:
        """Return whether to treat the connection as dead and close it."""
        ...

    async def on_first_byte(self) -> None:
        """Record that the first byte of the response has arrived."""
        ...


class HttpClientConnection:
    """One connection to one server; one exchange at a time."""

    def __init__(self, host: str, port: int) -> None:
        self._host = host
        self._port = port
        self._sock: Any = None
        self._http = h11.Connection(h11.CLIENT)
        self._phase = ExchangePhase.CONNECT

    @property
    def peer(self) -> str:
        """Address of the server."""
        return f"{self._host}:{self._port}"

    def is_reusable(self) -> bool:
        """Return whether the connection is idle and the server has not closed it."""
        if self._sock is None or self._http.our_state is not h11.IDLE:
            return False
        return not is_stale(self._sock)

    async def connect(self, timeout_s: float) -> Result[None, ExchangeError]:
        """Open the connection; ``exchange`` does so itself if it is not open."""
        try:
            async with curio.timeout_after(timeout_s):
                self._sock = await connect(self._host, self._port)
        except curio.TaskTimeout:
            return Error(await self._close_with_error("timed out connecting", timed_out=True))
        except OSError as error:
            return Error(await self._close_with_error(str(error)))
        return Ok(None)

    async def exchange(
        self,
        request: HttpRequest,
        timeout_s: float,
        silence_detector: SilenceDetector | None = None,
    ) -> Result[HttpResponse, ExchangeError]:
        """Send a request and read the complete response. Any error closes the connection.

        ``silence_detector`` is checked while no byte of the response arrives.
        """
        try:
            async with curio.timeout_after(timeout_s):
                response = await self._exchange(request, silence_detector)
        except curio.TaskTimeout:
            return Error(await self._close_with_error("the exchange timed out", timed_out=True))
        except _SilentConnectionError as error:
            return Error(evolve(await self._close_with_error(str(error)), is_silent=True))
        except (OSError, h11.ProtocolError) as error:
            return Error(await self._close_with_error(str(error) or type(error).__name__))
        except BaseException:
            await self.close()
            raise
        return Ok(response)

    async def close(self) -> None:
        """Close the connection; safe to call twice."""
        sock, self._sock = self._sock, None
        if sock is not None:
            await sock.close()

    async def _exchange(
        self, request: HttpRequest, silence_detector: SilenceDetector | None
    ) -> HttpResponse:
        if self._sock is None:
            self._phase = ExchangePhase.CONNECT
            self._sock = await connect(self._host, self._port)
        self._phase = ExchangePhase.UNSENT
        headers = ((b"host", self.peer.encode()), *request.headers)
        data = encode_request(self._http, request, headers)
        self._phase = ExchangePhase.SENT
        await self._sock.sendall(data)
        if silence_detector is not None:
            await self._wait_for_first_byte(silence_detector)
        response = await read_response(self._http, self._sock, self._on_response_head)
        is_done = self._http.our_state is h11.DONE and self._http.their_state is h11.DONE
        if is_done and not self._http.trailing_data[0]:
            self._http.start_next_cycle()
        else:
            await self.close()
        return response

    async def _wait_for_first_byte(self, silence_detector: SilenceDetector) -> None:
        while True:
            try:
                async with curio.timeout_after(silence_detector.check_interval_s()):
                    data = await self._sock.recv(RECEIVE_SIZE_BYTES)
            except curio.TaskTimeout:
                if await silence_detector.check_silence():
                    raise _SilentConnectionError(
                        "no data arrived, but the server responded on a newer connection"
                    ) from None
                continue
            await silence_detector.on_first_byte()
            self._http.receive_data(data)
            return

    def _on_response_head(self) -> None:
        self._phase = ExchangePhase.INCOMPLETE

    async def _close_with_error(self, detail: str, *, timed_out: bool = False) -> ExchangeError:
        await self.close()
        step = f"exchange: {self._phase.value}"
        return ExchangeError(step, self.peer, detail, self._phase, timed_out)
