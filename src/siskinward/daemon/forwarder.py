"""Forwards requests to the VMs that own targets, and runs requests that other VMs forward."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING

import curio
from attrs import evolve

from siskinward.coordination.outcomes import Answered
from siskinward.coordination.outcomes import NotRun
from siskinward.coordination.outcomes import RefusalReason
from siskinward.coordination.outcomes import Unknown
from siskinward.daemon.waiter import Waiter
from siskinward.daemon.work import AttemptResult
from siskinward.daemon.work import Work
from siskinward.protocol.forwarding import ForwardReply
from siskinward.protocol.forwarding import ForwardRequest
from siskinward.state.identifiers import AccountName
from siskinward.state.identifiers import ServiceName
from siskinward.state.identifiers import TargetName
from siskinward.transport.clock import read_clock_s

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from siskinward.coordination.events import VmIdentity
    from siskinward.coordination.outcomes import Outcome
    from siskinward.state.identifiers import VmName
    from siskinward.transport.peer_hub import PeerHub

UNREACHED_RETRY_AFTER_S = 0.2


class Forwarder:
    """Matches replies to requests by correlation id, incarnation and sender; drops all others."""

    def __init__(
        self,
        own: VmIdentity,
        hub: PeerHub,
        run_forwarded: Callable[[Work, bool], Awaitable[AttemptResult]],
    ) -> None:
        self._own = own
        self._hub = hub
        self._run_forwarded = run_forwarded
        self._correlation_ids = itertools.count(1)
        self._waiters: dict[int, tuple[VmName, Waiter[ForwardReply]]] = {}
        self.running_count = 0
        self.unmatched_reply_count = 0

    async def forward(self, vm: VmName, work: Work, *, may_forward: bool) -> AttemptResult:
        """Send a request to another VM and wait for its outcome until the deadline."""
        correlation_id = next(self._correlation_ids)
        time_left_s = work.deadline_s - read_clock_s()
        message = _create_forward_request(work, correlation_id, self._own, time_left_s)
        message = evolve(message, may_forward=may_forward)
        waiter = Waiter[ForwardReply]()
        self._waiters[correlation_id] = (vm, waiter)
        try:
            if not await self._hub.send(vm, message):
                return AttemptResult(NotRun(RefusalReason.PEER_LOST, UNREACHED_RETRY_AFTER_S))
            reply = await waiter.wait(time_left_s)
        finally:
            del self._waiters[correlation_id]
        if reply is None:
            return AttemptResult(Unknown(RefusalReason.PEER_LOST))
        return _create_attempt_result(reply)

    async def on_request(self, message: ForwardRequest, sender: VmIdentity) -> None:
        """Run a forwarded request in a task of its own and send the outcome back."""
        self.running_count += 1
        await curio.spawn(self._run, message, sender, daemon=True)

    async def on_reply(self, message: ForwardReply, sender: VmIdentity) -> None:
        """Deliver an outcome to the waiting request; count and drop a reply that matches none."""
        vm, waiter = self._waiters.get(message.correlation_id, (None, None))
        is_mismatched = message.sender_incarnation != self._own.incarnation or vm != sender.vm
        if waiter is None or is_mismatched:
            self.unmatched_reply_count += 1
            return
        await waiter.deliver(message)

    async def on_vm_lost(self, lost: VmName) -> None:
        """End the waits for a lost VM with the outcome unknown: it may have run the requests."""
        for correlation_id, (vm, waiter) in list(self._waiters.items()):
            if vm == lost:
                unknown = Unknown(RefusalReason.PEER_LOST)
                await waiter.deliver(
                    ForwardReply(correlation_id, self._own.incarnation, unknown=unknown)
                )

    async def _run(self, message: ForwardRequest, sender: VmIdentity) -> None:
        try:
            work = _create_work(message, read_clock_s())
            result = await self._run_forwarded(work, message.may_forward)
            await self._hub.send(sender.vm, _create_forward_reply(message, result))
        finally:
            self.running_count -= 1


def _create_forward_request(
    work: Work, correlation_id: int, own: VmIdentity, time_left_s: float
) -> ForwardRequest:
    return ForwardRequest(
        correlation_id=correlation_id,
        sender_incarnation=own.incarnation,
        service=work.service,
        client_account=work.client_account,
        method=work.method,
        target_path=work.target_path,
        headers=work.headers,
        body=work.body,
        run_id=work.run_id,
        fingerprint=work.fingerprint,
        is_idempotent=work.is_idempotent,
        time_left_s=time_left_s,
        may_forward=False,
        excluded_targets=work.excluded_targets,
    )


def _create_work(message: ForwardRequest, now_s: float) -> Work:
    return Work(
        service=ServiceName(message.service),
        client_account=AccountName(message.client_account),
        method=message.method,
        target_path=message.target_path,
        headers=message.headers,
        body=message.body,
        run_id=message.run_id,
        fingerprint=message.fingerprint,
        is_idempotent=message.is_idempotent,
        deadline_s=now_s + message.time_left_s,
        excluded_targets=tuple(TargetName(name) for name in message.excluded_targets),
    )


def _create_forward_reply(message: ForwardRequest, result: AttemptResult) -> ForwardReply:
    outcome = result.outcome
    return ForwardReply(
        correlation_id=message.correlation_id,
        sender_incarnation=message.sender_incarnation,
        answered=outcome if isinstance(outcome, Answered) else None,
        not_run=outcome if isinstance(outcome, NotRun) else None,
        unknown=outcome if isinstance(outcome, Unknown) else None,
        tried_target=result.tried_target,
        lost_targets=result.lost_targets,
        service_s=result.service_s,
        load=result.load,
    )


def _create_attempt_result(reply: ForwardReply) -> AttemptResult:
    outcome: Outcome = (
        reply.answered or reply.not_run or reply.unknown or Unknown(RefusalReason.PEER_LOST)
    )
    tried = None if reply.tried_target is None else TargetName(reply.tried_target)
    lost = tuple(TargetName(name) for name in reply.lost_targets)
    return AttemptResult(outcome, tried, lost, reply.service_s, reply.load)
