"""Spending, waiting, holding time and shutdown of a wallet."""

from __future__ import annotations

from typing import Any

import pytest
from shares_fleet import ACCOUNT
from shares_fleet import make_configuration

from siskinward.coordination.events import Send
from siskinward.coordination.events import VmIdentity
from siskinward.coordination.shares import IssuerHolders
from siskinward.coordination.shares import Refused
from siskinward.coordination.shares import Settlement
from siskinward.coordination.shares import SharePool
from siskinward.coordination.shares import ShareSettings
from siskinward.coordination.shares import Spent
from siskinward.coordination.shares import Wait
from siskinward.coordination.shares.limits import MICRO_PER_UNIT
from siskinward.coordination.shares.messages import TokenAnswer
from siskinward.coordination.shares.messages import TokenRecall
from siskinward.coordination.shares.messages import TokenRequest
from siskinward.state.identifiers import DomainName
from siskinward.state.identifiers import IncarnationId
from siskinward.state.identifiers import VmName

TOKEN = MICRO_PER_UNIT
SETTINGS = ShareSettings()
DOMAIN = DomainName("d0")
OWN = VmIdentity(VmName("own"), DOMAIN, IncarnationId("1"))
MINT = VmIdentity(VmName("mint"), DOMAIN, IncarnationId("1"))


@pytest.fixture
def wallet() -> SharePool:
    wallet = SharePool(SETTINGS, OWN)
    wallet.on_configuration(make_configuration(1), 0.0)
    wallet.on_issuer_holders(IssuerHolders({DOMAIN: MINT.vm}), 0.0)
    return wallet


def requests(effects: list[Any]) -> list[TokenRequest]:
    return [effect.message for effect in effects if isinstance(effect, Send)]


def answer(request: TokenRequest, tokens: int) -> TokenAnswer:
    return TokenAnswer(request.key, request.serial, tokens * TOKEN, 0, 0.0)


def fill(wallet: SharePool, tokens: int, now_s: float) -> None:
    assert not wallet.spend(ACCOUNT, 1, now_s)
    [request] = requests(wallet.take_effects())
    wallet.on_message(answer(request, tokens), MINT, now_s)
    wallet.take_effects()


def test_wallet_settles_a_waiting_reservation_when_tokens_come(wallet: SharePool) -> None:
    outcome = wallet.reserve(ACCOUNT, 1, 1.0)
    assert isinstance(outcome, Wait)
    [request] = requests(wallet.take_effects())
    wallet.on_message(answer(request, 1), MINT, 1.01)
    assert wallet.take_settlements() == [Settlement(outcome.reservation, Spent())]
    assert wallet.held_units(ACCOUNT) == 0


def test_wallet_refuses_a_reservation_at_its_deadline(wallet: SharePool) -> None:
    outcome = wallet.reserve(ACCOUNT, 1, 1.0)
    assert isinstance(outcome, Wait)
    wallet.on_timer(outcome.until_s)
    [settlement] = wallet.take_settlements()
    assert isinstance(settlement.outcome, Refused)
    assert settlement.outcome.retry_after_s > 0


def test_wallet_refuses_at_once_when_no_mint_is_known(wallet: SharePool) -> None:
    wallet.on_issuer_holders(IssuerHolders({}), 1.0)
    assert isinstance(wallet.reserve(ACCOUNT, 1, 1.0), Refused)


def test_wallet_applies_an_answer_once(wallet: SharePool) -> None:
    assert not wallet.spend(ACCOUNT, 1, 1.0)
    [request] = requests(wallet.take_effects())
    for _ in range(2):
        wallet.on_message(answer(request, 2), MINT, 1.0)
    assert wallet.held_units(ACCOUNT) == 2


def test_wallet_drops_tokens_after_the_holding_time_from_its_request(wallet: SharePool) -> None:
    assert not wallet.spend(ACCOUNT, 1, 1.0)
    [request] = requests(wallet.take_effects())
    wallet.on_message(answer(request, 2), MINT, 1.1)
    assert wallet.spend(ACCOUNT, 1, 1.0 + SETTINGS.holding_s - 0.01)
    assert not wallet.spend(ACCOUNT, 1, 1.0 + SETTINGS.holding_s)


def test_wallet_ignores_an_answer_that_comes_after_the_holding_time(wallet: SharePool) -> None:
    assert not wallet.spend(ACCOUNT, 1, 1.0)
    [request] = requests(wallet.take_effects())
    wallet.on_message(answer(request, 3), MINT, 1.0 + SETTINGS.holding_s)
    assert wallet.held_units(ACCOUNT) == 0


def test_wallet_ignores_a_former_mint(wallet: SharePool) -> None:
    assert not wallet.spend(ACCOUNT, 1, 1.0)
    [request] = requests(wallet.take_effects())
    wallet.on_issuer_holders(IssuerHolders({DOMAIN: VmName("successor")}), 1.1)
    wallet.on_message(answer(request, 3), MINT, 1.2)
    assert wallet.held_units(ACCOUNT) == 0


def test_wallet_repeats_a_lost_request_with_the_same_serial(wallet: SharePool) -> None:
    assert not wallet.spend(ACCOUNT, 1, 1.0)
    [first] = requests(wallet.take_effects())
    [second] = requests(wallet.on_timer(1.0 + SETTINGS.request_timeout_s))
    assert second == first


def test_wallet_returns_idle_tokens(wallet: SharePool) -> None:
    fill(wallet, 2, 1.0)
    [request] = requests(wallet.on_timer(1.0 + SETTINGS.idle_return_s + 0.1))
    assert (request.held_micro, request.returned_micro) == (0, 2 * TOKEN)
    assert wallet.held_units(ACCOUNT) == 0


def test_wallet_returns_tokens_on_recall_once_demand_has_stopped(wallet: SharePool) -> None:
    for _ in range(20):
        wallet.spend(ACCOUNT, 1, 1.0)
    [request] = requests(wallet.take_effects())
    wallet.on_message(answer(request, 3), MINT, 1.0)
    wallet.take_effects()
    [returned] = requests(wallet.on_message(TokenRecall(ACCOUNT), MINT, 1.19))
    assert returned.returned_micro == 3 * TOKEN


def test_wallet_returns_everything_and_refuses_after_close(wallet: SharePool) -> None:
    fill(wallet, 2, 1.0)
    [request] = requests(wallet.close(1.1))
    assert request.returned_micro == 2 * TOKEN
    assert not wallet.spend(ACCOUNT, 1, 1.1)
    assert isinstance(wallet.reserve(ACCOUNT, 1, 1.1), Refused)
