"""Issues the tokens of one failure domain's part of every limit."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from siskinward.coordination.events import Send
from siskinward.coordination.shares._wait_queue import WaitQueue
from siskinward.coordination.shares.ledger import HolderId
from siskinward.coordination.shares.ledger import IssuerLedger
from siskinward.coordination.shares.ledger import empty_ledger
from siskinward.coordination.shares.limits import limits_of
from siskinward.coordination.shares.messages import MintHandover
from siskinward.coordination.shares.messages import TokenAnswer
from siskinward.coordination.shares.messages import TokenRecall
from siskinward.coordination.shares.messages import TokenRefusal
from siskinward.coordination.shares.messages import TokenRequest
from siskinward.coordination.shares.messages import TokensAvailable

if TYPE_CHECKING:
    from siskinward.coordination.events import Effect
    from siskinward.coordination.events import VmIdentity
    from siskinward.coordination.shares.keys import ResourceKey
    from siskinward.coordination.shares.limits import Limit
    from siskinward.coordination.shares.settings import ShareSettings
    from siskinward.state.identifiers import VmName
    from siskinward.state.objects import Configuration

RECALL_FANOUT = 8
RECALL_INTERVAL_S = 0.01


class ShareIssuer:
    """Issues tokens while this VM holds the issuer grant of its failure domain.

    The embedding program calls ``on_grant`` with the state of the grant before each ``on_timer``,
    and reads the clock for ``on_message`` after the message was received, never before.
    After a stall longer than ``pause_bound_s`` the issuer refuses requests until the next
    ``on_grant``.
    """

    def __init__(self, settings: ShareSettings, own: VmIdentity) -> None:
        self._settings = settings
        self._own = own
        self._limits: dict[ResourceKey, Limit] = {}
        self._ledgers: dict[ResourceKey, IssuerLedger] = {}
        self._exclusive_from_s: dict[ResourceKey, float] = {}
        """Time from which no other issuer can still use a part that now belongs to this issuer."""
        self._queues: dict[ResourceKey, WaitQueue] = {}
        self._next_recall_s: dict[ResourceKey, float] = {}
        self._may_use = False
        self._epoch = 0
        self._closed_epoch = 0
        self._last_call_s: float | None = None
        self._handover: MintHandover | None = None

    @property
    def epoch(self) -> int:
        """Return the epoch of the last grant."""
        return self._epoch

    def ledger(self, key: ResourceKey) -> IssuerLedger | None:
        """Return the ledger of a limit, for metrics and tests."""
        return self._ledgers.get(key)

    def on_configuration(
        self, configuration: Configuration, now_s: float, *, active_for_s: float = 0.0
    ) -> list[Effect]:
        """Apply a configuration, which creates no tokens; larger parts take effect after a delay.

        Until then, other issuers may still use their parts of the previous configuration.
        ``active_for_s`` is how long the configuration is known to have been active on all VMs; it
        shortens the delay on a VM that has just started.
        """
        former = self._limits
        self._limits = limits_of(configuration, self._settings)
        delay_s = self._settings.growth_delay_s + self._settings.settling_s
        for key, limit in self._limits.items():
            if not former:
                self._exclusive_from_s[key] = now_s + delay_s - active_for_s
            elif key in former and self._part_grew(former[key], limit):
                self._exclusive_from_s[key] = now_s + delay_s
        for key in [key for key in self._exclusive_from_s if key not in self._limits]:
            del self._exclusive_from_s[key]
        for key in [key for key in self._ledgers if key not in self._limits]:
            del self._ledgers[key]
        if self._epoch:
            for key, limit in self._limits.items():
                self._apply_limit(key, limit, now_s, is_new=key not in former)
        return []

    def on_grant(self, may_use: bool, epoch: int, now_s: float) -> list[Effect]:
        """Record whether the issuer grant may be used, and start ledgers in a new epoch."""
        self._last_call_s = now_s
        if epoch < self._epoch:
            self._may_use = False
            return []
        self._may_use = may_use
        if may_use and epoch > self._epoch:
            self._epoch = epoch
            self._start_ledgers(now_s)
            self._apply_handover(now_s)
        return []

    def on_timer(self, now_s: float) -> list[Effect]:
        """Detect stalls; accrual needs no timer."""
        self._check_stall(now_s)
        return []

    def on_message(self, message: Any, sender: VmIdentity, now_s: float) -> list[Effect]:
        """Handle a request of a share pool or the state of the previous issuer."""
        match message:
            case TokenRequest():
                return self._on_request(message, sender, now_s)
            case MintHandover():
                self._on_handover(message, sender, now_s)
        return []

    def hand_over(self, successor: VmName, now_s: float) -> list[Effect]:
        """Stop issuing for the rest of this epoch and send the state to the successor."""
        if not self._usable(now_s):
            return []
        self._closed_epoch = self._epoch
        ledgers = []
        for key, ledger in self._ledgers.items():
            ledger.advance(now_s)
            if ledger.is_settled(now_s):
                ledgers.append(ledger.export_state(key))
        return [Send(successor, MintHandover(self._epoch, tuple(ledgers)))]

    def _on_request(self, request: TokenRequest, sender: VmIdentity, now_s: float) -> list[Effect]:
        ledger = self._ledgers.get(request.key)
        if ledger is None or not self._usable(now_s):
            refusal = TokenRefusal(request.key, request.serial, self._settings.backoff_s)
            return [Send(sender.vm, refusal)]
        ledger.advance(now_s)
        holder = HolderId(sender.vm, sender.incarnation)
        expires_s = now_s + self._settings.settling_s
        if not ledger.apply_report(holder, request, expires_s):
            return self._repeat_answer(ledger, holder, request, sender)
        queue = self._queues.setdefault(request.key, WaitQueue())
        ahead_micro = queue.compute_ahead_micro(sender.vm, now_s)
        granted = ledger.grant(
            holder,
            needed_micro=request.needed_micro,
            wanted_micro=request.wanted_micro,
            reserved_micro=ahead_micro,
        )
        missing_micro = request.needed_micro - granted
        queued_micro = missing_micro if request.queues else 0
        queue.update(sender.vm, queued_micro, now_s + self._settings.wait_s)
        effects = self._wake(request.key, queue, ledger, sender.vm, now_s)
        retry_after_s = 0.0
        if missing_micro > 0:
            effects += self._recall(request.key, ledger, holder, now_s)
            if not request.queues:
                # The request is not queued, so any contending pool may be served before it.
                record_shortfall = queue.record_shortfall(sender.vm, now_s)
                ahead_micro = max(ahead_micro, record_shortfall * ledger.quantum_micro)
            retry_after_s = self._retry_after_s(ledger, ahead_micro)
        answer = TokenAnswer(
            request.key, request.serial, granted, ledger.available_micro, retry_after_s
        )
        return [Send(sender.vm, answer), *effects]

    def _repeat_answer(
        self, ledger: IssuerLedger, holder: HolderId, request: TokenRequest, sender: VmIdentity
    ) -> list[Effect]:
        granted = ledger.granted_for(holder, request.serial)
        if granted is None:
            return []
        answer = TokenAnswer(request.key, request.serial, granted, ledger.available_micro, 0.0)
        return [Send(sender.vm, answer)]

    def _wake(
        self,
        key: ResourceKey,
        queue: WaitQueue,
        ledger: IssuerLedger,
        requester: VmName,
        now_s: float,
    ) -> list[Effect]:
        if ledger.available_micro < ledger.quantum_micro:
            return []
        woken = queue.wake(ledger.available_micro, now_s, self._settings.backoff_s)
        return [Send(vm, TokensAvailable(key)) for vm in woken if vm != requester]

    def _recall(
        self, key: ResourceKey, ledger: IssuerLedger, requester: HolderId, now_s: float
    ) -> list[Effect]:
        if now_s < self._next_recall_s.get(key, now_s):
            return []
        self._next_recall_s[key] = now_s + RECALL_INTERVAL_S
        return [
            Send(vm, TokenRecall(key)) for vm in ledger.holders_to_recall(requester, RECALL_FANOUT)
        ]

    def _retry_after_s(self, ledger: IssuerLedger, ahead_micro: int) -> float:
        """Return the time until enough has accrued for the first quantum of the requester."""
        rate = ledger.part.rate_micro_per_s
        if rate <= 0:
            return self._settings.backoff_limit_s
        queued_s = (ahead_micro + ledger.quantum_micro - ledger.available_micro) / rate
        return min(max(queued_s, self._settings.backoff_s), self._settings.backoff_limit_s)

    def _on_handover(self, message: MintHandover, sender: VmIdentity, now_s: float) -> None:
        if sender.failure_domain != self._own.failure_domain or sender.vm == self._own.vm:
            return
        self._handover = message
        if self._usable(now_s):
            self._apply_handover(now_s)

    def _apply_handover(self, now_s: float) -> None:
        """Import the state of the preceding epoch, at most once."""
        handover = self._handover
        if handover is None or handover.epoch + 1 != self._epoch:
            return
        self._handover = None
        for state in handover.ledgers:
            ledger = self._ledgers.get(state.key)
            if ledger is not None and not ledger.is_settled(now_s):
                ledger.import_state(state, now_s, now_s + self._settings.settling_s)

    def _start_ledgers(self, now_s: float) -> None:
        self._queues.clear()
        self._ledgers.clear()
        for key, limit in self._limits.items():
            self._start_ledger(key, limit, now_s)

    def _start_ledger(self, key: ResourceKey, limit: Limit, now_s: float) -> None:
        part = limit.part_of(self._own.failure_domain)
        if part.burst_micro <= 0:
            return
        self._ledgers[key] = IssuerLedger(
            part,
            quantum_micro=limit.quantum_micro,
            now_s=now_s,
            settles_at_s=max(
                now_s + self._settings.settling_s, self._exclusive_from_s.get(key, now_s)
            ),
        )

    def _part_grew(self, former: Limit, limit: Limit) -> bool:
        before = former.part_of(self._own.failure_domain)
        after = limit.part_of(self._own.failure_domain)
        return (
            after.rate_micro_per_s > before.rate_micro_per_s
            or after.burst_micro > before.burst_micro
        )

    def _apply_limit(self, key: ResourceKey, limit: Limit, now_s: float, *, is_new: bool) -> None:
        ledger = self._ledgers.get(key)
        if ledger is None and is_new:
            self._start_ledger(key, limit, now_s)
            return
        part = limit.part_of(self._own.failure_domain)
        if ledger is None:
            if part.burst_micro <= 0:
                return
            ledger = empty_ledger(quantum_micro=limit.quantum_micro, now_s=now_s)
            self._ledgers[key] = ledger
        ledger.set_part(part, now_s, growth_at_s=self._exclusive_from_s.get(key, now_s))

    def _usable(self, now_s: float) -> bool:
        self._check_stall(now_s)
        return self._may_use and self._closed_epoch != self._epoch

    def _check_stall(self, now_s: float) -> None:
        if self._last_call_s is None or now_s - self._last_call_s > self._settings.pause_bound_s:
            self._may_use = False
        self._last_call_s = now_s
