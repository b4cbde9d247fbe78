"""Property tests with random fault sequences against whole VMs.

Each checker is itself tested against a deliberately broken variant, which it must report.
"""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING
from typing import Any

import curio
import pytest
from attrs import define
from attrs import field
from attrs import frozen
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from siskinward.coordination.steering.fleet import Fleet
from siskinward.daemon.entry.request_handler import RequestHandler
from siskinward.daemon.entry.sender import NotRun
from siskinward.daemon.entry.sender import OutcomeUnknown
from siskinward.daemon.entry.sender import SendFailure
from siskinward.platform._headers import HEADERS
from siskinward.platform.standins import Site
from siskinward.platform.standins import SiteSettings
from siskinward.platform.standins import TargetFault
from siskinward.standins.memory_network import MemoryNetwork
from siskinward.standins.paused_clock import paused_kernel
from siskinward.transport.clock import read_clock_s
from siskinward.transport.http_messages import HttpResponse
from siskinward.transport.outbound_connection import ExchangeFailedError

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from siskinward.daemon.entry.request_context import RequestContext
    from siskinward.daemon.entry.sender import SendResult

VM_NAMES = ("vm-bud-a-0", "vm-bud-a-1", "vm-deb-a-0", "vm-deb-a-1")
NOT_RUN_STATUSES = {408, 421, 429, 503}
MAX_ATTEMPTS = 2
SETTLE_S = 8.0
# The default contact bound (``ServingBounds.settling_s``) and three seconds.
NAMED_DEAD_BOUND_S = 6.0


def play(scenario: Callable[[Site, MemoryNetwork], Awaitable[None]]) -> None:
    network = MemoryNetwork()

    async def main() -> None:
        site = Site(SiteSettings())
        await site.start()
        try:
            await scenario(site, network)
        finally:
            network.cut_hosts = set()
            await site.stop()

    with paused_kernel(network) as kernel:
        kernel.run(main)


@frozen
class InjectFault:
    """Injects a fault into a target for a number of requests."""

    index: int
    fault: TargetFault
    requests: int


@frozen
class RestartTarget:
    """Crashes a target and starts it again."""

    index: int


@frozen
class SendRequests:
    """Sends concurrent bookings and listings, starting at a VM, from callers that may time out."""

    vm: int
    bookings: int
    listings: int
    patience_s: float


RequestEvent = InjectFault | RestartTarget | SendRequests

REQUEST_EVENTS = st.lists(
    st.one_of(
        st.builds(
            InjectFault,
            index=st.integers(0, 7),
            fault=st.sampled_from(TargetFault),
            requests=st.integers(1, 4),
        ),
        st.builds(RestartTarget, index=st.integers(0, 7)),
        st.builds(
            SendRequests,
            vm=st.integers(0, 3),
            bookings=st.integers(0, 6),
            listings=st.integers(0, 4),
            patience_s=st.sampled_from([0.02, 0.07, 5.0]),
        ),
    ),
    min_size=2,
    max_size=10,
)


@define
class Callers:
    """Sends requests and records their answers by attempt id."""

    site: Site
    answers: dict[str, HttpResponse] = field(factory=dict)
    sent: set[str] = field(factory=set)

    async def send(self, vm: str, path: str, patience_s: float) -> None:
        request = self.site.request(path)
        attempt_id = (request.header(HEADERS.attempt_id) or b"").decode()
        self.sent.add(attempt_id)
        try:
            async with curio.ignore_after(patience_s):
                self.answers[attempt_id] = await self.site.send(vm, request)
        except ExchangeFailedError:
            # A closed connection says nothing about whether the request ran.
            return

    def check(self) -> None:
        """Check that bookings ran at most once, refused requests did not run and answers match."""
        runs: dict[str, list[str]] = {}
        for target in self.site.targets.values():
            for run in target.runs:
                runs.setdefault(run.attempt_id, []).append(target.name)
                if run.path.startswith("/bookings/"):
                    assert len(runs[run.attempt_id]) == 1, "a booking ran twice"
        assert set(runs) <= self.sent
        assert all(len(set(names)) <= MAX_ATTEMPTS for names in runs.values())
        for attempt_id, response in self.answers.items():
            if response.status in NOT_RUN_STATUSES:
                assert attempt_id not in runs, "a request refused as not run has run"
            if response.status == 200:
                assert response.body.decode().endswith(f"ran {attempt_id}")


def play_requests(events: list[RequestEvent]) -> None:
    async def scenario(site: Site, network: MemoryNetwork) -> None:
        callers = Callers(site)
        targets = list(site.targets.values())
        for event in events:
            match event:
                case InjectFault(index=index, fault=fault, requests=requests):
                    targets[index].fault = fault
                    targets[index].remaining_faults = requests
                case RestartTarget(index=index):
                    await targets[index].crash()
                    await targets[index].start()
                case SendRequests():
                    await _send_all(callers, event)
        await curio.sleep(SETTLE_S)
        callers.check()

    play(scenario)


