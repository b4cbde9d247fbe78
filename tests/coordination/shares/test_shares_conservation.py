"""The fleet never spends more than burst plus rate times any window, whatever fails."""

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
from siskinward.coordination.shares.ledger import MintLedger
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
    "deaf",
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


def play(fleet: Fleet, steps: list[Episode]) -> None:
    for fault, number, step_s, loss, duplication, greed in steps:
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
                fleet.deaf = False
            case "deaf":
                fleet.deaf = True
            case "sleep":
                fleet.advance(fleet.settings.holding_s - fleet.settings.pause_bound_s)
            case "shrink":
                # The smaller burst is minted by one failure domain only.
                fleet.configure(make_configuration(rate_per_s=RATE_PER_S / 2, burst_tokens=7))
            case "grow":
                fleet.configure(make_configuration())
        fleet.run(12, step_s, loss, duplication, greed=greed)


@settings(max_examples=50)
@given(steps=episodes, seed=st.integers(0, 2**16))
def test_fleet_stays_within_rate_and_burst(steps: list[Episode], seed: int) -> None:
    fleet = Fleet(Random(seed))
    fleet.run(20, 0.2, 0.0, 0.0)
    play(fleet, steps)
    assert excess_tokens(fleet.spends) == 0.0


def test_fleet_spends_the_rate_when_nothing_fails() -> None:
    fleet = Fleet(Random(1))
    fleet.run(300, 0.02, 0.0, 0.0)
    spent = sum(tokens for time_s, tokens in fleet.spends if time_s >= 1004.0)
    # Two seconds: at least nine tenths of the rate come through, the rest is still on its way.
    assert spent >= 0.9 * 2.0 * RATE_PER_S


class RepeatingWallet(SharePool):
    """Broken: applies an answer each time that it arrives."""

    def _on_answer(self, purse: LimitHoldings, origin: Origin, answer: Any, *rest: Any) -> None:
        if origin.pending is None and isinstance(answer, TokenAnswer):
            origin.held_micro += answer.granted_micro
        super()._on_answer(purse, origin, answer, *rest)


class HastyMint(ShareIssuer):
    """Broken: mints at once after a takeover and starts with a full bucket."""

    def _start_ledgers(self, now_s: float) -> None:
        super()._start_ledgers(now_s)
        for ledger in self._ledgers.values():
            ledger._settles_at_s = now_s
            ledger.available_micro = ledger.part.burst_micro


class TrustingLedger(MintLedger):
    """Broken: forgets what wallets hold, as if a granted token were spent."""

    def grant(self, *args: Any, **amounts: int) -> int:
        granted = super().grant(*args, **amounts)
        self.outstanding_micro = 0
        return granted

    def receive(self, holder: Any, request: TokenRequest, expires_s: float) -> bool:
        is_new = super().receive(holder, request, expires_s)
        self.outstanding_micro = 0
        return is_new


class TrustingMint(ShareIssuer):
    """Broken: uses ``TrustingLedger``."""

    def _start_ledgers(self, now_s: float) -> None:
        super()._start_ledgers(now_s)
        for ledger in self._ledgers.values():
            ledger.__class__ = TrustingLedger


class GreedyMint(ShareIssuer):
    """Broken: uses a larger part at once, while others may still use the former parts."""

    def _grew(self, former: Limit, limit: Limit) -> bool:
        return False


class SleepwalkingMint(ShareIssuer):
    """Broken: goes on after a pause without having its grant confirmed."""

    def _check_stall(self, now_s: float) -> None:
        self._last_call_s = now_s


HOARD: Episode = ("none", 0, 0.2, 0.0, 0.0, 0.0)
SPEND: Episode = ("none", 0, 0.001, 0.0, 0.0, 0.8)
SCRIPTS: dict[str, list[Episode]] = {
    "duplicated answers": [("none", 0, 0.2, 0.0, 0.3, 0.0), SPEND],
    "takeover": [HOARD, ("take over", 0, 0.001, 0.0, 0.0, 0.0), SPEND],
    "former mint heard": [HOARD, ("take over", 0, 0.2, 0.0, 0.0, 0.0), HOARD, SPEND],
    "parts move": [HOARD, ("shrink", 0, 0.02, 0.0, 0.0, 0.0), SPEND],
}


def excesses(script: str, types: dict[str, Any]) -> list[float]:
    found = []
    for seed in range(12):
        fleet = Fleet(Random(seed), **types)
        fleet.run(20, 0.2, 0.0, 0.0)
        play(fleet, SCRIPTS[script])
        found.append(excess_tokens(fleet.spends))
    return found


@pytest.mark.parametrize(
    ("script", "broken"),
    [
        ("duplicated answers", {"wallet_type": RepeatingWallet}),
        ("takeover", {"mint_type": HastyMint}),
        ("takeover", {"mint_type": TrustingMint}),
        ("former mint heard", {"mint_type": SleepwalkingMint}),
        ("parts move", {"mint_type": GreedyMint}),
    ],
)
def test_checker_reports_broken_variant_only(script: str, broken: dict[str, Any]) -> None:
    assert max(excesses(script, broken)) > 0.0
    assert max(excesses(script, {})) == 0.0
