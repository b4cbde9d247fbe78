"""A few VMs with only an issuer and a pool each, an unreliable network and a limit checker."""

from __future__ import annotations

from random import Random
from typing import Any

from attrs import define
from attrs import field
from attrs import frozen

from siskinward.coordination.events import Send
from siskinward.coordination.events import VmIdentity
from siskinward.coordination.shares import AccountTokens
from siskinward.coordination.shares import IssuerHolders
from siskinward.coordination.shares import ShareIssuer
from siskinward.coordination.shares import SharePool
from siskinward.coordination.shares import ShareSettings
from siskinward.state.identifiers import AccountName
from siskinward.state.identifiers import DomainName
from siskinward.state.identifiers import IncarnationId
from siskinward.state.identifiers import RegionName
from siskinward.state.identifiers import VmName
from siskinward.state.objects import ClientAccount
from siskinward.state.objects import Configuration
from siskinward.state.objects import FailureDomain

RATE_PER_S = 40.0
BURST_TOKENS = 12
ACCOUNT = AccountTokens(AccountName("choir"))
# Pools keep as much as they can, so that they hold tokens of the previous issuer after a change.
SETTINGS = ShareSettings(
    min_part_tokens=4,
    prefetch_s=10.0,
    low_water_s=10.0,
    idle_return_s=10.0,
    backoff_s=0.002,
    growth_delay_s=1.0,
    holding_s=2.0,
)
ROUNDING_TOKENS = 1e-3


def make_configuration(
    domains: int = 3, *, rate_per_s: float = RATE_PER_S, burst_tokens: int = BURST_TOKENS
) -> Configuration:
    """Return a configuration with one account and one region per failure domain."""
    names = [DomainName(f"d{number}") for number in range(domains)]
    account = ClientAccount(ACCOUNT.account, rate_per_s, burst_tokens)
    return Configuration(
        failure_domains={name: FailureDomain(name, RegionName(f"r-{name}")) for name in names},
        client_accounts={account.name: account},
    )


@frozen
class Envelope:
    """A message in flight."""

    sender: VmIdentity
    to: VmName
    message: Any
    sent_s: float


@define
class Node:
    """One VM: its share pool and its issuer."""

    own: VmIdentity
    pool: SharePool
    issuer: ShareIssuer


