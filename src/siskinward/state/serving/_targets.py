"""What a target says of itself."""

from __future__ import annotations

from attrs import frozen

from siskinward.state.identifiers import DomainName
from siskinward.state.identifiers import ServiceName
from siskinward.state.identifiers import TargetName


@frozen
class TargetRecord:
    """One start of a target. ``started_ms`` is the Unix time of that start.

    ``warmup_left_s`` is how much longer the target was cold when it reported; ``heartbeat`` counts
    its reports since the start.
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
