"""Exchanges requests with targets, over own connections or through another VM."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import frozen

from siskinward.daemon.entry.target_statements import TargetStatement
from siskinward.state.identifiers import RegionName
from siskinward.state.identifiers import VmName
from siskinward.transport.clock import read_clock_s
from siskinward.transport.http_messages import HttpRequest
from siskinward.transport.http_messages import HttpResponse
from siskinward.transport.outbound_connection import ExchangeFailedError
from siskinward.transport.outbound_connection import SendPhase
from siskinward.transport.relay_messages import RelayFailure
from siskinward.transport.relay_messages import RelayRequest

if TYPE_CHECKING:
    from siskinward.coordination.steering.target_paths import TargetPaths
    from siskinward.coordination.steering.targets import Target
    from siskinward.daemon.entry.answer_reader import AnswerReader
    from siskinward.daemon.entry.path_checker import PathChecker
    from siskinward.daemon.entry.steering import Steering
    from siskinward.transport.relay_pool import RelayPool
    from siskinward.transport.target_pool import TargetPool

# A relay that proves unreachable costs time that the request needs for its answer.
MAX_RELAYS = 3
# A target refused the connection at once: asking another VM costs the caller little.
QUICK_FAILURE_S = 0.1
CONNECT_CHECK_S = 1.0


@frozen
class LinkRequest:
    """A request to a target; empty ``home_regions`` allow VMs of all regions to relay it."""

    request: HttpRequest
    time_left_s: float
    is_idempotent: bool
    home_regions: frozenset[RegionName] = frozenset()


@frozen
class LinkAnswer:
    """A target's answer, what it says of the target, and the VM that relayed it, if any did.

    ``detail`` is for the log.
    """

    response: HttpResponse
    statement: TargetStatement
    detail: str
    relay: VmName | None = None


@frozen
class SendWithheldError(Exception):
    """The target has said that it wants nothing more, so that the request was not sent."""

    detail: str


class TargetLinks:
    """This VM's ways to targets. Failures are those of a direct exchange.

    What the target said while a request was on its way binds that request, too: the exchange raises
    ``SendWithheldError``.
    """

    def __init__(
        self,
        steering: Steering,
        pool: TargetPool,
        relays: RelayPool,
        checker: PathChecker,
        reader: AnswerReader,
    ) -> None:
        self._steering = steering
        self._pool = pool
        self._relays = relays
        self._checker = checker
        self._reader = reader
        self.relayed_count = 0

    @property
    def _paths(self) -> TargetPaths:
        return self._steering.paths

    async def exchange(self, target: Target, link_request: LinkRequest) -> LinkAnswer:
        """Exchange a request with a target.

        Raises ``ExchangeFailedError`` or ``SendWithheldError``.
        """
        started_s = read_clock_s()
        if self._paths.is_direct(target.name):
            try:
                return await self.exchange_directly(target, link_request)
            except ExchangeFailedError as error:
                if error.phase is not SendPhase.NOT_CONNECTED or not self._may_relay(started_s):
                    raise
        left_s = link_request.time_left_s - (read_clock_s() - started_s)
        return await self._relay(target, link_request, left_s)

    async def exchange_directly(self, target: Target, link_request: LinkRequest) -> LinkAnswer:
        """Exchange a request over an own connection.

        Raises ``ExchangeFailedError`` or ``SendWithheldError``.
        """
        number = self._paths.on_sent(read_clock_s())
        try:
            answer = await self._pool.exchange(
                target.record,
                link_request.request,
                link_request.time_left_s,
                idempotent=link_request.is_idempotent,
                check=lambda: _check_wanted(target),
            )
        except ExchangeFailedError as error:
            if error.phase is SendPhase.NOT_CONNECTED:
                self._paths.on_connect_failed()
            elif not error.is_timeout:
                self._paths.on_connection_broken(read_clock_s())
            raise
        finally:
            self._paths.on_ended(number)
        self._paths.on_heard(target.name, read_clock_s())
        statement = self._reader.read(target, link_request.request, answer.response)
        return LinkAnswer(answer.response, statement, f"connection {answer.connection}")

    async def can_connect(self, target: Target) -> bool | None:
        """Return whether a target accepts connections; None if that cannot be told from here."""
        started_s = read_clock_s()
        if self._paths.is_direct(target.name):
            if await self._pool.try_connect(target.record):
                self._paths.on_heard(target.name, read_clock_s())
                return True
            self._paths.on_connect_failed()
        check = _relay_request(target, None, CONNECT_CHECK_S)
        for vm in self._paths.relays(target, (), read_clock_s())[:MAX_RELAYS]:
            try:
                reply = await self._relays.exchange(vm.host, check)
            except ExchangeFailedError:
                continue
            if not isinstance(reply, RelayFailure):
                return True
            if not reply.is_relays_fault:
                return False
        return False if await self._checker.reaches_targets(started_s) else None

    def _may_relay(self, started_s: float) -> bool:
        """Whether a failed connection may be this VM's own fault.

        A target that is silent while others are heard is down; asking another VM would cost the
        caller as much time again.
        """
        is_quick = read_clock_s() - started_s < QUICK_FAILURE_S
        return is_quick or not self._paths.was_heard_since(started_s)

    async def _relay(self, target: Target, link_request: LinkRequest, left_s: float) -> LinkAnswer:
        started_s = read_clock_s()
        relays = self._paths.relays(target, link_request.home_regions, started_s)
        last_error = ExchangeFailedError(SendPhase.NOT_CONNECTED, "no VM can relay the request")
        for vm in relays[:MAX_RELAYS]:
            relay_left_s = left_s - (read_clock_s() - started_s)
            if relay_left_s <= 0:
                break
            _check_wanted(target)
            request = _relay_request(target, link_request, relay_left_s)
            try:
                reply = await self._relays.exchange(vm.host, request)
            except ExchangeFailedError as error:
                if error.phase is not SendPhase.NOT_CONNECTED:
                    raise
                last_error = error
                continue
            if isinstance(reply, HttpResponse):
                self._paths.on_relayed(target.name)
                self.relayed_count += 1
                statement = self._reader.read(target, link_request.request, reply, is_relayed=True)
                return LinkAnswer(reply, statement, f"relay {vm.vm}", vm.vm)
            last_error = reply.error
            # Only what was not sent may be sent through the next VM.
            if not reply.may_ask_another:
                break
        raise last_error


def _check_wanted(target: Target) -> None:
    """Raise ``SendWithheldError`` if a target wants nothing more."""
    if target.is_withheld(read_clock_s()):
        word = "leaves" if target.is_leaving else "rests"
        raise SendWithheldError(f"the target {target.name} {word}")


def _relay_request(
    target: Target, link_request: LinkRequest | None, time_left_s: float
) -> RelayRequest:
    record = target.record
    return RelayRequest(
        record.name,
        record.host,
        record.port,
        time_left_s,
        is_idempotent=link_request is None or link_request.is_idempotent,
        request=link_request.request if link_request else None,
    )
