"""Limits of client accounts over a fleet of enforcers that exchange encoded token messages."""

from __future__ import annotations

from enum import Enum
from random import Random
from typing import TYPE_CHECKING
from typing import Any

import curio
import pytest
from attrs import define
from attrs import frozen
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from siskinward.coordination.steering.account_shares import AccountShares
from siskinward.coordination.steering.account_tokens import TokenAsk
from siskinward.coordination.steering.account_tokens import TokenGrant
from siskinward.coordination.steering.account_tokens import TokenIssuer
from siskinward.coordination.steering.fleet import EntryVm
from siskinward.coordination.steering.fleet import Fleet
from siskinward.coordination.steering.fleet import FleetSettings
from siskinward.coordination.steering.fleet import Heartbeat
from siskinward.coordination.steering.fleet import VmState
from siskinward.daemon.entry.quota_enforcer import QuotaEnforcer
from siskinward.daemon.entry.quota_enforcer import QuotaSettings
from siskinward.daemon.entry.quota_enforcer import WithinQuota
from siskinward.daemon.entry.steering import SteeringSettings
from siskinward.protocol.heartbeats import decode_datagram
from siskinward.standins import paused_clock
from siskinward.state.identifiers import AccountName
from siskinward.state.identifiers import DomainName
from siskinward.state.identifiers import IncarnationId
from siskinward.state.identifiers import RegionName
from siskinward.state.identifiers import VmName
from siskinward.state.serving import AccountPolicy
from siskinward.state.serving import ServingBounds
from siskinward.transport.clock import read_clock_s

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable
    from collections.abc import Iterable

BOUNDS = ServingBounds()
HEARTBEAT_S = 0.2
ONE_WAY_DELAY_S = 0.012
# Ratio of an account's limit to its mean demand.
HEADROOM = 1.6


@define
class _Index:
    policies: dict[AccountName, AccountPolicy]

    def account(self, name: AccountName) -> AccountPolicy | None:
        return self.policies.get(name)


@define(eq=False)
class _Steering:
    settings: SteeringSettings
    fleet: Fleet
    shares: AccountShares
    issuer: TokenIssuer
    index: _Index


class _FakeDatagrams:
    """Delivers datagrams to other VMs, except to VMs that are down or across a cut."""

    def __init__(self, fleet: _Fleet, own: EntryVm) -> None:
        self._fleet = fleet
        self._own = own

    async def send(self, data: bytes, hosts: Iterable[str]) -> None:
        for host in hosts:
            if self._fleet.can_communicate(host, self._own.host):
                await curio.spawn(self._deliver(data, host), daemon=True)

    async def _deliver(self, data: bytes, host: str) -> None:
        await curio.sleep(ONE_WAY_DELAY_S)
        receiver = self._fleet.vms[host].enforcer
        match decode_datagram(data):
            case TokenAsk() as ask:
                await receiver.on_ask(ask, self._own.host)
            case TokenGrant() as grant:
                await receiver.on_grant(grant)


class _Vm:
    """One VM's enforcer and its view of the fleet."""

    def __init__(self, fleet: _Fleet, number: int, policies: list[AccountPolicy]) -> None:
        self.fleet = fleet
        self.number = number
        self.identity = _entry_vm(number)
        self.policies = policies
        self.start(1)

    def start(self, incarnation: int) -> None:
        now_s = read_clock_s()
        self.heartbeat_count = 0
        self.incarnation = incarnation
        identity = _entry_vm(self.number, incarnation)
        view = Fleet(identity, FleetSettings(), domains=4)
        view.state = VmState.READY
        if self.fleet.vms:
            view.add_peers([vm.identity for vm in self.fleet.vms.values()], now_s)
            view.on_membership_loaded()
        settings = SteeringSettings()
        shares = AccountShares(settings.shares, view, now_s)
        issuer = TokenIssuer(settings.tokens, BOUNDS, view)
        index = _Index({policy.name: policy for policy in self.policies})
        self.steering = _Steering(settings, view, shares, issuer, index)
        self.identity = identity
        datagrams: Any = _FakeDatagrams(self.fleet, identity)
        steering: Any = self.steering
        self.enforcer = QuotaEnforcer(QuotaSettings(), steering, datagrams)

    def heartbeat(self) -> Heartbeat:
        self.heartbeat_count += 1
        self.steering.shares.update_demand(read_clock_s())
        self.steering.issuer.update_membership(read_clock_s())
        demand = dict(self.steering.shares.publish())
        return Heartbeat(self.identity, self.heartbeat_count, VmState.READY, demand_per_s=demand)


