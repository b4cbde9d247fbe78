"""Probes unreachable targets before they get requests again."""

from __future__ import annotations

from typing import TYPE_CHECKING

import curio

from siskinward.daemon.entry.target_links import LinkRequest
from siskinward.daemon.entry.target_links import SendWithheldError
from siskinward.daemon.entry.target_statements import AnswerKind
from siskinward.transport.clock import read_clock_s
from siskinward.transport.http_messages import HttpRequest
from siskinward.transport.outbound_connection import ExchangeFailedError
from siskinward.transport.outbound_connection import SendPhase

if TYPE_CHECKING:
    from siskinward.coordination.steering.targets import Target
    from siskinward.daemon.entry.limit_enforcer import LimitEnforcer
    from siskinward.daemon.entry.steering import Steering
    from siskinward.daemon.entry.target_links import TargetLinks
    from siskinward.transport.decision_log import DecisionLog

CHECK_INTERVAL_S = 0.1
PROBE_TIMEOUT_S = 1.0
MAX_CONCURRENT_PROBES = 8


class TargetProber:
    """Probes targets at their service's health path.

    A probe tells whether the target answers, and what any answer of it says. The health that a
    target reports is ignored: it may be wrong either way.
    """

    def __init__(
        self,
        steering: Steering,
        links: TargetLinks,
        limits: LimitEnforcer,
        log: DecisionLog,
    ) -> None:
        self._steering = steering
        self._links = links
        self._limits = limits
        self._log = log
        self._probing: set[str] = set()

    async def run(self) -> None:
        """Probe each target when it is due; run until cancelled."""
        while True:
            await curio.sleep(CHECK_INTERVAL_S)
            for target in self._steering.targets.due_for_probe(read_clock_s()):
                if target.name in self._probing or len(self._probing) >= MAX_CONCURRENT_PROBES:
                    continue
                self._probing.add(target.name)
                await curio.spawn(self._probe, target, daemon=True)

    async def _probe(self, target: Target) -> None:
        try:
            await self._check(target)
        finally:
            self._probing.discard(target.name)

    async def _check(self, target: Target) -> None:
        index = self._steering.index
        service = index.configuration.services.get(target.record.service) if index else None
        if service is None or not await self._limits.try_take(target.name):
            return
        host = (b"host", target.record.address.encode())
        request = HttpRequest("GET", service.health_path, (host,))
        targets = self._steering.targets
        try:
            answer = await self._links.exchange(
                target, LinkRequest(request, PROBE_TIMEOUT_S, is_idempotent=True)
            )
        except SendWithheldError:
            return
        except ExchangeFailedError as error:
            if error.phase is SendPhase.SENT and error.is_timeout:
                # The target accepted the connection: it is reachable, but too busy to answer.
                targets.on_reached(target, service.warmup_s, read_clock_s(), is_stated=False)
                return
            targets.on_unreachable(target, read_clock_s())
            self._log.write("target-unreached", {"target": target.name, "error": error.detail})
            return
        statement = answer.statement
        if statement.kind is AnswerKind.MISDIRECTED:
            targets.remove(target.name)
            name = (statement.name or b"").decode("latin-1")
            self._log.write("target-replaced", {"target": target.name, "by": name})
            return
        stated_s = statement.warmup_left_s
        is_stated = stated_s is not None
        warmup_left_s = service.warmup_s if stated_s is None else stated_s
        targets.on_reached(target, warmup_left_s, read_clock_s(), is_stated=is_stated)
        self._log.write("target-reached", {"target": target.name, "warmup_left_s": warmup_left_s})
