"""The state of a caller's request while it is served."""

from __future__ import annotations

from attrs import define
from attrs import field
from attrs import frozen

from siskinward.coordination.steering.placement import ConsideredTarget
from siskinward.daemon.entry.sender import SendFailure
from siskinward.state.identifiers import ServiceName
from siskinward.state.identifiers import TargetName
from siskinward.state.identifiers import VmName
from siskinward.state.serving import AccountPolicy
from siskinward.state.serving import ServedRoute
from siskinward.transport.front_server import Arrival

UNSENT = (SendFailure.NOT_CONNECTED.value, SendFailure.WITHHELD.value)


@frozen
class SendRecord:
    """One send to a target: what was known of the target, and the outcome.

    The request log has the fields under these names. ``choice`` counts the full targets that
    ranked before this one. ``load`` is the known number of requests at the target from all VMs,
    this request included; ``is_warm`` whether its object ran there lately, as far as known.
    ``relay`` is the VM that passed on the answer, if this one is cut off from the target.
    ``detail`` names the connection of an answer, or tells how a send without one ended.
    """

    target: TargetName
    choice: int
    load: int
    slots: int
    is_warm: bool
    outcome: str
    took_ms: float
    relay: VmName | None = None
    detail: str = ""


@define(eq=False)
class RequestContext:
    """One request and its sends; the lists are written to the request log.

    ``quota_issuer`` is the VM that refused a token for the account, if one did.
    """

    arrival: Arrival
    route: ServedRoute
    account: AccountPolicy | None
    service: ServiceName
    deadline_s: float
    fingerprint: str
    tried: list[TargetName] = field(factory=list)
    sends: list[SendRecord] = field(factory=list)
    considered: list[ConsideredTarget] = field(factory=list)
    free_slots: int = 0
    may_have_run: bool = False
    waited_s: float = 0.0
    quota_issuer: VmName | None = None

    @property
    def attempts(self) -> int:
        """Sends that may have reached a target."""
        return sum(send.outcome not in UNSENT for send in self.sends)
