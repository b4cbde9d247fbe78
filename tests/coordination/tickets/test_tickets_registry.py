"""Ticket text, sends of another request, limits on kept answers, old tickets and hand-over."""

from __future__ import annotations

import pytest

from siskinward.coordination.events import Send
from siskinward.coordination.events import VmIdentity
from siskinward.coordination.outcomes import Answered
from siskinward.coordination.outcomes import NotRun
from siskinward.coordination.outcomes import RefusalReason
from siskinward.coordination.outcomes import Unknown
from siskinward.coordination.tickets import AnswerCaller
from siskinward.coordination.tickets import Dispatch
from siskinward.coordination.tickets import NotRunScope
from siskinward.coordination.tickets import TicketRegistry
from siskinward.coordination.tickets import TicketSettings
from siskinward.coordination.tickets import TicketStep
from siskinward.coordination.tickets import read_ticket
from siskinward.coordination.tickets import write_ticket
from siskinward.coordination.tickets.messages import ClaimGranted
from siskinward.coordination.tickets.messages import ClaimSettled
from siskinward.coordination.tickets.messages import HandOverPart
from siskinward.state.identifiers import AccountName
from siskinward.state.identifiers import DomainName
from siskinward.state.identifiers import IncarnationId
from siskinward.state.identifiers import VmName

SECRET = b"deployment secret"
EXCHANGE_S = 100.0
AGENCY = AccountName("agency")


def identity(vm: str) -> VmIdentity:
    return VmIdentity(VmName(vm), DomainName("pécs: 1"), IncarnationId(f"{vm}-0"))


def lone_registry(settings: TicketSettings | None = None) -> TicketRegistry:
    return TicketRegistry(settings or TicketSettings(), identity("home"), SECRET)


def run(
    registry: TicketRegistry, attempt: str, ticket: str, body: bytes, now_s: float = 0.0
) -> None:
    assert registry.begin(attempt, ticket, AGENCY, "print", 60.0, now_s) == [Dispatch(attempt)]
    assert registry.report_outcome(attempt, Answered(200, (), body), now_s) == []


def test_ticket_text_survives_header_and_refuses_forgery() -> None:
    registry = lone_registry()
    registry.on_members([identity("home"), identity("peer")], 0.0)
    text = registry.issue_ticket(1.5)
    assert text.isascii() and text.isprintable() and " " not in text
    ticket = read_ticket(text, SECRET).ok
    assert ticket.copy == identity("peer")
    assert write_ticket(ticket, SECRET) == text
    for at in range(len(text)):
        forged = text[:at] + chr(ord(text[at]) ^ 1) + text[at + 1 :]
        assert read_ticket(forged, SECRET).is_error()
    assert read_ticket(text, b"other secret").is_error()


@pytest.mark.parametrize(
    ("account", "fingerprint"), [(AGENCY, "other"), (AccountName("rival"), "print")]
)
def test_begin_refuses_ticket_of_another_request(account: AccountName, fingerprint: str) -> None:
    registry = lone_registry()
    ticket = registry.issue_ticket(0.0)
    run(registry, "first", ticket, b"booked")
    refusal = NotRun(RefusalReason.TICKET_INVALID, TicketSettings().retry_after_s)
    steps = registry.begin("second", ticket, account, fingerprint, 60.0, 1.0)
    assert steps == [AnswerCaller("second", refusal, NotRunScope.SEND)]
    resend = registry.begin("third", ticket, AGENCY, "print", 60.0, 1.0)
    answer = Answered(200, (), b"booked")
    assert resend == [AnswerCaller("third", answer, NotRunScope.REQUEST)]


def test_kept_answers_stay_within_bytes_and_evicted_ones_never_run_again() -> None:
    settings = TicketSettings(kept_answers_bytes=1000, kept_answer_limit_bytes=600)
    registry = lone_registry(settings)
    tickets = [registry.issue_ticket(0.0) for _ in range(4)]
    for number, size in enumerate((500, 500, 500, 700)):
        run(registry, f"first-{number}", tickets[number], b"x" * size)
    assert registry._home.claims.records.kept_bytes <= settings.kept_answers_bytes
    outcomes = []
    for number, ticket in enumerate(tickets):
        (step,) = registry.begin(f"again-{number}", ticket, AGENCY, "print", 60.0, 1.0)
        assert isinstance(step, AnswerCaller)
        outcomes.append(step.outcome)
    evicted = Unknown(RefusalReason.ANSWER_EVICTED)
    kept = Answered(200, (), b"x" * 500)
    assert outcomes == [evicted, kept, kept, evicted]


def test_old_ticket_is_refused_and_never_claimed() -> None:
    settings = TicketSettings()
    registry = lone_registry(settings)
    used, unused = registry.issue_ticket(0.0), registry.issue_ticket(0.0)
    run(registry, "first", used, b"booked", now_s=settings.claim_lifetime_s)
    now_s = settings.claim_lifetime_s + settings.record_lifetime_s + 1.0
    registry.on_timer(now_s)
    assert len(registry._home.claims.records) == 0
    for attempt, ticket in (("second", used), ("third", unused)):
        (step,) = registry.begin(attempt, ticket, AGENCY, "print", now_s + 60.0, now_s)
        assert isinstance(step, AnswerCaller)
        assert isinstance(step.outcome, NotRun)
        assert step.scope is NotRunScope.SEND


