"""Silent connections, reuse of idle ones, and late or misrouted answers."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from siskinward.coordination.connections import Accepted
from siskinward.coordination.connections import AdaptiveTimeout
from siskinward.coordination.connections import ConnectionSettings
from siskinward.coordination.connections import ExchangeId
from siskinward.coordination.connections import ExchangeTable
from siskinward.coordination.connections import LateAnswer
from siskinward.coordination.connections import MisroutedAnswer
from siskinward.coordination.connections import OpenNew
from siskinward.coordination.connections import Reuse
from siskinward.coordination.connections import TargetConnections
from siskinward.state.identifiers import IncarnationId

SETTINGS = ConnectionSettings()
OWN = IncarnationId("vm-0")
LATENCY_S = 0.02


def make_connections() -> TargetConnections:
    return TargetConnections(SETTINGS, ExchangeTable(OWN))


def exchange(connections: TargetConnections, connection_id: int, now_s: float) -> None:
    exchange_id = connections.on_sent(connection_id, now_s)
    assert connections.on_answered(connection_id, exchange_id, now_s + LATENCY_S) == Accepted(
        exchange_id
    )


def make_busy_connections() -> TargetConnections:
    connections = make_connections()
    connections.on_opened(1, 0.0)
    for number in range(50):
        exchange(connections, 1, number * 0.1)
    return connections


def test_silent_connection_is_suspected_only_once_a_newer_one_answers() -> None:
    connections = make_busy_connections()
    connections.on_sent(1, 10.0)
    overdue_s = 10.0 + connections.timeout_s + 0.001
    assert not connections.needs_probe(10.0 + LATENCY_S)
    assert connections.needs_probe(overdue_s)
    connections.on_opened(2, overdue_s)
    assert connections.suspected_connections(overdue_s) == []
    exchange(connections, 2, overdue_s)
    assert connections.suspected_connections(overdue_s + LATENCY_S) == [1]
    connections.on_closed(1)
    assert connections.choose(idempotent=True, now_s=overdue_s + LATENCY_S) == Reuse(2)


def test_slow_target_is_not_suspected_while_its_answer_streams() -> None:
    connections = make_busy_connections()
    connections.on_sent(1, 10.0)
    connections.on_answer_begun(1, 10.0 + LATENCY_S)
    connections.on_opened(2, 11.0)
    exchange(connections, 2, 11.0)
    assert connections.suspected_connections(20.0) == []


@pytest.mark.parametrize(
    ("idempotent", "idle_s", "choice"),
    [
        (True, SETTINGS.idle_limit_s, Reuse(1)),
        (True, SETTINGS.idle_limit_s + 1.0, OpenNew()),
        (False, SETTINGS.alive_confirmation_s, Reuse(1)),
        (False, SETTINGS.alive_confirmation_s + 0.1, OpenNew()),
    ],
)
def test_non_idempotent_requests_need_a_recently_confirmed_connection(
    idempotent: bool, idle_s: float, choice: Reuse | OpenNew
) -> None:
    connections = make_connections()
    connections.on_opened(1, 0.0)
    assert connections.choose(idempotent=idempotent, now_s=idle_s) == choice


def test_unfinished_exchange_bars_its_connection() -> None:
    connections = make_connections()
    connections.on_opened(1, 0.0)
    connections.on_sent(1, 0.0)
    connections.on_answer_begun(1, 0.1)
    assert connections.choose(idempotent=True, now_s=0.1) == OpenNew()
    with pytest.raises(ValueError, match="unfinished"):
        connections.on_sent(1, 0.1)


def test_late_and_misrouted_answers_are_dropped_and_counted() -> None:
    exchanges = ExchangeTable(OWN)
    first, second = exchanges.begin(1), exchanges.begin(2)
    assert exchanges.match(2, first) == MisroutedAnswer()
    assert exchanges.match(1, ExchangeId(IncarnationId("earlier"), 1)) == MisroutedAnswer()
    assert exchanges.match(1, ExchangeId(OWN, 99)) == MisroutedAnswer()
    assert exchanges.match(1, first) == Accepted(first)
    assert exchanges.match(1, first) == LateAnswer()
    exchanges.abandon(second)
    assert exchanges.match(2, second) == LateAnswer()
    assert (exchanges.late_answers, exchanges.misrouted_answers) == (2, 3)


def test_late_answer_on_a_kept_connection_ends_that_connection() -> None:
    connections = make_connections()
    connections.on_opened(1, 0.0)
    exchange_id = connections.on_sent(1, 0.0)
    assert connections.on_answered(1, exchange_id, 0.1) == Accepted(exchange_id)
    assert connections.on_answered(1, exchange_id, 0.2) == LateAnswer()
    assert len(connections) == 0


@given(st.lists(st.floats(0.0, 100.0), max_size=50))
def test_timeout_stays_within_its_limits(latencies_s: list[float]) -> None:
    timeout = AdaptiveTimeout(SETTINGS)
    for latency_s in latencies_s:
        timeout.on_latency(latency_s)
        assert SETTINGS.min_timeout_s <= timeout.timeout_s <= SETTINGS.max_timeout_s
