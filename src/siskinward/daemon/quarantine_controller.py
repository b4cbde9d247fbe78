"""Asks the quarantine for a permit before each run at a target and reports how the run ended."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING
from typing import Any

import curio

from siskinward.coordination.outcomes import NotRun
from siskinward.coordination.outcomes import RefusalReason
from siskinward.coordination.quarantine import Hold
from siskinward.coordination.quarantine import Permit
from siskinward.coordination.quarantine import Refuse
from siskinward.coordination.quarantine import compute_unproven_hold_s
from siskinward.daemon.waiter import Waiter
from siskinward.transport.clock import read_clock_s

if TYPE_CHECKING:
    from collections.abc import Sequence

    from siskinward.coordination.events import VmIdentity
    from siskinward.coordination.quarantine import Quarantine
    from siskinward.daemon.component_router import ComponentRouter
    from siskinward.state.identifiers import TargetName
    from siskinward.state.objects import Configuration

DECISION_TIMEOUT_S = 1.0
RETRY_AFTER_S = 0.2
HOLD_MARGIN_S = 0.001
MS_PER_S = 1000.0


class QuarantineController:
    """Delivers the quarantine's decisions to the waiting attempts."""

    def __init__(self, own: VmIdentity, quarantine: Quarantine, router: ComponentRouter) -> None:
        self._own = own
        self._quarantine = quarantine
        self._router = router
        self._attempt_numbers = itertools.count(1)
        self._waiters: dict[str, Waiter[Permit | Refuse | Hold]] = {}

    def on_configuration(self, configuration: Configuration) -> None:
        """Hold unproven requests so that a crash report can overtake a caller's resend."""
        regions = configuration.regions.values()
        within_region_ms = max((region.domain_latency_ms for region in regions), default=0.0)
        between_regions_ms = max(
            (link.one_way_latency_ms for link in configuration.links.values()), default=0.0
        )
        client_ms = min((region.client_latency_ms for region in regions), default=0.0)
        hold_s = compute_unproven_hold_s(
            (within_region_ms + between_regions_ms) / MS_PER_S, 2 * client_ms / MS_PER_S
        )
        self._quarantine.set_unproven_hold(hold_s + HOLD_MARGIN_S if hold_s > 0 else 0.0)

    def may_start(self, permit: Permit, now_s: float) -> bool:
        """Return whether a permitted request may still run after its wait in the queue."""
        return self._quarantine.may_start(permit.attempt_id, now_s)

    async def admit(self, fingerprint: str, now_s: float) -> Permit | NotRun:
        """Wait for the permit to run a request; return the refusal if there is none."""
        attempt_id = f"{self._own.incarnation}/{next(self._attempt_numbers)}"
        decision = await self._request_decision(attempt_id, fingerprint, now_s, held=False)
        if isinstance(decision, Hold):
            await curio.sleep(decision.for_s)
            now_s = read_clock_s()
            decision = await self._request_decision(attempt_id, fingerprint, now_s, held=True)
        match decision:
            case Permit():
                return decision
            case Refuse(outcome=outcome):
                return outcome
            case _:
                return NotRun(RefusalReason.QUARANTINED, RETRY_AFTER_S)

    def on_started(self, permit: Permit, target: TargetName) -> None:
        """Record that the request was dispatched to ``target``."""
        self._quarantine.on_started(permit.attempt_id, target)

    async def on_finished(self, permit: Permit, *, ran: bool) -> None:
        """Record that the attempt ended; no effect after the loss of its target."""
        now_s = read_clock_s()
        steps = self._quarantine.on_finished(permit.attempt_id, ran=ran, now_s=now_s)
        await self._router.run(self, steps)

    async def on_target_lost(self, target: TargetName) -> None:
        """Record that a target was lost with all requests that ran there."""
        await self._router.run(self, self._quarantine.on_target_lost(target, read_clock_s()))

    async def on_members(self, live: Sequence[VmIdentity], now_s: float) -> None:
        """Update the live VMs of all failure domains."""
        await self._router.run(self, self._quarantine.on_members(live, now_s))

    def on_message(self, message: Any, sender: VmIdentity, now_s: float) -> Sequence[Any]:
        """Pass a message to the quarantine."""
        return self._quarantine.on_message(message, sender, now_s)

    def on_timer(self, now_s: float) -> Sequence[Any]:
        """Drive the timer of the quarantine."""
        return self._quarantine.on_timer(now_s)

    async def on_decision(self, decision: Any) -> None:
        """Deliver a decision; release a permit whose attempt no longer waits."""
        waiter = self._waiters.get(decision.attempt_id)
        if waiter is not None:
            await waiter.deliver(decision)
        elif isinstance(decision, Permit):
            await self.on_finished(decision, ran=False)

    async def _request_decision(
        self, attempt_id: str, fingerprint: str, now_s: float, *, held: bool
    ) -> Permit | Refuse | Hold | None:
        waiter = Waiter[Permit | Refuse | Hold]()
        self._waiters[attempt_id] = waiter
        try:
            steps = self._quarantine.admit(attempt_id, fingerprint, now_s, held=held)
            await self._router.run(self, steps)
            return await waiter.wait(DECISION_TIMEOUT_S)
        finally:
            del self._waiters[attempt_id]
