"""No request runs twice in any interleaving of claims, crashes, resends, late and lost messages."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest
from search import Search
from search_model import AttemptStatus
from search_model import HandOver
from search_model import Scenario
from search_model import ViolationError

from siskinward.coordination.events import Effect
from siskinward.coordination.events import Send
from siskinward.coordination.outcomes import NotRun
from siskinward.coordination.outcomes import RefusalReason
from siskinward.coordination.tickets import Dispatch
from siskinward.coordination.tickets import NotRunScope
from siskinward.coordination.tickets import Ticket
from siskinward.coordination.tickets import TicketStep
from siskinward.coordination.tickets._records import key_of
from siskinward.coordination.tickets._states import Claim
from siskinward.coordination.tickets._states import Role
from siskinward.coordination.tickets._states import Running
from siskinward.coordination.tickets.messages import ClaimGranted
from siskinward.coordination.tickets.messages import ClaimQuery
from siskinward.coordination.tickets.messages import ClaimSettled
from siskinward.coordination.tickets.messages import HandOverPart

if TYPE_CHECKING:
    from siskinward.coordination.tickets._attempts import TicketAttempts
    from siskinward.coordination.tickets._copy_role import CopyRole
    from siskinward.coordination.tickets._home_role import HomeRole

ENTRIES = (("first", "left"), ("second", "rite"))
SCENARIOS = {
    "two entries": Scenario(ENTRIES),
    "two sends at home": Scenario((("first", "home"), ("second", "home")), vms=("home", "kopy")),
    "home is entry, and replaced": Scenario(
        (("first", "home"), ("second", "rite")), vms=("home", "kopy", "rite"), replaceable=("home",)
    ),
    "copy is entry, and replaced": Scenario(
        (("first", "home"), ("second", "kopy")), vms=("home", "kopy"), replaceable=("kopy",)
    ),
    "both replaced": Scenario(
        (("first", "home"), ("second", "kopy")),
        vms=("home", "kopy"),
        replaceable=("home", "kopy"),
        replacements=2,
    ),
    "claimant replaced and noticed": Scenario(
        (("first", "kopy"), ("second", "home")),
        vms=("home", "kopy"),
        replaceable=("kopy",),
        departures=True,
    ),
    "hand-over to the copy": Scenario(
        (("first", "home"), ("second", "kopy")),
        vms=("home", "kopy"),
        hand_over=HandOver("home", "kopy"),
        ticks=1,
    ),
    "hand-over to a third": Scenario((("first", "left"),), hand_over=HandOver("home", "rite")),
    "hand-over, no copy": Scenario(
        (("first", "home"), ("second", "late")),
        vms=("home", "late"),
        copyless=True,
        hand_over=HandOver("home", "late"),
    ),
    "no copy, home replaced": Scenario(
        (("first", "home"), ("second", "home")), vms=("home",), replaceable=("home",)
    ),
}


@pytest.mark.parametrize("name", SCENARIOS)
def test_interleavings_no_second_run_no_false_not_run(name: str) -> None:
    search = Search(SCENARIOS[name])
    search.run()
    # Every status was reached: the promises were checked in all of them.
    assert search.statuses == set(AttemptStatus)


def _grant_without_copy(ticket: Ticket, claim: Claim) -> Effect:
    return Send(claim.claimant.vm, ClaimGranted(claim))


def _not_run_without_cancelling(role: CopyRole, message: ClaimQuery, now_s: float) -> list[Effect]:
    refusal = NotRun(RefusalReason.PEER_LOST, 1.0)
    settled = ClaimSettled(message.claim, refusal, NotRunScope.REQUEST, Role.COPY)
    return [Send(message.claim.claimant.vm, settled)]


def _dispatch_always(attempts: TicketAttempts, message: ClaimGranted) -> list[TicketStep]:
    return [Dispatch(message.claim.attempt_id)]


def _copy_claims_for_lost_home(role: CopyRole, message: ClaimQuery, now_s: float) -> list[Effect]:
    role.claims.records.put(key_of(message.ticket), Running(message.claim), now_s)
    return [Send(message.claim.claimant.vm, ClaimGranted(message.claim))]


def _take_over_without_records(role: HomeRole, parts: list[HandOverPart], now_s: float) -> None:
    role._clock_offsets_s[parts[0].home.incarnation] = 0.0


@pytest.mark.parametrize(
    ("name", "broken", "variant"),
    [
        ("home is entry, and replaced", "_home_role._request_confirmation", _grant_without_copy),
        ("two entries", "_copy_role.CopyRole.on_query", _not_run_without_cancelling),
        ("both replaced", "_copy_role.CopyRole.on_query", _copy_claims_for_lost_home),
        ("two entries", "_attempts.TicketAttempts.on_granted", _dispatch_always),
        ("hand-over, no copy", "_home_role.HomeRole._take_over", _take_over_without_records),
    ],
)
def test_interleavings_broken_variant_is_caught(
    name: str, broken: str, variant: object, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(f"siskinward.coordination.tickets.{broken}", variant)
    with pytest.raises(ViolationError):
        Search(SCENARIOS[name]).run()