def test_full_registry_refuses_until_records_exceed_claim_lifetime() -> None:
    settings = TicketSettings(record_limit=2)
    registry = lone_registry(settings)
    tickets = [registry.issue_ticket(0.0) for _ in range(3)]
    for number in range(2):
        run(registry, f"first-{number}", tickets[number], b"booked")
    (step,) = registry.begin("full", tickets[2], AGENCY, "print", 60.0, 1.0)
    refusal = NotRun(RefusalReason.CLAIM_UNAVAILABLE, settings.retry_after_s)
    assert step == AnswerCaller("full", refusal, NotRunScope.SEND)
    now_s = settings.claim_lifetime_s + 1.0
    run(registry, "later", registry.issue_ticket(now_s), b"booked", now_s)
    (step,) = registry.begin("old", tickets[0], AGENCY, "print", now_s + 60.0, now_s)
    refusal = NotRun(RefusalReason.TICKET_INVALID, settings.retry_after_s)
    assert step == AnswerCaller("old", refusal, NotRunScope.SEND)


def test_copy_cancels_unclaimed_ticket_of_unreachable_home_and_reports_it() -> None:
    settings = TicketSettings()
    home, copy = lone_registry(), TicketRegistry(settings, identity("copy"), SECRET)
    home.on_members([identity("home"), identity("copy")], 0.0)
    ticket = home.issue_ticket(0.0)
    copy.begin("first", ticket, AGENCY, "print", 60.0, 0.0)
    steps = copy.on_timer(settings.ask_timeout_s)
    refusal = NotRun(RefusalReason.PEER_LOST, settings.retry_after_s)
    assert AnswerCaller("first", refusal, NotRunScope.REQUEST) in steps
    late = home.begin("second", ticket, AGENCY, "print", 60.0, 1.0)
    replies = _exchange(copy, late, identity("home"))
    assert _exchange(home, replies, identity("copy")) == [
        AnswerCaller("second", refusal, NotRunScope.REQUEST)
    ]


def test_copy_neither_grants_nor_rules_out_a_run_once_records_were_dropped() -> None:
    settings = TicketSettings()
    home, copy = lone_registry(), TicketRegistry(settings, identity("copy"), SECRET)
    home.on_members([identity("home"), identity("copy")], 0.0)
    ticket = home.issue_ticket(0.0)
    claim = home.begin("first", ticket, AGENCY, "print", 60.0, 0.0)
    (granted,) = _exchange(copy, claim, identity("home"))
    copy.on_timer(EXCHANGE_S + settings.record_lifetime_s + 1.0)
    (again,) = _exchange(copy, claim, identity("home"))
    assert isinstance(granted, Send) and isinstance(again, Send)
    assert isinstance(granted.message, ClaimGranted)
    assert isinstance(again.message, ClaimSettled)
    assert again.message.scope is NotRunScope.SEND


def test_hand_over_repeated_late_does_not_bring_back_old_records() -> None:
    home, peer = lone_registry(), TicketRegistry(TicketSettings(), identity("peer"), SECRET)
    ticket = home.issue_ticket(0.0)
    steps = home.hand_over(identity("peer"), 0.0)
    _exchange(peer, steps, identity("home"))
    run(peer, "first", ticket, b"booked")
    _exchange(peer, steps, identity("home"))
    (step,) = peer.begin("again", ticket, AGENCY, "print", 60.0, 1.0)
    assert isinstance(step, AnswerCaller)
    peer.hand_over(identity("third"), 2.0)
    _exchange(peer, steps, identity("home"))
    assert not peer._home.holds(read_ticket(ticket, SECRET).ok)


def test_hand_over_in_parts_keeps_answers_and_needs_every_part() -> None:
    settings = TicketSettings(hand_over_records=2)
    home, peer = lone_registry(settings), TicketRegistry(settings, identity("peer"), SECRET)
    tickets = [home.issue_ticket(0.0) for _ in range(5)]
    for number, ticket in enumerate(tickets[:4]):
        run(home, f"first-{number}", ticket, b"booked")
    sends = [step for step in home.hand_over(identity("peer"), 1.0) if isinstance(step, Send)]
    parts = [step.message for step in sends if isinstance(step.message, HandOverPart)]
    assert len(parts) == 2
    assert not home.is_handed_over
    sent_again: list[Send] = []
    for number, part in enumerate(parts):
        assert _holds_role(peer, tickets[0]) is False
        replies = peer.on_message(part, identity("home"), 500.0 + number)
        sent_again += [step for step in replies if isinstance(step, Send)]
    for reply in sent_again:
        home.on_message(reply.message, identity("peer"), 2.0)
    assert home.is_handed_over
    (step,) = peer.begin("again", tickets[0], AGENCY, "print", 900.0, 502.0)
    assert step == AnswerCaller("again", Answered(200, (), b"booked"), NotRunScope.REQUEST)
    assert peer.begin("new", tickets[4], AGENCY, "print", 900.0, 502.0) == [Dispatch("new")]


def _holds_role(registry: TicketRegistry, ticket: str) -> bool:
    return registry._home.holds(read_ticket(ticket, SECRET).ok)


def _exchange(
    registry: TicketRegistry, steps: list[TicketStep], sender: VmIdentity
) -> list[TicketStep]:
    replies: list[TicketStep] = []
    for step in steps:
        if isinstance(step, Send):
            replies += registry.on_message(step.message, sender, EXCHANGE_S)
    return replies
