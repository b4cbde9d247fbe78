"""Replays a trace against a deployment of real nodes and collects the results."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import attrs
import curio
from attrs import frozen

from siskinward.standins.caller import AccountLoad
from siskinward.standins.caller import CallerRequest
from siskinward.standins.caller import CallerStandin
from siskinward.standins.caller_record import OPEN_ROUTES
from siskinward.standins.caller_record import CallerRecord
from siskinward.standins.deployment import Deployment
from siskinward.standins.deployment import DeploymentSettings
from siskinward.standins.replay._trace import ConnectionSilence
from siskinward.standins.replay._trace import Cut
from siskinward.standins.replay._trace import DrainStart
from siskinward.standins.replay._trace import KeyWithdrawal
from siskinward.standins.replay._trace import LoadLine
from siskinward.standins.replay._trace import RequestLine
from siskinward.standins.replay._trace import StoreFault
from siskinward.standins.replay._trace import TargetState
from siskinward.standins.replay._trace import VmEvent
from siskinward.standins.target import TargetStandin
from siskinward.standins.task_groups import raise_failures
from siskinward.state.errors import SiskinwardError
from siskinward.state.errors import StepError
from siskinward.state.identifiers import AccountName
from siskinward.state.objects import ClientAccount
from siskinward.state.objects import Configuration
from siskinward.state.objects import Drain
from siskinward.state.objects import DrainKind
from siskinward.transport.clock import read_clock_s

if TYPE_CHECKING:
    from siskinward.standins.replay._trace import Trace
    from siskinward.standins.replay._trace import TraceEvent
    from siskinward.standins.replay._trace import TraceLine
    from siskinward.state.objects import Route

KEY_TEXT_PREFIX = "demo-"
MS_PER_S = 1000.0


@frozen
class ReplayResult:
    """Caller outcomes, timed from the start of the replay, and the targets with their counters.

    ``tickets`` maps ticket labels of the trace to tickets.
    """

    configuration: Configuration
    record: CallerRecord
    targets: dict[str, TargetStandin]
    tickets: dict[str, str]


async def replay(trace: Trace, configuration: Configuration) -> ReplayResult:
    """Replay a trace on the clock of the running kernel, paused or real."""
    line = trace.deployment
    settings = DeploymentSettings(
        seed=line.seed,
        service_time_s=line.service_time_ms / MS_PER_S,
        cold_requests=line.cold_requests,
    )
    deployment = Deployment(settings, configuration)
    await deployment.start()
    try:
        return await _Runner(trace, deployment, read_clock_s()).run()
    finally:
        await deployment.stop()


class _Runner:
    def __init__(self, trace: Trace, deployment: Deployment, start_s: float) -> None:
        self._trace = trace
        self._deployment = deployment
        self._start_s = start_s
        self._record = CallerRecord(deployment.configuration)
        self._callers: dict[tuple[str, str], CallerStandin] = {}
        self._tickets: dict[str, str] = {}

    async def run(self) -> ReplayResult:
        async with curio.TaskGroup() as group:
            for line in sorted(self._trace.lines, key=lambda item: item.event.at_s):
                await group.spawn(self._apply_at, line)
        raise_failures(group)
        await self._sleep_until(self._trace.deployment.duration_s)
        self._record.count_within_rate()
        self._record.make_times_relative(self._start_s)
        return ReplayResult(
            self._deployment.configuration, self._record, self._deployment.targets, self._tickets
        )

    async def _apply_at(self, line: TraceLine) -> None:
        await self._sleep_until(line.event.at_s)
        await self._apply(line.number, line.event)

    async def _apply(self, number: int, event: TraceEvent) -> None:
        deployment = self._deployment
        match event:
            case RequestLine():
                await self._send_request(number, event)
            case LoadLine():
                await self._run_load(number, event)
            case KeyWithdrawal(account=account):
                await deployment.withdraw_keys(account)
            case DrainStart():
                await self._start_drain(event)
            case TargetState(target=target, state=state):
                deployment.targets[target].state = state
            case ConnectionSilence(service=service):
                for standin in self._targets_of(service):
                    standin.silent_ports |= standin.seen_ports
            case StoreFault():
                faults = deployment.platform.faults
                faults.is_out = event.is_out
                faults.delay_s = event.delay_s
                faults.lost_answers += event.lost_answers
            case Cut(domains=domains, from_platform=from_platform):
                deployment.cut_domains = set(domains)
                deployment.platform_cut_domains = set(domains) if from_platform else set()
            case VmEvent():
                await self._apply_vm_event(event)

    async def _apply_vm_event(self, event: VmEvent) -> None:
        deployment = self._deployment
        match event.event:
            case "kill":
                await deployment.kill_vm(event.vm)
            case "start":
                await deployment.start_vm(event.vm)
            case "stop":
                await deployment.stop_vm(event.vm)
            case "pause":
                await deployment.pause_vm(event.vm, event.duration_s)
            case _:
                detail = f"unknown event {event.event!r}; allowed: kill, start, stop, pause"
                raise SiskinwardError(StepError("replay", event.vm, detail))

    async def _send_request(self, number: int, event: RequestLine) -> None:
        request = CallerRequest(
            route=self._find_route(event.service, event.method, event.account),
            line=number,
            ticket_label=event.ticket,
            vm=event.vm,
            body=event.body.encode(),
            deadline_s=event.deadline_ms / MS_PER_S,
        )
        await self._caller(event.account, event.client).request(request)

    async def _run_load(self, number: int, event: LoadLine) -> None:
        caller = self._caller(event.account, event.client)
        route = self._find_route(event.service, event.method, event.account)
        rng = random.Random(self._trace.deployment.seed * 1000 + number)
        async with curio.TaskGroup() as group:
            while read_clock_s() - self._start_s < event.until_s:
                request = CallerRequest(route, line=number, vm=event.vm)
                await group.spawn(caller.request, request)
                await curio.sleep(rng.expovariate(event.rate_per_s))
        raise_failures(group)

    async def _start_drain(self, event: DrainStart) -> None:
        configuration = self._deployment.configuration
        name = f"drain-{event.subject}"
        drain = Drain(name, DrainKind(event.drain_kind), event.subject)
        drains = {**configuration.drains, name: drain}
        await self._deployment.publish(attrs.evolve(configuration, drains=drains))

    def _caller(self, account: str, client: str) -> CallerStandin:
        key = (account, client)
        if key not in self._callers:
            configuration = self._deployment.configuration
            declared = configuration.client_accounts.get(AccountName(account))
            load = AccountLoad(
                account=declared or ClientAccount(AccountName(account), 1.0, 1),
                key_text=f"{KEY_TEXT_PREFIX}{account}",
                rate_per_s=1.0,
                client_address=client,
            )
            rng = random.Random(f"{self._trace.deployment.seed}/{account}/{client}")
            caller = CallerStandin(configuration, load, self._record, rng)
            caller.tickets = self._tickets
            self._callers[key] = caller
        return self._callers[key]

    def _find_route(self, service: str, method: str, account: str) -> Route:
        access = "open" if account == OPEN_ROUTES else "keyed"
        for route in self._deployment.configuration.routes.values():
            if (route.service, route.access.value) == (service, access) and method in route.methods:
                return route
        detail = f"the service has no {access} route with method {method}"
        raise SiskinwardError(StepError("replay", service, detail))

    def _targets_of(self, service: str) -> list[TargetStandin]:
        configuration = self._deployment.configuration
        groups = configuration.target_groups
        return [
            self._deployment.targets[target.name]
            for target in configuration.targets.values()
            if groups[target.group].service == service
        ]

    async def _sleep_until(self, at_s: float) -> None:
        await curio.sleep(max(self._start_s + at_s - read_clock_s(), 0.0))
