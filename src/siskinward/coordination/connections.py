"""Liveness of connections to one target, and matching of answers to requests.

Pure decisions: the transport names its connections and reports what happens on them.
"""

from __future__ import annotations

from collections import deque

from attrs import evolve
from attrs import frozen

from siskinward.state.identifiers import IncarnationId


@frozen
class ConnectionSettings:
    """Time-outs and the weights of the adaptive one, see ``AdaptiveTimeout``."""

    silence_least_s: float = 0.05
    silence_limit_s: float = 5.0
    deviation_multiple: float = 4.0
    longest_multiple: float = 2.0
    recent_latencies: int = 128
    latency_gain: float = 0.125
    deviation_gain: float = 0.25
    proof_lifetime_s: float = 1.0
    idle_limit_s: float = 30.0


@frozen
class ExchangeId:
    """Names one exchange: the process that asked and its number there."""

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
    """Nobody waits for the answer any more: drop it."""


@frozen
class MisroutedAnswer:
    """The answer belongs to another connection or process: drop it, close the connection."""


ConnectionChoice = Reuse | OpenNew
AnswerMatch = Accepted | LateAnswer | MisroutedAnswer


class AdaptiveTimeout:
    """Time-out of an exchange from the latencies seen.

    The longer of the smoothed latency plus a multiple of its deviation, as in RFC 6298, and a
    multiple of the longest recent latency: service times spread more than network round trips.
    """

    def __init__(self, settings: ConnectionSettings) -> None:
        self._settings = settings
        self._latency_s: float | None = None
        self._deviation_s = 0.0
        self._recent_s: deque[float] = deque(maxlen=settings.recent_latencies)

    def on_latency(self, latency_s: float) -> None:
        """Take the time from a request's last byte to its answer's first."""
        self._recent_s.append(latency_s)
        if self._latency_s is None:
            self._latency_s = latency_s
            self._deviation_s = latency_s / 2.0
            return
        settings = self._settings
        error_s = latency_s - self._latency_s
        self._deviation_s += settings.deviation_gain * (abs(error_s) - self._deviation_s)
        self._latency_s += settings.latency_gain * error_s

    @property
    def timeout_s(self) -> float:
        """Silence after which a connection is suspected; the limit until latencies are known."""
        settings = self._settings
        if self._latency_s is None:
            return settings.silence_limit_s
        smoothed_s = self._latency_s + settings.deviation_multiple * self._deviation_s
        longest_s = settings.longest_multiple * max(self._recent_s)
        timeout_s = max(smoothed_s, longest_s, settings.silence_least_s)
        return min(timeout_s, settings.silence_limit_s)


class ExchangeTable:
    """Open exchanges of this process, each on one connection; drops and counts other answers."""

    def __init__(self, own: IncarnationId) -> None:
        self._own = own
        self._open: dict[ExchangeId, int] = {}
        self._last_number = 0
        self.late_answers = 0
        self.misrouted_answers = 0

    def begin(self, connection_id: int) -> ExchangeId:
        """Name a new exchange."""
        self._last_number += 1
        exchange_id = ExchangeId(self._own, self._last_number)
        self._open[exchange_id] = connection_id
        return exchange_id

    def match(self, connection_id: int, exchange_id: ExchangeId) -> AnswerMatch:
        """Match a whole answer with the exchange that it names; each is accepted once."""
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
        """Nobody waits for this answer any more."""
        self._open.pop(exchange_id, None)


@frozen
class _Connection:
    opened_at_s: float
    proof_at_s: float
    exchange: ExchangeId | None = None
    sent_at_s: float = 0.0
    answer_begun: bool = False
    answered_at_s: float = 0.0


