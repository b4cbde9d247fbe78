"""The record that a target reports about itself."""

from __future__ import annotations

from attrs import frozen

from siskinward.state.identifiers import DomainName
from siskinward.state.identifiers import ServiceName
from siskinward.state.identifiers import TargetName

# A longer time that a target states is malformed.
LONGEST_WARMUP_S = 24 * 3600.0


@frozen
class TargetRecord:
    """One incarnation of a target. ``started_ms`` is the Unix time of its start.

    ``warmup_left_s`` is the warm-up time that remained when the target reported; ``heartbeat``
    counts its reports since the start.
    """

    name: TargetName
    service: ServiceName
    host: str
    port: int
    failure_domain: DomainName
    slots: int
    is_ready: bool
    warmup_left_s: float
    heartbeat: int
    started_ms: int

    @property
    def address(self) -> str:
        """Host and port, as text."""
        return f"{self.host}:{self.port}"
