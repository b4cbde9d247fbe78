"""Holds requests to the rate limits that targets state, over all VMs, by tokens from one VM."""

from __future__ import annotations

from typing import TYPE_CHECKING

from siskinward.coordination.steering.limit_tokens import LimitAsk
from siskinward.coordination.steering.limit_tokens import LimitGrant
from siskinward.daemon.entry.peer_asks import AskSettings
from siskinward.daemon.entry.peer_asks import PeerAsks
from siskinward.protocol.heartbeats import encode_limit_message
from siskinward.transport.clock import read_clock_s

if TYPE_CHECKING:
    from siskinward.daemon.entry.steering import Steering
    from siskinward.state.identifiers import TargetName
    from siskinward.transport.peer_datagram_socket import PeerDatagramSocket


class LimitEnforcer:
    """Gets a token for each request to a target that states a rate limit."""

    def __init__(
        self, settings: AskSettings, steering: Steering, datagrams: PeerDatagramSocket
    ) -> None:
        self._settings = settings
        self._steering = steering
        self._datagrams = datagrams
        self._asks: PeerAsks[LimitGrant] = PeerAsks(settings, datagrams)

    def needs_token(self, target: TargetName) -> bool:
        """Return whether a target states a limit."""
        return self._steering.limits.rate_per_s(target) is not None

    async def try_take(self, target: TargetName) -> bool:
        """Take a token for one request, if the target states a limit; False if it is used up."""
        if not self.needs_token(target):
            return True
        pauses = self._steering.limit_pauses
        if pauses.is_paused(target, read_clock_s()):
            return False
        grant = await self._fetch(target)
        if grant is None:
            pauses.record_denied(target, self._settings.pause_s, read_clock_s())
            return False
        if not grant.is_granted:
            pauses.record_denied(target, grant.retry_after_s, read_clock_s())
        return grant.is_granted

    async def on_ask(self, ask: LimitAsk, host: str) -> None:
        """Answer another VM's ask if this VM considers itself the target's issuer."""
        now_s = read_clock_s()
        issuer = self._steering.limit_tokens
        if issuer.issuer_of(ask.target, now_s) != self._steering.fleet.own:
            return
        self._steering.limits.apply_reports([ask.report], now_s)
        grant = issuer.grant(ask.number, ask.target, now_s)
        await self._datagrams.send(encode_limit_message(grant), [host])

    async def on_grant(self, grant: LimitGrant) -> None:
        """Record the answer to an ask; discard it if the ask has timed out."""
        await self._asks.on_answer(grant.number, grant)

    async def _fetch(self, target: TargetName) -> LimitGrant | None:
        """Ask the target's issuer for a token; None if it does not answer."""
        now_s = read_clock_s()
        number = self._asks.next_number()
        issuer = self._steering.limit_tokens.issuer_of(target, now_s)
        if issuer == self._steering.fleet.own:
            return self._steering.limit_tokens.grant(number, target, now_s)
        report = self._steering.limits.report_of(target, now_s)
        if report is None:
            return LimitGrant(number, True, 0.0)
        ask = LimitAsk(number, target, report)
        return await self._asks.ask(issuer, number, encode_limit_message(ask))