class TargetConnections:
    """The connections to one target: which to use, which to suspect, whose answer arrived."""

    def __init__(self, settings: ConnectionSettings, exchanges: ExchangeTable) -> None:
        self._settings = settings
        self._exchanges = exchanges
        self._timeout = AdaptiveTimeout(settings)
        self._connections: dict[int, _Connection] = {}

    def __len__(self) -> int:
        return len(self._connections)

    @property
    def timeout_s(self) -> float:
        """The adaptive time-out at present."""
        return self._timeout.timeout_s

    def on_opened(self, connection_id: int, now_s: float) -> None:
        """A connection was established; that proves it alive."""
        self._connections[connection_id] = _Connection(now_s, now_s)

    def on_closed(self, connection_id: int) -> None:
        """A connection is gone, and so is any exchange on it."""
        connection = self._connections.pop(connection_id, None)
        if connection is not None and connection.exchange is not None:
            self._exchanges.abandon(connection.exchange)

    def choose(self, *, idempotent: bool, now_s: float) -> ConnectionChoice:
        """The idle connection last proven alive, or a new one where that is too old."""
        limit_s = self._settings.idle_limit_s if idempotent else self._settings.proof_lifetime_s
        idle = [
            (connection.proof_at_s, connection_id)
            for connection_id, connection in self._connections.items()
            if connection.exchange is None and now_s - connection.proof_at_s <= limit_s
        ]
        return Reuse(max(idle)[1]) if idle else OpenNew()

    def on_sent(self, connection_id: int, now_s: float) -> ExchangeId:
        """A request was written; an unfinished exchange bars the connection."""
        connection = self._connections[connection_id]
        if connection.exchange is not None:
            raise ValueError(f"connection {connection_id} has an unfinished exchange")
        exchange_id = self._exchanges.begin(connection_id)
        self._connections[connection_id] = evolve(
            connection, exchange=exchange_id, sent_at_s=now_s, answer_begun=False
        )
        return exchange_id

    def on_answer_begun(self, connection_id: int, now_s: float) -> None:
        """The first byte of an awaited answer arrived; that proves the connection alive."""
        connection = self._connections.get(connection_id)
        if connection is None or connection.exchange is None or connection.answer_begun:
            return
        self._timeout.on_latency(now_s - connection.sent_at_s)
        self._connections[connection_id] = evolve(
            connection, answer_begun=True, answered_at_s=now_s, proof_at_s=now_s
        )

    def on_answered(self, connection_id: int, exchange_id: ExchangeId, now_s: float) -> AnswerMatch:
        """A whole answer arrived. Unless it is accepted, the transport closes the connection."""
        match = self._exchanges.match(connection_id, exchange_id)
        if not isinstance(match, Accepted):
            self.on_closed(connection_id)
            return match
        self.on_answer_begun(connection_id, now_s)
        connection = self._connections[connection_id]
        self._connections[connection_id] = evolve(connection, exchange=None, proof_at_s=now_s)
        return match

    def suspected_connections(self, now_s: float) -> list[int]:
        """Connections whose answer is overdue while a newer connection has answered since."""
        overdue = self._overdue(now_s)
        return [one for one in overdue if self._newer_answered(self._connections[one])]

    def needs_probe(self, now_s: float) -> bool:
        """Whether an answer is overdue and only a new connection can tell silence from load."""
        overdue = self._overdue(now_s)
        return any(not self._newer_answered(self._connections[one]) for one in overdue)

    def oldest_idle(self) -> int | None:
        """The idle connection that was proven alive longest ago, to make room for a new one."""
        idle = [
            (connection.proof_at_s, connection_id)
            for connection_id, connection in self._connections.items()
            if connection.exchange is None
        ]
        return min(idle)[1] if idle else None

    def expired_connections(self, now_s: float) -> list[int]:
        """Idle connections too old for any use."""
        limit_s = self._settings.idle_limit_s
        return [
            connection_id
            for connection_id, connection in self._connections.items()
            if connection.exchange is None and now_s - connection.proof_at_s > limit_s
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
        # A connect alone would not do: it succeeds at a target that is merely slow.
        return any(
            other.opened_at_s > connection.opened_at_s
            and other.answered_at_s > connection.sent_at_s
            for other in self._connections.values()
        )
