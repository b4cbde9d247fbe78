"""A few VMs with share objects only, an unreliable network and a checker of the invariant."""

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
# Wallets keep as much as they can, so that tokens of former mints are around when mints change.
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
    """A message on its way."""

    sender: VmIdentity
    to: VmName
    message: Any
    sent_s: float


@define
class Node:
    """One VM: its wallet and its mint."""

    own: VmIdentity
    wallet: SharePool
    mint: ShareIssuer


@define
class Fleet:
    """Two VMs per failure domain; time is advanced by the test."""

    random: Random
    configuration: Configuration = field(factory=make_configuration)
    settings: ShareSettings = SETTINGS
    wallet_type: type[SharePool] = SharePool
    mint_type: type[ShareIssuer] = ShareIssuer
    now_s: float = 1000.0
    nodes: dict[VmName, Node] = field(factory=dict)
    holders: dict[DomainName, VmName] = field(factory=dict)
    epochs: dict[DomainName, int] = field(factory=dict)
    in_flight: list[Envelope] = field(factory=list)
    cut: set[DomainName] = field(factory=set)
    spends: list[tuple[float, int]] = field(factory=list)
    starts: int = 0
    stale: set[VmName] = field(factory=set)
    """VMs that have not adopted the configuration yet."""
    adopt_by_s: float = 0.0
    deaf: bool = False
    """Whether no wallet hears of new mint holders."""

    def __attrs_post_init__(self) -> None:
        for domain in self.configuration.failure_domains:
            for suffix in ("a", "b"):
                self.start(VmName(f"{domain}{suffix}"), domain)
            self.epochs[domain] = 0
            self.grant(domain, VmName(f"{domain}a"))

    def start(self, vm: VmName, domain: DomainName) -> None:
        """Start or restart a VM; a restart forgets everything."""
        self.starts += 1
        own = VmIdentity(vm, domain, IncarnationId(str(self.starts)))
        node = Node(own, self.wallet_type(self.settings, own), self.mint_type(self.settings, own))
        self.nodes[vm] = node
        self.stale.discard(vm)
        node.wallet.on_configuration(self.configuration, self.now_s)
        node.mint.on_configuration(self.configuration, self.now_s)
        node.wallet.on_issuer_holders(IssuerHolders(dict(self.holders)), self.now_s)

    def grant(self, domain: DomainName, vm: VmName) -> None:
        """Give the mint grant to ``vm`` in a new epoch; the former holder is not told."""
        self.holders[domain] = vm
        self.epochs[domain] += 1
        self.nodes[vm].mint.on_grant(True, self.epochs[domain], self.now_s)
        for node in self.nodes.values():
            if not self.deaf and self.random.random() < 0.5:
                self.carry(
                    node,
                    node.wallet.on_issuer_holders(IssuerHolders(dict(self.holders)), self.now_s),
                )

    def configure(self, configuration: Configuration) -> None:
        """Publish a configuration that every VM adopts within the growth delay."""
        self.adopt(set(self.stale))
        self.configuration = configuration
        self.stale = set(self.nodes)
        self.adopt_by_s = self.now_s + self.settings.growth_delay_s

    def adopt(self, vms: set[VmName]) -> None:
        """Let VMs adopt the present configuration."""
        for vm in sorted(vms & self.stale):
            node = self.nodes[vm]
            self.carry(node, node.wallet.on_configuration(self.configuration, self.now_s))
            self.carry(node, node.mint.on_configuration(self.configuration, self.now_s))
        self.stale -= vms

    def advance(self, seconds: float) -> None:
        """Let time pass."""
        late_s = self.now_s + seconds - self.adopt_by_s
        if self.stale and late_s >= 0:
            self.now_s = max(self.now_s, self.adopt_by_s)
            self.adopt(set(self.stale))
            seconds = min(seconds, late_s)
        self.now_s += seconds

    def carry(self, node: Node, effects: list[Any]) -> None:
        """Put messages on their way."""
        for effect in effects:
            assert isinstance(effect, Send)
            self.in_flight.append(Envelope(node.own, effect.to, effect.message, self.now_s))

    def lagging_s(self) -> float:
        """Return a clock reading that is up to one pause old."""
        return self.now_s - self.random.choice([0.0, 0.0, self.settings.pause_bound_s])

    def spend_all(self, node: Node) -> None:
        """Spend whatever the wallet allows."""
        read_s = self.lagging_s()
        for _ in range(2 * BURST_TOKENS):
            if not node.wallet.spend(ACCOUNT, 1, read_s):
                break
            self.spends.append((self.now_s, 1))
        self.carry(node, node.wallet.take_effects())

    def hoard(self, node: Node) -> None:
        """Ask for more than there is, so that the wallet holds tokens without spending them."""
        assert not node.wallet.spend(ACCOUNT, BURST_TOKENS + 1, self.lagging_s())
        self.carry(node, node.wallet.take_effects())

    def deliver(self, envelope: Envelope) -> None:
        """Hand one message to both objects of its receiver."""
        node = self.nodes[envelope.to]
        domains = {node.own.failure_domain, envelope.sender.failure_domain}
        if len(domains) > 1 and domains & self.cut:
            return
        # The receiver reads its clock after the message came, and may be paused after that.
        read_s = max(self.lagging_s(), envelope.sent_s)
        self.carry(node, node.mint.on_message(envelope.message, envelope.sender, read_s))
        self.carry(node, node.wallet.on_message(envelope.message, envelope.sender, read_s))
        for settlement in node.wallet.take_settlements():
            raise AssertionError(f"nothing was reserved: {settlement}")

    def shake(self, loss: float, duplication: float) -> None:
        """Deliver, lose, duplicate or hold back the messages on their way, in any order."""
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
        self, rounds: int, step_s: float, loss: float, duplication: float, *, greed: float = 0.8
    ) -> None:
        """Let time pass; each VM spends all that it can with probability ``greed``, or hoards."""
        for _ in range(rounds):
            self.advance(step_s)
            for vm, node in self.nodes.items():
                domain = node.own.failure_domain
                if self.holders[domain] == vm:
                    node.mint.on_grant(True, self.epochs[domain], self.now_s)
                self.carry(node, node.wallet.on_timer(self.now_s))
                if self.random.random() < 0.1:
                    self.adopt({vm})
                if not self.deaf and self.random.random() < 0.1:
                    peers = IssuerHolders(dict(self.holders))
                    self.carry(node, node.wallet.on_issuer_holders(peers, self.now_s))
                if self.random.random() < greed:
                    self.spend_all(node)
                else:
                    self.hoard(node)
            self.shake(loss, duplication)

    def take_over(self, domain: DomainName) -> None:
        """Pause the holder beyond the bound and let the other VM of its domain take over."""
        former = self.holders[domain]
        other = next(
            vm
            for vm, node in self.nodes.items()
            if vm != former and node.own.failure_domain == domain
        )
        self.advance(2.1 * self.settings.pause_bound_s)
        self.grant(domain, other)

    def hand_over(self, domain: DomainName) -> None:
        """Hand the mint over gracefully and restart the former holder."""
        former = self.holders[domain]
        other = next(
            vm
            for vm, node in self.nodes.items()
            if vm != former and node.own.failure_domain == domain
        )
        node = self.nodes[former]
        self.carry(node, node.wallet.close(self.now_s))
        self.carry(node, node.mint.hand_over(other, self.now_s))
        self.grant(domain, other)
        self.start(former, domain)

    def restart(self, vm: VmName) -> None:
        """Kill a VM and start its replacement; a mint goes to the replacement."""
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
    """Return by how much some window exceeds burst plus rate times its length, at worst."""
    level = float(burst_tokens)
    last_s = 0.0
    worst = 0.0
    for time_s, tokens in sorted(spends):
        level = min(float(burst_tokens), level + rate_per_s * (time_s - last_s)) - tokens
        last_s = time_s
        worst = max(worst, -level)
    return worst if worst > ROUNDING_TOKENS else 0.0