@define
class Fleet:
    """Two VMs per failure domain on a clock that the test advances."""

    random: Random
    configuration: Configuration = field(factory=make_configuration)
    settings: ShareSettings = SETTINGS
    pool_type: type[SharePool] = SharePool
    issuer_type: type[ShareIssuer] = ShareIssuer
    now_s: float = 1000.0
    nodes: dict[VmName, Node] = field(factory=dict)
    holders: dict[DomainName, VmName] = field(factory=dict)
    epochs: dict[DomainName, int] = field(factory=dict)
    in_flight: list[Envelope] = field(factory=list)
    cut: set[DomainName] = field(factory=set)
    spends: list[tuple[float, int]] = field(factory=list)
    starts: int = 0
    stale: set[VmName] = field(factory=set)
    """VMs that have not activated the latest configuration yet."""
    activate_by_s: float = 0.0
    holder_updates_blocked: bool = False
    """Whether pools are not told of new holders of issuer grants."""

    def __attrs_post_init__(self) -> None:
        for domain in self.configuration.failure_domains:
            for suffix in ("a", "b"):
                self.start(VmName(f"{domain}{suffix}"), domain)
            self.epochs[domain] = 0
            self.grant(domain, VmName(f"{domain}a"))

    def start(self, vm: VmName, domain: DomainName) -> None:
        """Start or restart a VM; a restart loses all its state."""
        self.starts += 1
        own = VmIdentity(vm, domain, IncarnationId(str(self.starts)))
        node = Node(own, self.pool_type(self.settings, own), self.issuer_type(self.settings, own))
        self.nodes[vm] = node
        self.stale.discard(vm)
        node.pool.on_configuration(self.configuration, self.now_s)
        node.issuer.on_configuration(self.configuration, self.now_s)
        node.pool.on_issuer_holders(IssuerHolders(dict(self.holders)), self.now_s)

    def grant(self, domain: DomainName, vm: VmName) -> None:
        """Give the issuer grant to ``vm`` in a new epoch without telling the previous holder."""
        self.holders[domain] = vm
        self.epochs[domain] += 1
        self.nodes[vm].issuer.on_grant(True, self.epochs[domain], self.now_s)
        for node in self.nodes.values():
            if not self.holder_updates_blocked and self.random.random() < 0.5:
                self.enqueue(
                    node,
                    node.pool.on_issuer_holders(IssuerHolders(dict(self.holders)), self.now_s),
                )

    def configure(self, configuration: Configuration) -> None:
        """Publish a configuration that every VM activates within the growth delay."""
        self.activate(set(self.stale))
        self.configuration = configuration
        self.stale = set(self.nodes)
        self.activate_by_s = self.now_s + self.settings.growth_delay_s

    def activate(self, vms: set[VmName]) -> None:
        """Activate the latest configuration on ``vms``."""
        for vm in sorted(vms & self.stale):
            node = self.nodes[vm]
            self.enqueue(node, node.pool.on_configuration(self.configuration, self.now_s))
            self.enqueue(node, node.issuer.on_configuration(self.configuration, self.now_s))
        self.stale -= vms

    def advance(self, seconds: float) -> None:
        """Advance the clock and activate an overdue configuration on all VMs."""
        late_s = self.now_s + seconds - self.activate_by_s
        if self.stale and late_s >= 0:
            self.now_s = max(self.now_s, self.activate_by_s)
            self.activate(set(self.stale))
            seconds = min(seconds, late_s)
        self.now_s += seconds

    def enqueue(self, node: Node, effects: list[Any]) -> None:
        """Queue messages for delivery."""
        for effect in effects:
            assert isinstance(effect, Send)
            self.in_flight.append(Envelope(node.own, effect.to, effect.message, self.now_s))

    def lagging_s(self) -> float:
        """Return a clock reading that is current or one pause old."""
        return self.now_s - self.random.choice([0.0, 0.0, self.settings.pause_bound_s])

    def spend_all(self, node: Node) -> None:
        """Spend as much as the pool allows."""
        read_s = self.lagging_s()
        for _ in range(2 * BURST_TOKENS):
            if not node.pool.spend(ACCOUNT, 1, read_s):
                break
            self.spends.append((self.now_s, 1))
        self.enqueue(node, node.pool.take_effects())

    def hold_unspent(self, node: Node) -> None:
        """Ask for more than the burst, so that the pool holds tokens without spending them."""
        assert not node.pool.spend(ACCOUNT, BURST_TOKENS + 1, self.lagging_s())
        self.enqueue(node, node.pool.take_effects())

    def deliver(self, envelope: Envelope) -> None:
        """Pass one message to the issuer and the pool of its receiver."""
        node = self.nodes[envelope.to]
        domains = {node.own.failure_domain, envelope.sender.failure_domain}
        if len(domains) > 1 and domains & self.cut:
            return
        # The receiver reads its clock after the message arrived, and may be paused after that.
        read_s = max(self.lagging_s(), envelope.sent_s)
        self.enqueue(node, node.issuer.on_message(envelope.message, envelope.sender, read_s))
        self.enqueue(node, node.pool.on_message(envelope.message, envelope.sender, read_s))
        for settlement in node.pool.take_settlements():
            raise AssertionError(f"nothing was reserved: {settlement}")

    def deliver_in_flight(self, loss: float, duplication: float) -> None:
        """Deliver, lose or duplicate the messages in flight, in random order."""
        batch = self.in_flight
        self.in_flight = []
        self.random.shuffle(batch)
        for envelope in batch:
            draw = self.random.random()
            if draw < loss:
                continue
            if draw < loss + duplication:
                self.in_flight.append(envelope)
            self.deliver(envelope)

    def run(
        self,
        rounds: int,
        step_s: float,
        loss: float,
        duplication: float,
        *,
        spend_probability: float = 0.8,
    ) -> None:
        """Advance the clock in steps; in each, every VM either spends or only holds tokens.

        A VM spends all that it can with probability ``spend_probability``.
        """
        for _ in range(rounds):
            self.advance(step_s)
            for vm, node in self.nodes.items():
                domain = node.own.failure_domain
                if self.holders[domain] == vm:
                    node.issuer.on_grant(True, self.epochs[domain], self.now_s)
                self.enqueue(node, node.pool.on_timer(self.now_s))
                if self.random.random() < 0.1:
                    self.activate({vm})
                if not self.holder_updates_blocked and self.random.random() < 0.1:
                    peers = IssuerHolders(dict(self.holders))
                    self.enqueue(node, node.pool.on_issuer_holders(peers, self.now_s))
                if self.random.random() < spend_probability:
                    self.spend_all(node)
                else:
                    self.hold_unspent(node)
            self.deliver_in_flight(loss, duplication)

    def take_over(self, domain: DomainName) -> None:
        """Pause the holder beyond the bound and give the grant to the other VM of its domain."""
        former = self.holders[domain]
        other = next(
            vm
            for vm, node in self.nodes.items()
            if vm != former and node.own.failure_domain == domain
        )
        self.advance(2.1 * self.settings.pause_bound_s)
        self.grant(domain, other)

    def hand_over(self, domain: DomainName) -> None:
        """Hand the issuer over gracefully and restart the previous holder."""
        former = self.holders[domain]
        other = next(
            vm
            for vm, node in self.nodes.items()
            if vm != former and node.own.failure_domain == domain
        )
        node = self.nodes[former]
        self.enqueue(node, node.pool.close(self.now_s))
        self.enqueue(node, node.issuer.hand_over(other, self.now_s))
        self.grant(domain, other)
        self.start(former, domain)

    def restart(self, vm: VmName) -> None:
        """Kill a VM and start its replacement, which gets the grant back if the VM held it."""
        node = self.nodes[vm]
        domain = node.own.failure_domain
        self.start(vm, domain)
        if self.holders[domain] == vm:
            self.grant(domain, vm)


def excess_tokens(
    spends: list[tuple[float, int]],
    rate_per_s: float = RATE_PER_S,
    burst_tokens: int = BURST_TOKENS,
) -> float:
    """Return the largest excess of any window over burst plus rate times its length."""
    level = float(burst_tokens)
    last_s = 0.0
    worst = 0.0
    for time_s, tokens in sorted(spends):
        level = min(float(burst_tokens), level + rate_per_s * (time_s - last_s)) - tokens
        last_s = time_s
        worst = max(worst, -level)
    return worst if worst > ROUNDING_TOKENS else 0.0
