"""Issuer grant, stalls and hand-over."""

from __future__ import annotations

from typing import Any

from shares_fleet import ACCOUNT
from shares_fleet import make_configuration

from siskinward.coordination.events import Send
from siskinward.coordination.events import VmIdentity
from siskinward.coordination.shares import ShareIssuer
from siskinward.coordination.shares import ShareSettings
from siskinward.coordination.shares.limits import MICRO_PER_UNIT
from siskinward.coordination.shares.messages import MintHandover
from siskinward.coordination.shares.messages import TokenAnswer
from siskinward.coordination.shares.messages import TokenRecall
from siskinward.coordination.shares.messages import TokenRefusal
from siskinward.coordination.shares.messages import TokenRequest
from siskinward.state.identifiers import DomainName
from siskinward.state.identifiers import IncarnationId
from siskinward.state.identifiers import VmName

TOKEN = MICRO_PER_UNIT
SETTINGS = ShareSettings()
DOMAIN = DomainName("d0")
CALLER = VmIdentity(VmName("caller"), DOMAIN, IncarnationId("1"))
OTHER = VmIdentity(VmName("other"), DOMAIN, IncarnationId("1"))


def make_issuer(name: str = "holder") -> tuple[ShareIssuer, VmIdentity]:
    own = VmIdentity(VmName(name), DOMAIN, IncarnationId("1"))
    issuer = ShareIssuer(SETTINGS, own)
    issuer.on_configuration(make_configuration(1), 0.0)
    return issuer, own


def ask(
    issuer: ShareIssuer, sender: VmIdentity, serial: int, needed: int, now_s: float
) -> list[Any]:
    amount = needed * TOKEN
    message = TokenRequest(ACCOUNT, serial, 0, 0, amount, amount, queues=True)
    effects = issuer.on_message(message, sender, now_s)
    return [effect.message for effect in effects if isinstance(effect, Send)]


def granted(messages: list[Any]) -> int | None:
    for message in messages:
        if isinstance(message, TokenAnswer):
            return message.granted_micro // TOKEN
    return None


def test_issuer_refuses_without_grant() -> None:
    issuer, _ = make_issuer()
    assert isinstance(ask(issuer, CALLER, 1, 1, 5.0)[0], TokenRefusal)


def test_issuer_stops_after_a_stall_until_its_grant_is_confirmed() -> None:
    issuer, _ = make_issuer()
    issuer.on_grant(True, 1, 0.0)
    stalled_s = 10.0 + SETTINGS.pause_bound_s
    issuer.on_grant(True, 1, 10.0)
    assert isinstance(ask(issuer, CALLER, 1, 1, stalled_s + 0.01)[0], TokenRefusal)
    assert isinstance(ask(issuer, CALLER, 2, 1, stalled_s + 0.02)[0], TokenRefusal)
    issuer.on_grant(True, 1, stalled_s + 0.03)
    assert granted(ask(issuer, CALLER, 3, 1, stalled_s + 0.04)) == 1


def test_issuer_answers_a_duplicate_with_the_same_grant() -> None:
    issuer, _ = make_issuer()
    issuer.on_grant(True, 1, 0.0)
    issuer.on_grant(True, 1, 10.0)
    assert granted(ask(issuer, CALLER, 1, 3, 10.0)) == 3
    assert granted(ask(issuer, CALLER, 1, 3, 10.0)) == 3
    ledger = issuer.ledger(ACCOUNT)
    assert ledger is not None
    assert ledger.outstanding_micro == 3 * TOKEN


def test_issuer_recalls_from_other_pools_when_it_falls_short() -> None:
    issuer, _ = make_issuer()
    issuer.on_grant(True, 1, 0.0)
    issuer.on_grant(True, 1, 10.0)
    assert granted(ask(issuer, OTHER, 1, 12, 10.0)) == 12
    effects = issuer.on_message(
        TokenRequest(ACCOUNT, 1, 0, 0, TOKEN, TOKEN, queues=True), CALLER, 10.0
    )
    assert Send(OTHER.vm, TokenRecall(ACCOUNT)) in effects


def hand_over_at_10(epoch: int) -> tuple[ShareIssuer, ShareIssuer, MintHandover]:
    former, own = make_issuer()
    former.on_grant(True, 1, 0.0)
    former.on_grant(True, 1, 10.0)
    ask(former, OTHER, 1, 4, 10.0)
    successor, _ = make_issuer("successor")
    [send] = former.hand_over(VmName("successor"), 10.0)
    assert isinstance(send, Send)
    successor.on_message(send.message, own, 10.0)
    successor.on_grant(True, epoch, 10.0)
    return former, successor, send.message


def test_issuer_uses_a_handed_over_ledger_without_settling() -> None:
    former, successor, _ = hand_over_at_10(epoch=2)
    assert granted(ask(successor, CALLER, 1, 12, 10.0)) == 8
    assert isinstance(ask(former, CALLER, 2, 1, 10.0)[0], TokenRefusal)


def test_issuer_ignores_the_state_of_an_older_epoch() -> None:
    _, successor, message = hand_over_at_10(epoch=3)
    sender = VmIdentity(VmName("holder"), DOMAIN, IncarnationId("1"))
    successor.on_message(message, sender, 10.0)
    assert granted(ask(successor, CALLER, 1, 12, 10.0)) == 0


def test_issuer_imports_a_state_only_once() -> None:
    _, successor, message = hand_over_at_10(epoch=2)
    assert granted(ask(successor, CALLER, 1, 8, 10.0)) == 8
    sender = VmIdentity(VmName("holder"), DOMAIN, IncarnationId("1"))
    successor.on_message(message, sender, 10.0)
    assert granted(ask(successor, CALLER, 2, 8, 10.0)) == 0
