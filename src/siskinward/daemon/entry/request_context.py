"""A caller's request on its way to an answer."""

from __future__ import annotations

from attrs import define
from attrs import field
from attrs import frozen

from siskinward.coordination.steering.placement import Considered
from siskinward.daemon.entry.sender import SendFailure
from siskinward.state.identifiers import ServiceName
from siskinward.state.identifiers import TargetName
from siskinward.state.identifiers import VmName
from siskinward.state.serving import AccountPolicy
from siskinward.state.serving import ServedRoute
from siskinward.transport.front_server import Arrival


@frozen
class SendRecord:
    """One send as the log tells it: where to, what was believed of the target, what became of it.

    ``choice`` is the target's place in the object's order; ``load`` counts requests there.
    """

    target: TargetName
    choice: int
    load: int
    slots: int
    outcome: str
    took_ms: float


@define(eq=False)
class RequestContext:
    """One request on its way; the lists tell its story in the log.

    ``quota_issuer`` is the VM that had no token left for the account, if one refused.
    """

    arrival: Arrival
    route: ServedRoute
    account: AccountPolicy | None
    service: ServiceName
    deadline_s: float
    fingerprint: str
    tried: list[TargetName] = field(factory=list)
    sends: list[SendRecord] = field(factory=list)
    considered: list[Considered] = field(factory=list)
    free_slots: int = 0
    may_have_run: bool = False
    waited_s: float = 0.0
    quota_issuer: VmName | None = None

    @property
    def attempts(self) -> int:
        """Sends that may have reached a target."""
        return sum(send.outcome != SendFailure.NOT_CONNECTED.value for send in self.sends)
