"""Runs a load plan against a deployment, and against the baseline of random target choice."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING
from typing import Any

import attrs
import curio
from attrs import define
from attrs import field
from attrs import frozen

from siskinward.coordination.topology import domain_latencies_s
from siskinward.measures._load import plan_requests
from siskinward.measures._results import Measures
from siskinward.measures._results import ServiceLatency
from siskinward.standins.caller import AccountLoad
from siskinward.standins.caller import CallerRequest
from siskinward.standins.caller import CallerStandin
from siskinward.standins.caller_record import CallerOutcome
from siskinward.standins.caller_record import CallerRecord
from siskinward.standins.deployment import Deployment
from siskinward.standins.deployment import DeploymentSettings
from siskinward.standins.task_groups import raise_failures
from siskinward.state.identifiers import AccountName
from siskinward.state.identifiers import TargetName
from siskinward.state.objects import Configuration
from siskinward.state.objects import Drain
from siskinward.state.objects import DrainKind
from siskinward.transport.clock import read_clock_s
from siskinward.transport.connection_pool import ConnectionPool
from siskinward.transport.connection_pool import PoolSettings
from siskinward.transport.http_messages import HttpRequest

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from siskinward.measures._load import LoadPlan
    from siskinward.measures._load import PlannedRequest
    from siskinward.state.objects import ClientAccount

KEY_TEXT_PREFIX = "demo-"
SAMPLE_S = 0.05
BASELINE_ATTEMPT_LIMIT = 4
BASELINE_CONNECTIONS = 64
ALL_INSIDE_RATE_SHARE = 1.0


@frozen
class MeasureSettings:
    """Name of the deployment in the results, and the share of the run before a target drains."""

    deployment: str
    drain_after_share: float = 0.5


async def measure_system(
    settings: MeasureSettings, configuration: Configuration, plan: LoadPlan
) -> Measures:
    """Run the plan against real nodes, on the clock of the running kernel."""
    deployment = _create_deployment(configuration, plan)
    await deployment.start()
    try:
        run = _Run(settings, deployment, plan)
        callers = run.create_callers()

        async def request(planned: PlannedRequest) -> None:
            await callers[planned.account].request(CallerRequest(planned.route))

        return await run.measure("siskinward", request, drains=True)
    finally:
        await deployment.stop()


async def measure_baseline(
    settings: MeasureSettings, configuration: Configuration, plan: LoadPlan
) -> Measures:
    """Run the plan with callers that choose targets at random.

    They try up to ``BASELINE_ATTEMPT_LIMIT`` different targets until one answers with 200.
    """
    deployment = _create_deployment(configuration, plan)
    await deployment.start_targets()
    try:
        run = _Run(settings, deployment, plan)
        random_callers = _RandomChoiceCallers(deployment.configuration, run.record, plan.seed)
        return await run.measure("random choice", random_callers.request, drains=False)
    finally:
        await deployment.stop()


def _create_deployment(configuration: Configuration, plan: LoadPlan) -> Deployment:
    settings = DeploymentSettings(seed=plan.seed, service_time_s=plan.service_time_s)
    return Deployment(settings, configuration)


@define
class _RandomChoiceCallers:
    configuration: Configuration
    record: CallerRecord
    seed: int
    pools: dict[str, ConnectionPool] = field(factory=dict)
    rng: random.Random = field(init=False)

    def __attrs_post_init__(self) -> None:
        self.rng = random.Random(self.seed)

    async def request(self, planned: PlannedRequest) -> None:
        start_s = read_clock_s()
        status = await self._send_until_served(planned)
        self.record.add(
            CallerOutcome(
                line=0,
                account=planned.account,
                service=planned.route.service,
                ticket="",
                start_s=start_s,
                end_s=read_clock_s(),
                status=status,
                reason="" if status == 200 else "target-shed",
                outcome="answered" if status == 200 else "not-run",
            )
        )

    async def _send_until_served(self, planned: PlannedRequest) -> int:
        service = planned.route.service
        timeout_s = self.configuration.services[service].timeout_s
        names = [
            target.name
            for target in self.configuration.targets.values()
            if self.configuration.target_groups[target.group].service == service
        ]
        status = 0
        for name in self.rng.sample(names, BASELINE_ATTEMPT_LIMIT):
            await curio.sleep(2 * self._latency_s(planned.account, name))
            request = HttpRequest(planned.route.methods[0], planned.route.path_prefix)
            result = await self._pool(name).exchange(request, timeout_s, only_recently_used=False)
            status = result.ok.status if result.is_ok() else 0
            if status == 200:
                return status
        return status

    def _latency_s(self, account: str, target_name: str) -> float:
        """Return the one-way latency from the failure domain of the account's site."""
        configuration = self.configuration
        target = configuration.targets[TargetName(target_name)]
        domain = configuration.target_groups[target.group].failure_domain
        number = list(configuration.client_accounts).index(AccountName(account))
        blocks = list(configuration.client_blocks.values())
        site = configuration.sites[blocks[number % len(blocks)].site]
        return domain_latencies_s(configuration, site.failure_domain)[domain]

    def _pool(self, name: str) -> ConnectionPool:
        if name not in self.pools:
            target = self.configuration.targets[TargetName(name)]
            settings = PoolSettings(target.host, target.port, BASELINE_CONNECTIONS)
            self.pools[name] = ConnectionPool(settings)
        return self.pools[name]


