"""Liveness of connections to one target, and matching of answers to requests.

Performs no I/O: the transport assigns the connection ids and reports events.
"""

from __future__ import annotations

from collections import deque

from attrs import evolve
from attrs import frozen

from siskinward.state.identifiers import IncarnationId


@frozen
class ConnectionSettings:
    """Time-outs, and the weights of the moving averages of ``AdaptiveTimeout``.

    ``min_timeout_s`` and ``max_timeout_s`` bound the adaptive time-out. An idle connection that
    was last confirmed alive more than ``alive_confirmation_s`` ago takes only idempotent
    requests, and none after ``idle_limit_s``.
    """

    min_timeout_s: float = 0.05
    max_timeout_s: float = 5.0
    deviation_multiple: float = 4.0
    max_latency_multiple: float = 2.0
    recent_latencies: int = 128
    latency_weight: float = 0.125
    deviation_weight: float = 0.25
    alive_confirmation_s: float = 1.0
    idle_limit_s: float = 30.0


@frozen
class ExchangeId:
    """Identifies one exchange by the requesting process and a sequence number in that process."""

    incarnation: IncarnationId
    number: int


@frozen
class Reuse:
    """Use this idle connection."""

    connection_id: int


@frozen
class OpenNew:
    """Open a connection."""


@frozen
class Accepted:
    """The answer belongs to the open exchange on its connection."""

    exchange_id: ExchangeId


@frozen
class LateAnswer:
    """The exchange was abandoned or already answered; the answer is dropped."""


@frozen
class MisroutedAnswer:
    """The answer belongs to another connection or process; drop it and close the connection."""


ConnectionChoice = Reuse | OpenNew
AnswerMatch = Accepted | LateAnswer | MisroutedAnswer


class AdaptiveTimeout:
    """Time-out of an exchange, computed from observed latencies.

    The longer of the smoothed latency plus a multiple of its deviation, as in RFC 6298, and a
    multiple of the longest recent latency: service times spread more than network round trips.
    """

    def __init__(self, settings: ConnectionSettings) -> None:
        self._settings = settings
        self._latency_s: float | None = None
        self._deviation_s = 0.0
        self._recent_s: deque[float] = deque(maxlen=settings.recent_latencies)

    def on_latency(self, latency_s: float) -> None:
        """Record the time from the last byte of a request to the first byte of its answer."""
        self._recent_s.append(latency_s)
        if self._latency_s is None:
            self._latency_s = latency_s
            self._deviation_s = latency_s / 2.0
            return
        settings = self._settings
        error_s = latency_s - self._latency_s
        self._deviation_s += settings.deviation_weight * (abs(error_s) - self._deviation_s)
        self._latency_s += settings.latency_weight * error_s

    @property
    def timeout_s(self) -> float:
        """Silence after which a connection is suspected; the maximum until a latency is known."""
        settings = self._settings
        if self._latency_s is None:
            return settings.max_timeout_s
        smoothed_s = self._latency_s + settings.deviation_multiple * self._deviation_s
        longest_s = settings.max_latency_multiple * max(self._recent_s)
        timeout_s = max(smoothed_s, longest_s, settings.min_timeout_s)
        return min(timeout_s, settings.max_timeout_s)


class ExchangeTable:
    """Open exchanges of this process, each on one connection.

    Late and misrouted answers are counted.
    """

    def __init__(self, own: IncarnationId) -> None:
        self._own = own
        self._open: dict[ExchangeId, int] = {}
        self._last_number = 0
        self.late_answers = 0
        self.misrouted_answers = 0

    def begin(self, connection_id: int) -> ExchangeId:
        """Open an exchange on a connection and return its id."""
        self._last_number += 1
        exchange_id = ExchangeId(self._own, self._last_number)
        self._open[exchange_id] = connection_id
        return exchange_id

    def match(self, connection_id: int, exchange_id: ExchangeId) -> AnswerMatch:
        """Match a complete answer with its exchange; each exchange accepts one answer."""
        expected = self._open.get(exchange_id)
        if expected == connection_id:
            del self._open[exchange_id]
            return Accepted(exchange_id)
        was_asked = 0 < exchange_id.number <= self._last_number
        if expected is None and exchange_id.incarnation == self._own and was_asked:
            self.late_answers += 1
            return LateAnswer()
        self.misrouted_answers += 1
        return MisroutedAnswer()

    def abandon(self, exchange_id: ExchangeId) -> None:
        """Drop an exchange whose answer is no longer awaited."""
        self._open.pop(exchange_id, None)


@frozen
class _Connection:
    opened_at_s: float
    alive_at_s: float
    exchange: ExchangeId | None = None
    sent_at_s: float = 0.0
    answer_begun: bool = False
    answered_at_s: float = 0.0


