"""Exact accounting of one limit at one issuer, independent of what the limit measures."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define
from attrs import frozen

from siskinward.coordination.shares.limits import NO_PART
from siskinward.coordination.shares.limits import IssuerShare
from siskinward.coordination.shares.messages import HolderState
from siskinward.coordination.shares.messages import LedgerState
from siskinward.state.identifiers import IncarnationId
from siskinward.state.identifiers import VmName

if TYPE_CHECKING:
    from siskinward.coordination.shares.keys import ResourceKey
    from siskinward.coordination.shares.messages import TokenRequest

NS_PER_S = 1_000_000_000
EXPIRY_SCAN_INTERVAL_S = 0.1


@frozen
class HolderId:
    """Identifies the share pool of one process."""

    vm: VmName
    incarnation: IncarnationId


@define
class _Holder:
    """Upper bound of the tokens that a pool holds, and its last request."""

    serial: int
    held_micro: int
    granted_micro: int
    expires_s: float


class IssuerLedger:
    """A token bucket that counts the tokens held by pools against its burst.

    Invariant: the tokens that all pools can still spend are at most ``outstanding_micro``, and
    ``available_micro + outstanding_micro`` grows only by accrual, which stops at the burst.
    Until ``settles_at_s`` pools may hold unknown tokens of a previous issuer, so nothing accrues.
    """

    def __init__(
        self, part: IssuerShare, *, quantum_micro: int, now_s: float, settles_at_s: float
    ) -> None:
        self.available_micro = 0
        self.outstanding_micro = 0
        self._part = part
        self._next_part: IssuerShare | None = None
        self._next_part_at_s = 0.0
        self.quantum_micro = quantum_micro
        self._settles_at_s = settles_at_s
        self._accrued_to_ns = _to_ns(max(now_s, settles_at_s))
        self._remainder = 0
        self._holders: dict[HolderId, _Holder] = {}
        self._next_expiry_scan_s = now_s

    @property
    def part(self) -> IssuerShare:
        """Return the active rate and burst."""
        return self._part

    def is_settled(self, now_s: float) -> bool:
        """Return whether all unknown tokens of a previous issuer have expired."""
        return now_s >= self._settles_at_s

    def advance(self, now_s: float) -> None:
        """Accrue up to ``now_s`` and write off tokens that pools have dropped as expired."""
        if self._next_part is not None and now_s >= self._next_part_at_s:
            self._accrue(self._next_part_at_s)
            self._part = self._next_part
            self._next_part = None
        self._accrue(now_s)
        if now_s >= self._next_expiry_scan_s:
            self._expire(now_s)

    def set_part(self, part: IssuerShare, now_s: float, *, growth_at_s: float) -> None:
        """Apply a smaller rate or burst at once, a larger one only at ``growth_at_s``."""
        self.advance(now_s)
        declared = self._next_part or self._part
        if part == declared:
            return
        self._part = IssuerShare(
            rate_micro_per_s=min(part.rate_micro_per_s, self._part.rate_micro_per_s),
            burst_micro=min(part.burst_micro, self._part.burst_micro),
        )
        self._next_part = None if part == self._part else part
        self._next_part_at_s = growth_at_s
        room_micro = max(self._part.burst_micro - self.outstanding_micro, 0)
        self.available_micro = min(self.available_micro, room_micro)

    def apply_report(self, holder: HolderId, request: TokenRequest, expires_s: float) -> bool:
        """Apply a pool's report at most once; return whether it was new."""
        known = self._holders.get(holder)
        if known is not None and request.serial <= known.serial:
            return False
        before_micro = known.held_micro if known is not None else 0
        consumed_micro = max(before_micro - request.held_micro, 0)
        self.available_micro += min(request.returned_micro, consumed_micro)
        self.outstanding_micro += request.held_micro - before_micro
        self._holders[holder] = _Holder(request.serial, request.held_micro, 0, expires_s)
        return True

    def grant(
        self, holder: HolderId, *, needed_micro: int, wanted_micro: int, reserved_micro: int
    ) -> int:
        """Grant tokens to a pool whose report was just applied; return the amount.

        ``reserved_micro`` is kept for pools that asked earlier. Prefetch takes at most half of
        what remains, so that one pool never empties the issuer for traffic that may not come.
        """
        usable_micro = max(self.available_micro - reserved_micro, 0)
        needed = self._round_down(min(needed_micro, usable_micro))
        prefetch_limit = (usable_micro - needed) // 2
        prefetch = self._round_down(min(max(wanted_micro - needed_micro, 0), prefetch_limit))
        granted = needed + prefetch
        record = self._holders[holder]
        record.granted_micro = granted
        record.held_micro += granted
        self.available_micro -= granted
        self.outstanding_micro += granted
        return granted

    def granted_for(self, holder: HolderId, serial: int) -> int | None:
        """Return what was granted for the last request, or ``None`` if ``serial`` is older."""
        record = self._holders.get(holder)
        if record is None or record.serial != serial:
            return None
        return record.granted_micro

    def holders_to_recall(self, requester: HolderId, limit: int) -> list[VmName]:
        """Return the other VMs that hold the most tokens, at most ``limit`` of them."""
        candidates = [
            (record.held_micro, holder.vm)
            for holder, record in self._holders.items()
            if holder != requester and record.held_micro >= self.quantum_micro
        ]
        candidates.sort(reverse=True)
        return [vm for _, vm in candidates[:limit]]

    def export_state(self, key: ResourceKey) -> LedgerState:
        """Return the state for the next issuer."""
        holders = tuple(
            HolderState(
                vm=holder.vm,
                incarnation=holder.incarnation,
                serial=record.serial,
                held_micro=record.held_micro,
                granted_micro=record.granted_micro,
            )
            for holder, record in self._holders.items()
        )
        return LedgerState(key=key, available_micro=self.available_micro, holders=holders)

    def import_state(self, state: LedgerState, now_s: float, expires_s: float) -> None:
        """Add the state of the previous issuer and end the settling time."""
        for known in state.holders:
            holder = HolderId(known.vm, known.incarnation)
            own = self._holders.get(holder)
            if own is not None and own.serial > known.serial:
                # A newer report to this issuer covers all that the pool holds.
                continue
            self.outstanding_micro += known.held_micro - (own.held_micro if own else 0)
            self._holders[holder] = _Holder(
                known.serial, known.held_micro, known.granted_micro, expires_s
            )
        room_micro = max(self._part.burst_micro - self.outstanding_micro, 0)
        self.available_micro = min(self.available_micro + state.available_micro, room_micro)
        self._settles_at_s = now_s
        self._accrued_to_ns = _to_ns(now_s)

    def _accrue(self, now_s: float) -> None:
        now_ns = _to_ns(now_s)
        if now_ns <= self._accrued_to_ns:
            return
        elapsed_ns = now_ns - self._accrued_to_ns
        self._accrued_to_ns = now_ns
        scaled = self._part.rate_micro_per_s * elapsed_ns + self._remainder
        accrued_micro, self._remainder = divmod(scaled, NS_PER_S)
        room_micro = self._part.burst_micro - self.available_micro - self.outstanding_micro
        if accrued_micro >= room_micro:
            accrued_micro = max(room_micro, 0)
            self._remainder = 0
        self.available_micro += accrued_micro

    def _expire(self, now_s: float) -> None:
        for holder, record in list(self._holders.items()):
            if now_s >= record.expires_s:
                self.outstanding_micro -= record.held_micro
                del self._holders[holder]
        self._next_expiry_scan_s = now_s + EXPIRY_SCAN_INTERVAL_S

    def _round_down(self, amount_micro: int) -> int:
        return amount_micro - amount_micro % self.quantum_micro


def empty_ledger(*, quantum_micro: int, now_s: float) -> IssuerLedger:
    """Return a ledger that accrues nothing until ``set_part`` is called."""
    return IssuerLedger(NO_PART, quantum_micro=quantum_micro, now_s=now_s, settles_at_s=now_s)


def _to_ns(time_s: float) -> int:
    return int(time_s * NS_PER_S)
