"""Spending, waiting, token expiry and shutdown of a share pool."""

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
ISSUER = VmIdentity(VmName("issuer"), DOMAIN, IncarnationId("1"))


@pytest.fixture
def pool() -> SharePool:
    pool = SharePool(SETTINGS, OWN)
    pool.on_configuration(make_configuration(1), 0.0)
    pool.on_issuer_holders(IssuerHolders({DOMAIN: ISSUER.vm}), 0.0)
    return pool


def requests(effects: list[Any]) -> list[TokenRequest]:
    return [effect.message for effect in effects if isinstance(effect, Send)]


def answer(request: TokenRequest, tokens: int) -> TokenAnswer:
    return TokenAnswer(request.key, request.serial, tokens * TOKEN, 0, 0.0)


def fill(pool: SharePool, tokens: int, now_s: float) -> None:
    assert not pool.spend(ACCOUNT, 1, now_s)
    [request] = requests(pool.take_effects())
    pool.on_message(answer(request, tokens), ISSUER, now_s)
    pool.take_effects()


def test_pool_settles_a_waiting_reservation_when_tokens_come(pool: SharePool) -> None:
    outcome = pool.reserve(ACCOUNT, 1, 1.0)
    assert isinstance(outcome, Wait)
    [request] = requests(pool.take_effects())
    pool.on_message(answer(request, 1), ISSUER, 1.01)
    assert pool.take_settlements() == [Settlement(outcome.reservation, Spent())]
    assert pool.held_units(ACCOUNT) == 0


def test_pool_refuses_a_reservation_at_its_deadline(pool: SharePool) -> None:
    outcome = pool.reserve(ACCOUNT, 1, 1.0)
    assert isinstance(outcome, Wait)
    pool.on_timer(outcome.until_s)
    [settlement] = pool.take_settlements()
    assert isinstance(settlement.outcome, Refused)
    assert settlement.outcome.retry_after_s > 0


def test_pool_refuses_at_once_when_no_issuer_is_known(pool: SharePool) -> None:
    pool.on_issuer_holders(IssuerHolders({}), 1.0)
    assert isinstance(pool.reserve(ACCOUNT, 1, 1.0), Refused)


def test_pool_applies_an_answer_once(pool: SharePool) -> None:
    assert not pool.spend(ACCOUNT, 1, 1.0)
    [request] = requests(pool.take_effects())
    for _ in range(2):
        pool.on_message(answer(request, 2), ISSUER, 1.0)
    assert pool.held_units(ACCOUNT) == 2


def test_pool_drops_tokens_after_the_holding_time_from_its_request(pool: SharePool) -> None:
    assert not pool.spend(ACCOUNT, 1, 1.0)
    [request] = requests(pool.take_effects())
    pool.on_message(answer(request, 2), ISSUER, 1.1)
    assert pool.spend(ACCOUNT, 1, 1.0 + SETTINGS.holding_s - 0.01)
    assert not pool.spend(ACCOUNT, 1, 1.0 + SETTINGS.holding_s)


def test_pool_ignores_an_answer_that_comes_after_the_holding_time(pool: SharePool) -> None:
    assert not pool.spend(ACCOUNT, 1, 1.0)
    [request] = requests(pool.take_effects())
    pool.on_message(answer(request, 3), ISSUER, 1.0 + SETTINGS.holding_s)
    assert pool.held_units(ACCOUNT) == 0


def test_pool_ignores_a_previous_issuer(pool: SharePool) -> None:
    assert not pool.spend(ACCOUNT, 1, 1.0)
    [request] = requests(pool.take_effects())
    pool.on_issuer_holders(IssuerHolders({DOMAIN: VmName("successor")}), 1.1)
    pool.on_message(answer(request, 3), ISSUER, 1.2)
    assert pool.held_units(ACCOUNT) == 0


def test_pool_repeats_a_lost_request_with_the_same_serial(pool: SharePool) -> None:
    assert not pool.spend(ACCOUNT, 1, 1.0)
    [first] = requests(pool.take_effects())
    [second] = requests(pool.on_timer(1.0 + SETTINGS.request_timeout_s))
    assert second == first


def test_pool_returns_idle_tokens(pool: SharePool) -> None:
    fill(pool, 2, 1.0)
    [request] = requests(pool.on_timer(1.0 + SETTINGS.idle_return_s + 0.1))
    assert (request.held_micro, request.returned_micro) == (0, 2 * TOKEN)
    assert pool.held_units(ACCOUNT) == 0


def test_pool_returns_tokens_on_recall_once_demand_has_stopped(pool: SharePool) -> None:
    for _ in range(20):
        pool.spend(ACCOUNT, 1, 1.0)
    [request] = requests(pool.take_effects())
    pool.on_message(answer(request, 3), ISSUER, 1.0)
    pool.take_effects()
    [returned] = requests(pool.on_message(TokenRecall(ACCOUNT), ISSUER, 1.19))
    assert returned.returned_micro == 3 * TOKEN


def test_pool_returns_everything_and_refuses_after_close(pool: SharePool) -> None:
    fill(pool, 2, 1.0)
    [request] = requests(pool.close(1.1))
    assert request.returned_micro == 2 * TOKEN
    assert not pool.spend(ACCOUNT, 1, 1.1)
    assert isinstance(pool.reserve(ACCOUNT, 1, 1.1), Refused)