class TargetConnections:
    """Connections to one target: selects one to use, finds silent ones, matches answers."""

    def __init__(self, settings: ConnectionSettings, exchanges: ExchangeTable) -> None:
        self._settings = settings
        self._exchanges = exchanges
        self._timeout = AdaptiveTimeout(settings)
        self._connections: dict[int, _Connection] = {}

    def __len__(self) -> int:
        return len(self._connections)

    @property
    def timeout_s(self) -> float:
        """The current adaptive time-out."""
        return self._timeout.timeout_s

    def on_opened(self, connection_id: int, now_s: float) -> None:
        """Record an established connection, which confirms it alive."""
        self._connections[connection_id] = _Connection(now_s, now_s)

    def on_closed(self, connection_id: int) -> None:
        """Remove a closed connection and abandon its exchange."""
        connection = self._connections.pop(connection_id, None)
        if connection is not None and connection.exchange is not None:
            self._exchanges.abandon(connection.exchange)

    def choose(self, *, idempotent: bool, now_s: float) -> ConnectionChoice:
        """Reuse the idle connection last confirmed alive, or open one if that is too long ago."""
        limit_s = self._settings.idle_limit_s if idempotent else self._settings.alive_confirmation_s
        idle = [
            (connection.alive_at_s, connection_id)
            for connection_id, connection in self._connections.items()
            if connection.exchange is None and now_s - connection.alive_at_s <= limit_s
        ]
        return Reuse(max(idle)[1]) if idle else OpenNew()

    def on_sent(self, connection_id: int, now_s: float) -> ExchangeId:
        """Record a sent request.

        Raises ``ValueError`` if the connection has an unfinished exchange.
        """
        connection = self._connections[connection_id]
        if connection.exchange is not None:
            raise ValueError(f"connection {connection_id} has an unfinished exchange")
        exchange_id = self._exchanges.begin(connection_id)
        self._connections[connection_id] = evolve(
            connection, exchange=exchange_id, sent_at_s=now_s, answer_begun=False
        )
        return exchange_id

    def on_answer_begun(self, connection_id: int, now_s: float) -> None:
        """Record the first byte of an awaited answer, which confirms the connection alive."""
        connection = self._connections.get(connection_id)
        if connection is None or connection.exchange is None or connection.answer_begun:
            return
        self._timeout.on_latency(now_s - connection.sent_at_s)
        self._connections[connection_id] = evolve(
            connection, answer_begun=True, answered_at_s=now_s, alive_at_s=now_s
        )

    def on_answered(self, connection_id: int, exchange_id: ExchangeId, now_s: float) -> AnswerMatch:
        """Record a complete answer; unless it is accepted, the transport closes the connection."""
        match = self._exchanges.match(connection_id, exchange_id)
        if not isinstance(match, Accepted):
            self.on_closed(connection_id)
            return match
        self.on_answer_begun(connection_id, now_s)
        connection = self._connections[connection_id]
        self._connections[connection_id] = evolve(connection, exchange=None, alive_at_s=now_s)
        return match

    def suspected_connections(self, now_s: float) -> list[int]:
        """Return connections with an overdue answer where a newer connection has answered since."""
        overdue = self._overdue(now_s)
        return [one for one in overdue if self._newer_answered(self._connections[one])]

    def needs_probe(self, now_s: float) -> bool:
        """Return whether a probe on a new connection is needed to distinguish silence from load."""
        overdue = self._overdue(now_s)
        return any(not self._newer_answered(self._connections[one]) for one in overdue)

    def oldest_idle(self) -> int | None:
        """Return the idle connection confirmed alive longest ago, to be closed for a new one."""
        idle = [
            (connection.alive_at_s, connection_id)
            for connection_id, connection in self._connections.items()
            if connection.exchange is None
        ]
        return min(idle)[1] if idle else None

    def expired_connections(self, now_s: float) -> list[int]:
        """Return idle connections last confirmed alive more than ``idle_limit_s`` ago."""
        limit_s = self._settings.idle_limit_s
        return [
            connection_id
            for connection_id, connection in self._connections.items()
            if connection.exchange is None and now_s - connection.alive_at_s > limit_s
        ]

    def _overdue(self, now_s: float) -> list[int]:
        sent_before_s = now_s - self._timeout.timeout_s
        return [
            connection_id
            for connection_id, connection in self._connections.items()
            if connection.exchange is not None
            and not connection.answer_begun
            and connection.sent_at_s < sent_before_s
        ]

    def _newer_answered(self, connection: _Connection) -> bool:
        # An established connection is no evidence: a target that is merely slow also accepts it.
        return any(
            other.opened_at_s > connection.opened_at_s
            and other.answered_at_s > connection.sent_at_s
            for other in self._connections.values()
        )
