"""Accounting of one limit at its issuer."""

from __future__ import annotations

from siskinward.coordination.shares.keys import AccountTokens
from siskinward.coordination.shares.ledger import HolderId
from siskinward.coordination.shares.ledger import IssuerLedger
from siskinward.coordination.shares.limits import MICRO_PER_UNIT
from siskinward.coordination.shares.limits import IssuerShare
from siskinward.coordination.shares.messages import TokenRequest
from siskinward.state.identifiers import AccountName
from siskinward.state.identifiers import IncarnationId
from siskinward.state.identifiers import VmName

TOKEN = MICRO_PER_UNIT
PART = IssuerShare(rate_micro_per_s=10 * TOKEN, burst_micro=5 * TOKEN)
KEY = AccountTokens(AccountName("choir"))
VM_A = HolderId(VmName("a"), IncarnationId("1"))
VM_B = HolderId(VmName("b"), IncarnationId("1"))


def make_ledger(settles_at_s: float = 0.0) -> IssuerLedger:
    return IssuerLedger(PART, quantum_micro=TOKEN, now_s=0.0, settles_at_s=settles_at_s)


def request(serial: int, *, held: int = 0, returned: int = 0) -> TokenRequest:
    return TokenRequest(KEY, serial, held * TOKEN, returned * TOKEN, 0, 0, queues=False)


def take(ledger: IssuerLedger, holder: HolderId, serial: int, needed: int) -> int:
    assert ledger.apply_report(holder, request(serial), expires_s=100.0)
    return ledger.grant(
        holder, needed_micro=needed * TOKEN, wanted_micro=needed * TOKEN, reserved_micro=0
    )


def test_ledger_accrues_nothing_before_it_settles_and_no_more_than_the_burst_after() -> None:
    ledger = make_ledger(settles_at_s=3.0)
    ledger.advance(3.0)
    assert ledger.available_micro == 0
    ledger.advance(3.2)
    assert ledger.available_micro == 2 * TOKEN
    ledger.advance(60.0)
    assert ledger.available_micro == PART.burst_micro


def test_ledger_counts_granted_tokens_against_the_burst_until_they_are_reported_spent() -> None:
    ledger = make_ledger()
    ledger.advance(1.0)
    assert take(ledger, VM_A, serial=1, needed=4) == 4 * TOKEN
    ledger.advance(2.0)
    assert ledger.available_micro == TOKEN
    ledger.apply_report(VM_A, request(2, held=1), expires_s=100.0)
    ledger.advance(3.0)
    assert ledger.available_micro == 4 * TOKEN


def test_ledger_applies_each_report_once_and_in_order() -> None:
    ledger = make_ledger()
    ledger.advance(1.0)
    take(ledger, VM_A, serial=1, needed=4)
    assert ledger.apply_report(VM_A, request(3, held=1, returned=3), expires_s=100.0)
    assert not ledger.apply_report(VM_A, request(3, held=1, returned=3), expires_s=100.0)
    assert not ledger.apply_report(VM_A, request(2, held=4), expires_s=100.0)
    assert (ledger.available_micro, ledger.outstanding_micro) == (4 * TOKEN, TOKEN)


def test_ledger_takes_back_no_more_than_it_granted() -> None:
    ledger = make_ledger()
    ledger.apply_report(VM_A, request(1, returned=3), expires_s=100.0)
    assert ledger.available_micro == 0


def test_ledger_writes_off_tokens_that_pools_dropped_as_expired() -> None:
    ledger = make_ledger()
    ledger.advance(1.0)
    assert ledger.apply_report(VM_A, request(1), expires_s=4.0)
    ledger.grant(VM_A, needed_micro=5 * TOKEN, wanted_micro=0, reserved_micro=0)
    ledger.advance(3.9)
    assert ledger.outstanding_micro == 5 * TOKEN
    ledger.advance(4.0)
    assert ledger.outstanding_micro == 0
    assert ledger.available_micro == 0


def test_ledger_reserves_tokens_for_earlier_requests_and_limits_prefetch() -> None:
    ledger = make_ledger()
    ledger.advance(1.0)
    ledger.apply_report(VM_A, request(1), expires_s=100.0)
    granted = ledger.grant(
        VM_A, needed_micro=4 * TOKEN, wanted_micro=4 * TOKEN, reserved_micro=3 * TOKEN
    )
    assert granted == 2 * TOKEN
    ledger.apply_report(VM_B, request(1), expires_s=100.0)
    assert ledger.grant(VM_B, needed_micro=0, wanted_micro=9 * TOKEN, reserved_micro=0) == TOKEN


def test_ledger_shrinks_at_once_and_grows_after_a_delay() -> None:
    ledger = make_ledger()
    ledger.advance(1.0)
    smaller = IssuerShare(rate_micro_per_s=TOKEN, burst_micro=2 * TOKEN)
    ledger.set_part(smaller, 1.0, growth_at_s=10.0)
    assert ledger.available_micro == 2 * TOKEN
    ledger.set_part(PART, 2.0, growth_at_s=10.0)
    ledger.advance(9.9)
    assert ledger.available_micro == 2 * TOKEN
    ledger.advance(10.1)
    assert ledger.available_micro == 3 * TOKEN