async def _send_all(callers: Callers, event: SendRequests) -> None:
    paths = ["/bookings/1"] * event.bookings + ["/listings/1"] * event.listings
    for number, path in enumerate(paths):
        vm = VM_NAMES[(event.vm + number) % len(VM_NAMES)]
        await curio.spawn(callers.send, vm, path, event.patience_s, daemon=True)
    await curio.sleep(0.1)


@hypothesis_settings(max_examples=40)
@given(events=REQUEST_EVENTS)
def test_bookings_run_once_and_refusals_are_true_under_random_faults(
    events: list[RequestEvent],
) -> None:
    play_requests(events)


LOST_ANSWERS: list[RequestEvent] = [
    *(InjectFault(place, TargetFault.LOSES_ANSWERS, 1) for place in range(8)),
    SendRequests(vm=0, bookings=3, listings=0, patience_s=5.0),
]


def test_checker_reports_a_vm_that_repeats_what_may_have_run(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    respond_or_retry = RequestHandler._respond_or_retry

    def repeat_all(self: RequestHandler, context: RequestContext, result: SendResult) -> Any:
        return (
            None
            if isinstance(result, OutcomeUnknown) and context.attempts < 2
            else respond_or_retry(self, context, result)
        )

    monkeypatch.setattr(RequestHandler, "_respond_or_retry", repeat_all)
    with pytest.raises(AssertionError, match="ran twice"):
        play_requests(LOST_ANSWERS)


def test_checker_reports_a_refusal_that_is_not_true(monkeypatch: pytest.MonkeyPatch) -> None:
    respond_or_retry = RequestHandler._respond_or_retry

    def refuse_all(self: RequestHandler, context: RequestContext, result: SendResult) -> Any:
        context.may_have_run = False
        stated = NotRun(SendFailure.LOST) if isinstance(result, OutcomeUnknown) else result
        context.sends *= MAX_ATTEMPTS
        return respond_or_retry(self, context, stated)

    monkeypatch.setattr(RequestHandler, "_respond_or_retry", refuse_all)
    with pytest.raises(AssertionError, match="refused as not run"):
        play_requests(LOST_ANSWERS)


class FleetEvent(Enum):
    """Events in the life of one VM."""

    KILL = "kill"
    LEAVE = "leave"
    START = "start"
    CUT = "cut"
    HEAL = "heal"
    WAIT = "wait"


FLEET_EVENTS = st.lists(
    st.tuples(st.sampled_from(FleetEvent), st.integers(0, 3)), min_size=2, max_size=10
)


@define
class Members:
    """Applies events to VMs and records when the ones that no longer run ended."""

    site: Site
    network: MemoryNetwork
    ended_s: dict[str, float] = field(factory=dict)
    hosts: dict[str, str] = field(factory=dict)

    async def apply(self, event: FleetEvent, name: str) -> None:
        is_running = name not in self.ended_s
        host = self.hosts[name]
        match event:
            case FleetEvent.KILL if is_running:
                self.ended_s[name] = read_clock_s()
                await self.site.vms[name].kill()
            case FleetEvent.LEAVE if is_running:
                await self.site.vms[name].shut_down()
                self.ended_s[name] = read_clock_s()
                await self.site.vms[name].kill()
            case FleetEvent.START if not is_running:
                zone = name.removeprefix("vm-")[:5]
                await self.site.start_vm(name, zone, host)
                del self.ended_s[name]
            case FleetEvent.CUT:
                self.network.cut_hosts = {host}
            case FleetEvent.HEAL:
                self.network.cut_hosts = set()
            case _:
                await curio.sleep(3.0)
        await curio.sleep(0.5)

    async def check(self) -> None:
        """Check that reachable VMs name some VM, and none that ended more than the bound ago."""
        now_s = read_clock_s()
        ended = {
            f"{self.hosts[name]}:8206"
            for name, ended_s in self.ended_s.items()
            if now_s - ended_s > NAMED_DEAD_BOUND_S
        }
        for name in VM_NAMES:
            if name in self.ended_s or self.hosts[name] in self.network.cut_hosts:
                continue
            named = set(await self.site.look_up(name, "bud-a"))
            assert not named & ended, "a VM that ended is named"
            assert named, "no VM is named"


def play_fleet(events: list[tuple[FleetEvent, int]]) -> None:
    async def scenario(site: Site, network: MemoryNetwork) -> None:
        hosts = {name: site.vms[name].steering.entry.host for name in VM_NAMES}
        members = Members(site, network, hosts=hosts)
        for event, place in events:
            await members.apply(event, VM_NAMES[place])
            await members.check()
        network.cut_hosts = set()
        await curio.sleep(NAMED_DEAD_BOUND_S + 0.1)
        await members.check()

    play(scenario)


@hypothesis_settings(max_examples=40)
@given(events=FLEET_EVENTS)
def test_lookups_name_no_vm_that_ended_under_random_events(
    events: list[tuple[FleetEvent, int]],
) -> None:
    play_fleet(events)


def test_checker_reports_lookups_that_name_a_dead_vm(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(Fleet, "timeout_s", property(lambda fleet: 60.0))
    with pytest.raises(AssertionError, match="that ended is named"):
        play_fleet([(FleetEvent.KILL, 1), (FleetEvent.WAIT, 0)])
