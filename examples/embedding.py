"""Enforces the rate of a client account across three VMs with only the shares package.

Network and time are simulated: messages wait in a list, and the time is a number. Run as
``python examples/embedding.py``.
"""

from __future__ import annotations

from typing import Any

from siskinward.coordination.events import Send
from siskinward.coordination.events import VmIdentity
from siskinward.coordination.shares import AccountTokens
from siskinward.coordination.shares import IssuerHolders
from siskinward.coordination.shares import ShareIssuer
from siskinward.coordination.shares import SharePool
from siskinward.coordination.shares import ShareSettings
from siskinward.state.configuration import parse_configuration
from siskinward.state.identifiers import AccountName
from siskinward.state.identifiers import DomainName
from siskinward.state.identifiers import IncarnationId
from siskinward.state.identifiers import VmName

DOMAIN = DomainName("one")
STEP_S = 0.01
SETTLED_S = 10.0
CONFIGURATION = """
[region north]
[failure-domain one]
region = north
[client-account reader]
rate_per_s = 20
burst_tokens = 20
"""


def identity(name: str) -> VmIdentity:
    """Return the identity of one VM of the only failure domain."""
    return VmIdentity(VmName(name), DOMAIN, IncarnationId(f"{name}-1"))


class Fleet:
    """Three share pools and one share issuer; each message arrives one step after it is sent."""

    def __init__(self) -> None:
        configuration = parse_configuration(CONFIGURATION, "embedding").ok
        self.vms = [identity(name) for name in ("a", "b", "c")]
        self.issuer = ShareIssuer(ShareSettings(), self.vms[0])
        self.pools = {vm.vm: SharePool(ShareSettings(), vm) for vm in self.vms}
        self.inbox: list[tuple[VmIdentity, VmName, Any]] = []
        self.now_s = 0.0
        self.issuer.on_configuration(configuration, self.now_s)
        for vm in self.vms:
            pool = self.pools[vm.vm]
            self._queue(vm, pool.on_configuration(configuration, self.now_s))
            holders = IssuerHolders({DOMAIN: self.vms[0].vm})
            self._queue(vm, pool.on_issuer_holders(holders, self.now_s))

    def step(self) -> None:
        """Advance the time by one step, deliver the queued messages and run the timers."""
        self.now_s += STEP_S
        delivered, self.inbox = self.inbox, []
        for sender, to, message in delivered:
            receiver = next(vm for vm in self.vms if vm.vm == to)
            effects = self.pools[to].on_message(message, sender, self.now_s)
            if receiver == self.vms[0]:
                effects = effects + self.issuer.on_message(message, sender, self.now_s)
            self._queue(receiver, effects)
        self.issuer.on_grant(True, 1, self.now_s)
        self._queue(self.vms[0], self.issuer.on_timer(self.now_s))
        for vm in self.vms:
            self._queue(vm, self.pools[vm.vm].on_timer(self.now_s))

    def spend(self, vm: VmIdentity) -> bool:
        """Try to spend one token of the account at one VM."""
        pool = self.pools[vm.vm]
        spent = pool.spend(AccountTokens(AccountName("reader")), 1, self.now_s)
        self._queue(vm, pool.take_effects())
        return spent

    def _queue(self, sender: VmIdentity, effects: list[Any]) -> None:
        for effect in effects:
            match effect:
                case Send(to, message):
                    self.inbox.append((sender, to, message))


def run(duration_s: float) -> int:
    """Request tokens at five times the rate, round robin over the VMs; return the number spent."""
    fleet = Fleet()
    while fleet.now_s < SETTLED_S:
        fleet.step()
    spent_count = 0
    step_count = round(duration_s / STEP_S)
    for number in range(step_count):
        fleet.step()
        spent_count += fleet.spend(fleet.vms[number % len(fleet.vms)])
    return spent_count


if __name__ == "__main__":
    print(f"{run(10.0)} tokens spent in 10 s at 20 a second with a burst of 20")
