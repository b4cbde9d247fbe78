"""Checks that traffic between VMs is counted by message class and direction."""

from __future__ import annotations

from siskinward.daemon.metrics import NodeMetrics
from siskinward.protocol.handshake import Ping
from siskinward.protocol.handshake import Pong
from siskinward.transport.traffic import Direction


def test_metrics_count_traffic_by_class_and_direction() -> None:
    metrics = NodeMetrics()
    metrics.count_traffic(Ping, Direction.OUT, 10)
    metrics.count_traffic(Ping, Direction.OUT, 12)
    metrics.count_traffic(Pong, Direction.IN, 7)
    text = metrics.render().decode()
    assert 'siskinward_peer_bytes_total{direction="out",message="Ping"} 22.0' in text
    assert 'siskinward_peer_messages_total{direction="out",message="Ping"} 2.0' in text
    assert 'siskinward_peer_bytes_total{direction="in",message="Pong"} 7.0' in text