class _Run:
    """One run: sends the planned requests, samples free slots and drains a target."""

    def __init__(self, settings: MeasureSettings, deployment: Deployment, plan: LoadPlan) -> None:
        self._settings = settings
        self._deployment = deployment
        self._plan = plan
        self._free_shares: list[float] = []
        self._drain_s = -1.0
        self.record = CallerRecord(deployment.configuration)

    def create_callers(self) -> dict[str, CallerStandin]:
        """Create a caller for each client account."""
        configuration = self._deployment.configuration
        accounts = configuration.client_accounts.values()
        return {
            account.name: self._create_caller(account, number)
            for number, account in enumerate(accounts)
        }

    async def measure(
        self, way: str, request: Callable[[PlannedRequest], Awaitable[None]], *, drains: bool
    ) -> Measures:
        """Send the planned requests with ``request`` and return the measures."""
        start_s = read_clock_s()
        sampler = await curio.spawn(self._sample_free_slots, daemon=True)
        async with curio.TaskGroup() as group:
            if drains:
                await group.spawn(self._drain, start_s)
            for planned in plan_requests(self._deployment.configuration, self._plan):
                await curio.sleep(max(start_s + planned.at_s - read_clock_s(), 0.0))
                await group.spawn(request, planned)
        await sampler.cancel()
        raise_failures(group)
        return self._compute_measures(way)

    def _create_caller(self, account: ClientAccount, number: int) -> CallerStandin:
        key_text = f"{KEY_TEXT_PREFIX}{account.name}"
        blocks = list(self._deployment.configuration.client_blocks.values())
        address = blocks[number % len(blocks)].prefix.partition("/")[0]
        load = AccountLoad(account, key_text, account.rate_per_s, address)
        rng = random.Random(self._plan.seed * 100 + number)
        return CallerStandin(self._deployment.configuration, load, self.record, rng)

    async def _sample_free_slots(self) -> None:
        targets = list(self._deployment.targets.values())
        slots = sum(target.settings.slots for target in targets)
        while True:
            running_count = sum(target.running_count for target in targets)
            self._free_shares.append(1.0 - running_count / slots)
            await curio.sleep(SAMPLE_S)

    async def _drain(self, start_s: float) -> None:
        wait_s = self._plan.duration_s * self._settings.drain_after_share
        await curio.sleep(max(start_s + wait_s - read_clock_s(), 0.0))
        configuration = self._deployment.configuration
        name = next(iter(configuration.targets))
        drains = {**configuration.drains, "measure": Drain("measure", DrainKind.TARGET, name)}
        await self._deployment.publish(attrs.evolve(configuration, drains=drains))
        published_s = read_clock_s()
        target = self._deployment.targets[name]
        end_s = start_s + self._plan.duration_s
        last_busy_s = published_s
        while read_clock_s() < end_s:
            if target.running_count:
                last_busy_s = read_clock_s()
            await curio.sleep(SAMPLE_S / 5)
        self._drain_s = last_busy_s - published_s

    def _compute_measures(self, way: str) -> Measures:
        record = self.record
        record.count_within_rate()
        tallies = list(record.accounts.items())
        within_rate = [
            item for item in tallies if item[1].within_rate_count == item[1].offered_count
        ]
        worst = min(within_rate or tallies, key=lambda item: _served_share(item[1]))
        within_rate_count = sum(tally.within_rate_count for _, tally in tallies)
        wrongful_count = sum(tally.wrongful_count for _, tally in tallies)
        samples = sorted(self._free_shares)
        return Measures(
            deployment=self._settings.deployment,
            way=way,
            level=self._plan.level,
            latencies=tuple(
                ServiceLatency(item.service, item.count, item.p50_ms, item.p99_ms, item.p999_ms)
                for item in record.latencies()
            ),
            served_count=sum(tally.served_count for _, tally in tallies),
            offered_count=sum(tally.offered_count for _, tally in tallies),
            headroom=round(samples[len(samples) // 100], 3),
            drain_s=round(self._drain_s, 2),
            worst_served_account=worst[0],
            worst_served_share=round(_served_share(worst[1]), 4),
            wrongful_share=round(wrongful_count / max(within_rate_count, 1), 5),
        )


def _served_share(tally: Any) -> float:
    return float(tally.served_count / max(tally.offered_count, 1))
