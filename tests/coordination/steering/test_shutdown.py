"""Which requests a VM that is shutting down still passes on."""

from __future__ import annotations

from siskinward.coordination.steering.shutdown import ANSWER_MARGIN_S
from siskinward.coordination.steering.shutdown import Shutdown


def test_shutdown_leaves_time_for_all_requests_before_it_begins() -> None:
    assert Shutdown().leaves_time_until(1e9)


def test_shutdown_leaves_time_only_for_what_is_answered_before_its_end() -> None:
    shutdown = Shutdown()
    shutdown.begin(10.0)
    assert shutdown.leaves_time_until(10.0 - ANSWER_MARGIN_S)
    assert not shutdown.leaves_time_until(10.0)


def test_shutdown_leaves_no_time_once_it_has_ended() -> None:
    shutdown = Shutdown()
    shutdown.begin(10.0)
    shutdown.end()
    assert not shutdown.leaves_time_until(0.0)