class _Fleet:
    """VMs that exchange heartbeats, and the requests of their accounts."""

    def __init__(self, count: int, policies: list[AccountPolicy]) -> None:
        self.cut: set[str] = set()
        self.down: set[str] = set()
        self.vms: dict[str, _Vm] = {}
        self.offered: dict[AccountName, int] = {}
        self.admitted_s: dict[AccountName, list[float]] = {policy.name: [] for policy in policies}
        self.vms = {f"10.0.0.{number}": _Vm(self, number, policies) for number in range(count)}
        for vm in self.vms.values():
            vm.start(1)

    def can_communicate(self, one: str, other: str) -> bool:
        if one in self.down or other in self.down:
            return False
        return (one in self.cut) == (other in self.cut)

    async def exchange_heartbeats(self) -> None:
        while True:
            for host, vm in list(self.vms.items()):
                heartbeat = vm.heartbeat()
                for other_host, other in self.vms.items():
                    if self.can_communicate(host, other_host):
                        other.steering.fleet.on_heartbeat(heartbeat, read_clock_s())
            await curio.sleep(HEARTBEAT_S)

    async def offer(
        self,
        policy: AccountPolicy,
        per_s: float,
        random: Random,
        *,
        weights: list[float] | None = None,
    ) -> None:
        """Send an account's requests to VMs chosen at random, or by ``weights``."""
        hosts = list(self.vms)
        while True:
            await curio.sleep(random.expovariate(per_s))
            host = random.choices(hosts, weights)[0]
            if host in self.down:
                continue
            vm = self.vms[host]
            self.offered[policy.name] = self.offered.get(policy.name, 0) + 1
            await curio.spawn(self._request(vm, policy), daemon=True)

    async def _request(self, vm: _Vm, policy: AccountPolicy) -> None:
        if isinstance(await vm.enforcer.try_take(policy), WithinQuota):
            self.admitted_s[policy.name].append(read_clock_s())

    async def restart(self, host: str, *, down_s: float) -> None:
        """Kill a VM and start it again."""
        self.down.add(host)
        await curio.sleep(down_s)
        self.vms[host].start(incarnation=self.vms[host].incarnation + 1)
        self.down.discard(host)

    def max_admitted_in_window(self, name: AccountName) -> int:
        times = self.admitted_s[name]
        window_s = BOUNDS.quota_window_s
        return max(sum(start <= time < start + window_s for time in times) for start in times)


@frozen
class _Demand:
    policy: AccountPolicy
    per_s: float
    weights: list[float] | None = None


def _entry_vm(number: int, incarnation: int = 1) -> EntryVm:
    name = VmName(str(number))
    return EntryVm(
        name,
        IncarnationId(f"{number}/{incarnation}"),
        f"10.0.0.{number}",
        80,
        DomainName("north-1"),
        RegionName("north"),
    )


def _policy(name: str, rate_per_s: float) -> AccountPolicy:
    return AccountPolicy(AccountName(name), (), None, rate_per_s, rate_per_s, frozenset())


def _allowed_in_window(policy: AccountPolicy) -> float:
    limit = policy.rate_per_s * BOUNDS.quota_window_s + policy.burst_requests
    return limit * (1 + BOUNDS.quota_overshoot) + BOUNDS.quota_slack_requests


def _run_fleet(
    kernel: Any,
    count: int,
    accounts: list[_Demand],
    for_s: float,
    fault: Callable[[_Fleet], Awaitable[None]] | None = None,
) -> _Fleet:
    """Run a fleet under the accounts' load for ``for_s``, with ``fault`` injected."""

    async def main() -> _Fleet:
        fleet = _Fleet(count, [demand.policy for demand in accounts])
        await curio.spawn(fleet.exchange_heartbeats(), daemon=True)
        for index, demand in enumerate(accounts):
            offer = fleet.offer(demand.policy, demand.per_s, Random(index), weights=demand.weights)
            await curio.spawn(offer, daemon=True)
        if fault is not None:
            await curio.spawn(fault(fleet), daemon=True)
        await curio.sleep(for_s)
        return fleet

    fleet: _Fleet = kernel.run(main)
    return fleet


