"""The fleet never spends more than burst plus rate times any window, whatever fails.

Each deliberately broken variant must be caught by the same checker.
"""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING
from typing import Any

import pytest
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
from shares_fleet import RATE_PER_S
from shares_fleet import Fleet
from shares_fleet import excess_tokens
from shares_fleet import make_configuration

from siskinward.coordination.shares import ShareIssuer
from siskinward.coordination.shares import SharePool
from siskinward.coordination.shares.ledger import IssuerLedger
from siskinward.coordination.shares.messages import TokenAnswer
from siskinward.coordination.shares.messages import TokenRequest

if TYPE_CHECKING:
    from siskinward.coordination.shares._limit_holdings import LimitHoldings
    from siskinward.coordination.shares._limit_holdings import Origin
    from siskinward.coordination.shares.limits import Limit

FAULTS = (
    "none",
    "take over",
    "hand over",
    "restart",
    "cut",
    "heal",
    "sleep",
    "block holder updates",
    "shrink",
    "grow",
)

Episode = tuple[str, int, float, float, float, float]

episodes = st.lists(
    st.tuples(
        st.sampled_from(FAULTS),
        st.integers(0, 5),
        st.sampled_from([0.001, 0.02, 0.2]),
        st.sampled_from([0.0, 0.1, 0.4]),
        st.sampled_from([0.0, 0.3]),
        st.sampled_from([0.0, 0.05, 0.8]),
    ),
    min_size=4,
    max_size=12,
)


def run_episodes(fleet: Fleet, steps: list[Episode]) -> None:
    for fault, number, step_s, loss, duplication, spend_probability in steps:
        vm = sorted(fleet.nodes)[number]
        domain = fleet.nodes[vm].own.failure_domain
        match fault:
            case "take over":
                fleet.take_over(domain)
            case "hand over":
                fleet.hand_over(domain)
            case "restart":
                fleet.restart(vm)
            case "cut":
                fleet.cut.add(domain)
            case "heal":
                fleet.cut.clear()
                fleet.holder_updates_blocked = False
            case "block holder updates":
                fleet.holder_updates_blocked = True
            case "sleep":
                fleet.advance(fleet.settings.holding_s - fleet.settings.pause_bound_s)
            case "shrink":
                # Only one failure domain issues the smaller burst.
                fleet.configure(make_configuration(rate_per_s=RATE_PER_S / 2, burst_tokens=7))
            case "grow":
                fleet.configure(make_configuration())
        fleet.run(12, step_s, loss, duplication, spend_probability=spend_probability)


@settings(max_examples=50)
@given(steps=episodes, seed=st.integers(0, 2**16))
def test_fleet_stays_within_rate_and_burst(steps: list[Episode], seed: int) -> None:
    fleet = Fleet(Random(seed))
    fleet.run(20, 0.2, 0.0, 0.0)
    run_episodes(fleet, steps)
    assert excess_tokens(fleet.spends) == 0.0


def test_fleet_spends_the_rate_when_nothing_fails() -> None:
    fleet = Fleet(Random(1))
    fleet.run(300, 0.02, 0.0, 0.0)
    spent = sum(tokens for time_s, tokens in fleet.spends if time_s >= 1004.0)
    # Two seconds at 90 % of the rate; the remaining tokens may still be in flight.
    assert spent >= 0.9 * 2.0 * RATE_PER_S


class DuplicateApplyingPool(SharePool):
    """Broken: applies an answer again each time a duplicate arrives."""

    def _on_answer(self, holdings: LimitHoldings, origin: Origin, answer: Any, *rest: Any) -> None:
        if origin.pending is None and isinstance(answer, TokenAnswer):
            origin.held_micro += answer.granted_micro
        super()._on_answer(holdings, origin, answer, *rest)


class UnsettledIssuer(ShareIssuer):
    """Broken: starts with a full bucket after a takeover, without the settling time."""

    def _start_ledgers(self, now_s: float) -> None:
        super()._start_ledgers(now_s)
        for ledger in self._ledgers.values():
            ledger._settles_at_s = now_s
            ledger.available_micro = ledger.part.burst_micro


class NoOutstandingLedger(IssuerLedger):
    """Broken: does not count tokens that pools hold against the burst."""

    def grant(self, *args: Any, **amounts: int) -> int:
        granted = super().grant(*args, **amounts)
        self.outstanding_micro = 0
        return granted

    def apply_report(self, holder: Any, request: TokenRequest, expires_s: float) -> bool:
        is_new = super().apply_report(holder, request, expires_s)
        self.outstanding_micro = 0
        return is_new


class NoOutstandingIssuer(ShareIssuer):
    """Broken: uses ``NoOutstandingLedger``."""

    def _start_ledgers(self, now_s: float) -> None:
        super()._start_ledgers(now_s)
        for ledger in self._ledgers.values():
            ledger.__class__ = NoOutstandingLedger


class EarlyGrowthIssuer(ShareIssuer):
    """Broken: uses a larger part at once, while others may still use their previous parts."""

    def _part_grew(self, former: Limit, limit: Limit) -> bool:
        return False


class StallIgnoringIssuer(ShareIssuer):
    """Broken: continues after a stall without having its grant confirmed."""

    def _check_stall(self, now_s: float) -> None:
        self._last_call_s = now_s


HOLD: Episode = ("none", 0, 0.2, 0.0, 0.0, 0.0)
SPEND: Episode = ("none", 0, 0.001, 0.0, 0.0, 0.8)
SCRIPTS: dict[str, list[Episode]] = {
    "duplicated answers": [("none", 0, 0.2, 0.0, 0.3, 0.0), SPEND],
    "takeover": [HOLD, ("take over", 0, 0.001, 0.0, 0.0, 0.0), SPEND],
    "previous issuer reachable": [HOLD, ("take over", 0, 0.2, 0.0, 0.0, 0.0), HOLD, SPEND],
    "parts change": [HOLD, ("shrink", 0, 0.02, 0.0, 0.0, 0.0), SPEND],
}


def excesses(script: str, types: dict[str, Any]) -> list[float]:
    found = []
    for seed in range(12):
        fleet = Fleet(Random(seed), **types)
        fleet.run(20, 0.2, 0.0, 0.0)
        run_episodes(fleet, SCRIPTS[script])
        found.append(excess_tokens(fleet.spends))
    return found


@pytest.mark.parametrize(
    ("script", "broken"),
    [
        ("duplicated answers", {"pool_type": DuplicateApplyingPool}),
        ("takeover", {"issuer_type": UnsettledIssuer}),
        ("takeover", {"issuer_type": NoOutstandingIssuer}),
        ("previous issuer reachable", {"issuer_type": StallIgnoringIssuer}),
        ("parts change", {"issuer_type": EarlyGrowthIssuer}),
    ],
)
def test_checker_reports_broken_variant_only(script: str, broken: dict[str, Any]) -> None:
    assert max(excesses(script, broken)) > 0.0
    assert max(excesses(script, {})) == 0.0
