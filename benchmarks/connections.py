"""Measures detection delays of silent connections, and how often working ones are suspected."""

from __future__ import annotations

import heapq
from itertools import count
from random import Random
from typing import Any

from attrs import frozen

from siskinward.coordination.connections import Accepted
from siskinward.coordination.connections import ConnectionSettings
from siskinward.coordination.connections import ExchangeId
from siskinward.coordination.connections import ExchangeTable
from siskinward.coordination.connections import Reuse
from siskinward.coordination.connections import TargetConnections
from siskinward.state.identifiers import IncarnationId

REQUESTS_PER_S = 60.0
MEAN_LATENCY_S = 0.02
SERVICE_TIMEOUT_S = 5.0
CONNECT_S = 0.001
TIMER_S = 0.01
SILENT_AT_S = 10.0
END_AT_S = 30.0
TRIALS = 20
MS_PER_S = 1000.0


@frozen
class Load:
    """Exponential latencies whose mean is ``factor`` times longer from ``SILENT_AT_S`` on."""

    name: str
    factor: float


@frozen
class TrialCounts:
    """Detection delays and counts of one trial."""

    delays_s: tuple[float, ...]
    silent: int
    wrong: int
    requests: int


LOADS = (Load("steady", 1.0), Load("5 x slower", 5.0), Load("20 x slower", 20.0))


class Trial:
    """Simulates one target whose open connections all go silent at ``SILENT_AT_S``."""

    def __init__(self, load: Load, random: Random) -> None:
        self._load = load
        self._random = random
        self._target_connections = TargetConnections(
            ConnectionSettings(), ExchangeTable(IncarnationId("vm-0"))
        )
        self._events: list[tuple[float, int, Any]] = []
        self._order = count()
        self._sent_at_s: dict[int, float] = {}
        self._silent: set[int] = set()
        self._delays_s: list[float] = []
        self._wrongly_suspected = self._requests = self._sent_on_silent = 0
        self._probing_until_s = 0.0

    def run(self) -> TrialCounts:
        """Run the trial to its end and return its counts."""
        at_s = 0.0
        while at_s < END_AT_S:
            at_s += self._random.expovariate(REQUESTS_PER_S)
            self._schedule(at_s, self._request)
        for number in range(int(END_AT_S / TIMER_S)):
            self._schedule(number * TIMER_S, self._tick)
        self._schedule(SILENT_AT_S, self._silence_connections)
        while self._events:
            now_s, _, action = heapq.heappop(self._events)
            action(now_s)
        return TrialCounts(
            tuple(self._delays_s), self._sent_on_silent, self._wrongly_suspected, self._requests
        )

    def _schedule(self, at_s: float, action: Any) -> None:
        heapq.heappush(self._events, (at_s, next(self._order), action))

    def _silence_connections(self, now_s: float) -> None:
        self._silent = set(self._target_connections._connections)
        self._sent_on_silent = sum(one in self._silent for one in self._sent_at_s)

    def _request(self, now_s: float) -> None:
        self._requests += 1
        choice = self._target_connections.choose(idempotent=True, now_s=now_s)
        if isinstance(choice, Reuse):
            self._send(choice.connection_id, now_s)
        else:
            self._open(now_s)

    def _open(self, now_s: float) -> None:
        connection_id = next(self._order)

        def connected(at_s: float) -> None:
            self._target_connections.on_opened(connection_id, at_s)
            self._send(connection_id, at_s)

        self._schedule(now_s + CONNECT_S, connected)

    def _send(self, connection_id: int, now_s: float) -> None:
        exchange_id = self._target_connections.on_sent(connection_id, now_s)
        self._sent_at_s[connection_id] = now_s
        if now_s >= SILENT_AT_S and connection_id in self._silent:
            self._sent_on_silent += 1
        factor = self._load.factor if now_s >= SILENT_AT_S else 1.0
        latency_s = self._random.expovariate(1.0 / (MEAN_LATENCY_S * factor))
        self._schedule(now_s + latency_s, self._answer(connection_id, exchange_id))

    def _answer(self, connection_id: int, exchange_id: ExchangeId) -> Any:
        def answer(now_s: float) -> None:
            if connection_id in self._silent:
                return
            if isinstance(
                self._target_connections.on_answered(connection_id, exchange_id, now_s), Accepted
            ):
                del self._sent_at_s[connection_id]

        return answer

    def _tick(self, now_s: float) -> None:
        for connection_id in self._target_connections.suspected_connections(now_s):
            sent_at_s = self._sent_at_s.pop(connection_id)
            self._target_connections.on_closed(connection_id)
            if connection_id in self._silent:
                self._delays_s.append(now_s - sent_at_s)
            else:
                self._wrongly_suspected += 1
        if self._target_connections.needs_probe(now_s) and now_s >= self._probing_until_s:
            self._probing_until_s = now_s + self._target_connections.timeout_s
            self._open(now_s)


def main() -> None:
    """Print detection delays, the service's timeout for comparison, and wrong suspicions."""
    for load in LOADS:
        random = Random(1)
        counts = [Trial(load, random).run() for _ in range(TRIALS)]
        delays_ms = sorted(delay * MS_PER_S for one in counts for delay in one.delays_s)
        silent = sum(one.silent for one in counts)
        wrong = sum(one.wrong for one in counts)
        requests = sum(one.requests for one in counts)
        median_ms = delays_ms[len(delays_ms) // 2]
        print(
            f"{load.name:11}: {len(delays_ms)} of {silent} requests on silent connections "
            f"suspected, median {median_ms:.0f} ms, longest {delays_ms[-1]:.0f} ms, beside "
            f"{SERVICE_TIMEOUT_S * MS_PER_S:.0f} ms by the service's time-out; "
            f"wrong {wrong} of {requests} ({wrong / requests:.3%})"
        )


if __name__ == "__main__":
    main()