def _within_limits(name: str, per_s: float) -> _Demand:
    return _Demand(_policy(name, per_s * HEADROOM), per_s)


def _beyond_limits(name: str, rate_per_s: float) -> _Demand:
    return _Demand(_policy(name, rate_per_s), 6.0 * rate_per_s)


@pytest.mark.parametrize("count", [3, 11, 16, 40])
def test_enforcer_accounts_within_their_limits_are_served(paused_kernel: Any, count: int) -> None:
    accounts = [
        _within_limits("choir", 1.5),
        _within_limits("parish", 4.0),
        _within_limits("school", 8.0),
        _within_limits("festival", 25.0),
    ]
    fleet = _run_fleet(paused_kernel, count, accounts, for_s=60.0)
    for name, offered in fleet.offered.items():
        assert len(fleet.admitted_s[name]) >= 0.97 * offered, name


@pytest.mark.parametrize("count", [3, 11, 16, 40])
def test_enforcer_accounts_beyond_their_limits_get_them(paused_kernel: Any, count: int) -> None:
    accounts = [_beyond_limits("choir", 1.0), _beyond_limits("festival", 40.0)]
    fleet = _run_fleet(paused_kernel, count, accounts, for_s=30.0)
    for policy in (demand.policy for demand in accounts):
        assert fleet.max_admitted_in_window(policy.name) <= _allowed_in_window(policy)
        assert len(fleet.admitted_s[policy.name]) >= 0.95 * policy.rate_per_s * 30.0


def test_enforcer_account_whose_callers_are_at_two_vms_gets_its_limit(paused_kernel: Any) -> None:
    uneven = _Demand(_policy("festival", 40.0), 80.0, [1.0, 3.0] + [0.0] * 6)
    fleet = _run_fleet(paused_kernel, 8, [uneven], for_s=20.0)
    assert len(fleet.admitted_s[uneven.policy.name]) >= 0.95 * uneven.policy.rate_per_s * 20.0
    assert fleet.max_admitted_in_window(uneven.policy.name) <= _allowed_in_window(uneven.policy)


def test_enforcer_token_goes_to_the_request_that_asked_for_it(paused_kernel: Any) -> None:
    policy = _policy("choir", 0.1)

    async def main() -> list[str]:
        fleet = _Fleet(3, [policy])
        await curio.spawn(fleet.exchange_heartbeats(), daemon=True)
        await curio.sleep(60.0)
        vm = next(
            vm
            for vm in fleet.vms.values()
            if not vm.steering.issuer.is_issuer_of(policy.name, read_clock_s())
        )
        first = await curio.spawn(vm.enforcer.try_take, policy)
        # The second request arrives together with the grant for the first.
        await curio.sleep(2 * ONE_WAY_DELAY_S)
        second = await curio.spawn(vm.enforcer.try_take, policy)
        return [type(await one.join()).__name__ for one in (first, second)]

    assert paused_kernel.run(main)[0] == WithinQuota.__name__


async def _restart_in_turn(fleet: _Fleet) -> None:
    for host in list(fleet.vms):
        await curio.sleep(1.0)
        await curio.spawn(fleet.restart(host, down_s=0.3), daemon=True)


async def _kill_in_turn(fleet: _Fleet) -> None:
    for host in list(fleet.vms)[:6]:
        await curio.sleep(3.0)
        await curio.spawn(fleet.restart(host, down_s=4.0), daemon=True)


async def _kill_all(fleet: _Fleet) -> None:
    await curio.sleep(8.0)
    for host in list(fleet.vms):
        await curio.spawn(fleet.restart(host, down_s=0.8), daemon=True)


async def _cut_in_turn(fleet: _Fleet) -> None:
    hosts = list(fleet.vms)
    for index in range(0, len(hosts), 2):
        fleet.cut = set(hosts[: index + 1])
        await curio.sleep(2.5)
        fleet.cut = set()
        await curio.sleep(1.0)


@pytest.mark.parametrize("fault", [_restart_in_turn, _kill_in_turn, _kill_all, _cut_in_turn])
@pytest.mark.parametrize("count", [8, 24])
def test_enforcer_limits_hold_while_vms_fail(
    paused_kernel: Any, fault: Callable[[_Fleet], Awaitable[None]], count: int
) -> None:
    accounts = [_beyond_limits(name, 40.0) for name in ("choir", "parish", "school", "festival")]
    accounts += [_beyond_limits(name, 4.0) for name in ("guild", "opera", "band", "trio")]
    fleet = _run_fleet(paused_kernel, count, accounts, 24.0, fault)
    for policy in (demand.policy for demand in accounts):
        assert fleet.max_admitted_in_window(policy.name) <= _allowed_in_window(policy), policy.name


def test_enforcer_accounts_are_served_on_while_their_issuers_are_down(paused_kernel: Any) -> None:
    accounts = [_within_limits(name, 8.0) for name in ("choir", "parish", "school", "festival")]
    fleet = _run_fleet(paused_kernel, 8, accounts, 30.0, _kill_in_turn)
    for name, offered in fleet.offered.items():
        assert len(fleet.admitted_s[name]) >= 0.9 * offered, name


def test_enforcer_account_without_a_limit_is_never_refused(paused_kernel: Any) -> None:
    unlimited = _Demand(_policy("choir", 0.0), 50.0)
    fleet = _run_fleet(paused_kernel, 3, [unlimited], 10.0, _kill_all)
    assert len(fleet.admitted_s[unlimited.policy.name]) == fleet.offered[unlimited.policy.name]


class _Fault(Enum):
    RESTART = "restart"
    SUSPEND = "suspend"
    CUT = "cut"
    ADD_LOAD = "add-load"


_RANDOM_FAULTS = st.lists(
    st.tuples(
        st.sampled_from(_Fault),
        st.sets(st.integers(0, 7), min_size=1, max_size=7),
        st.sampled_from([0.3, 1.0, 2.0, 4.0]),
    ),
    min_size=1,
    max_size=6,
)


async def _suspend(fleet: _Fleet, host: str, for_s: float) -> None:
    """Suspend a VM's communication; it resumes with the state it had."""
    fleet.down.add(host)
    await curio.sleep(for_s)
    fleet.down.discard(host)


async def _apply_fault(fleet: _Fleet, fault: _Fault, hosts: list[str], for_s: float) -> None:
    match fault:
        case _Fault.RESTART:
            for host in hosts:
                await curio.spawn(fleet.restart(host, down_s=for_s), daemon=True)
        case _Fault.SUSPEND:
            for host in hosts:
                await curio.spawn(_suspend(fleet, host, for_s), daemon=True)
        case _Fault.CUT:
            fleet.cut = set(hosts)
            await curio.sleep(for_s)
            fleet.cut = set()
        case _Fault.ADD_LOAD:
            policy = next(iter(fleet.vms.values())).policies[0]
            await curio.spawn(fleet.offer(policy, 60.0, Random(9)), daemon=True)


@hypothesis_settings(max_examples=25)
@given(faults=_RANDOM_FAULTS)
def test_enforcer_limits_hold_under_random_faults(
    faults: list[tuple[_Fault, set[int], float]],
) -> None:
    async def fault(fleet: _Fleet) -> None:
        for kind, indexes, for_s in faults:
            await curio.sleep(1.5)
            hosts = [f"10.0.0.{index}" for index in sorted(indexes)]
            await _apply_fault(fleet, kind, hosts, for_s)

    accounts = [_beyond_limits("festival", 40.0), _beyond_limits("choir", 4.0)]
    with paused_clock.paused_kernel() as kernel:
        fleet = _run_fleet(kernel, 8, accounts, 16.0, fault)
    for policy in (demand.policy for demand in accounts):
        assert fleet.max_admitted_in_window(policy.name) <= _allowed_in_window(policy), policy.name


def test_limit_check_fails_if_issuers_ignore_unreachable_vms(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(Fleet, "presumed_vm_count", lambda fleet, now_s: len(fleet.live(now_s)))
    accounts = [_beyond_limits("festival", 40.0)]

    async def cut_in_two(fleet: _Fleet) -> None:
        await curio.sleep(3.0)
        fleet.cut = set(list(fleet.vms)[:4])

    with paused_clock.paused_kernel() as kernel:
        fleet = _run_fleet(kernel, 8, accounts, 16.0, cut_in_two)
    policy = accounts[0].policy
    assert fleet.max_admitted_in_window(policy.name) > _allowed_in_window(policy)
