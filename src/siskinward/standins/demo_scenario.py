"""Demo run: mixed traffic while an operator changes the configuration; checks the promises."""

from __future__ import annotations

import json
import os
import random
import secrets
import signal
import time
from typing import TYPE_CHECKING
from typing import Any

import attrs
import curio
from attrs import Factory
from attrs import define
from attrs import frozen

from siskinward.coordination.publisher import Publisher
from siskinward.coordination.publisher import PublisherSettings
from siskinward.coordination.publisher import PublishStamp
from siskinward.coordination.publishing import Accepted
from siskinward.standins.caller import AccountLoad
from siskinward.standins.caller import CallerStandin
from siskinward.standins.caller_record import CallerRecord
from siskinward.standins.task_groups import raise_failures
from siskinward.state.configuration import diff_configurations
from siskinward.state.objects import Drain
from siskinward.state.objects import DrainKind
from siskinward.transport.clock import read_clock_s
from siskinward.transport.http_client import HttpClientConnection
from siskinward.transport.http_messages import HttpRequest

if TYPE_CHECKING:
    from collections.abc import Callable

    from siskinward.state.objects import ClientAccount
    from siskinward.state.objects import Configuration
    from siskinward.state.objects import Vm
    from siskinward.transport.platform_client import PlatformClient

KEY_TEXT_PREFIX = "demo-"
ACTIVATION_LIMIT_S = 5.0
READY_LIMIT_S = 40.0
ISSUER_SETTLING_S = 4.0
HTTP_TIMEOUT_S = 2.0
READY_POLL_S = 0.1


@frozen
class DemoSettings:
    """Duration, loads and operator actions of the run.

    Loads are multiples of an account's rate; times count from the start of the load.
    """

    duration_s: float = 20.0
    load_share: float = 0.25
    noisy_share: float = 5.0
    seed: int = 1
    withdraw_at_s: float = 6.0
    drain_at_s: float = 9.0
    stop_at_s: float = 12.0
    stop_vm_pid: int | None = None


@frozen
class Promise:
    """Result of checking one promise; ``seen`` is the measured figure."""

    text: str
    is_kept: bool
    seen: str


@define
class DemoReport:
    """Results of a demo run."""

    record: CallerRecord
    promises: list[Promise] = Factory(list)

    @property
    def is_kept(self) -> bool:
        """Whether every promise was kept."""
        return all(promise.is_kept for promise in self.promises)


class DemoScenario:
    """Runs callers of all client accounts of a configuration against nodes that already run."""

    def __init__(
        self,
        settings: DemoSettings,
        configuration: Configuration,
        platform: PlatformClient,
        report_progress: Callable[[str], None],
    ) -> None:
        self._settings = settings
        self._configuration = configuration
        self._platform = platform
        self._report_progress = report_progress
        accounts = sorted(configuration.client_accounts.values(), key=lambda a: a.rate_per_s)
        self._withdrawn_account = accounts[0].name
        self._noisy_account = accounts[1].name
        self._drained_target = next(iter(configuration.targets.values()))
        self._record = CallerRecord(configuration)
        self._withdrawn_at_s: float | None = None
        self._drained_at_s: float | None = None
        self._drain_baseline = 0

    async def run(self) -> DemoReport:
        """Run the load and the operator's actions; return the results."""
        await self._wait_until_ready()
        start_s = read_clock_s()
        end_s = start_s + self._settings.duration_s
        async with curio.TaskGroup() as group:
            for number, account in enumerate(self._configuration.client_accounts.values()):
                await group.spawn(self._caller(account, number).run, end_s)
            await group.spawn(self._run_operator_steps, start_s)
            await group.spawn(self._report_progress_until, start_s, end_s)
        raise_failures(group)
        self._record.count_within_rate()
        report = DemoReport(self._record)
        report.promises = self._check_promises(await self._target_reports())
        return report

    def _caller(self, account: ClientAccount, number: int) -> CallerStandin:
        settings = self._settings
        is_noisy = account.name == self._noisy_account
        share = settings.noisy_share if is_noisy else settings.load_share
        load = AccountLoad(
            account=account,
            key_text=f"{KEY_TEXT_PREFIX}{account.name}",
            rate_per_s=account.rate_per_s * share,
            client_address=_client_address(self._configuration, number),
        )
        rng = random.Random(settings.seed + number)
        return CallerStandin(self._configuration, load, self._record, rng)

    async def _run_operator_steps(self, start_s: float) -> None:
        settings = self._settings
        await _sleep_until(start_s + settings.withdraw_at_s)
        await self._withdraw_key()
        await _sleep_until(start_s + settings.drain_at_s)
        await self._drain_target()
        if settings.stop_vm_pid is not None:
            await _sleep_until(start_s + settings.stop_at_s)
            self._report_progress(f"stopping the VM with process id {settings.stop_vm_pid}")
            os.kill(settings.stop_vm_pid, signal.SIGTERM)

    async def _withdraw_key(self) -> None:
        keys = self._configuration.keys
        kept = {n: key for n, key in keys.items() if key.client_account != self._withdrawn_account}
        await self._publish(attrs.evolve(self._configuration, keys=kept))
        self._withdrawn_at_s = read_clock_s()
        self._report_progress(f"withdrew the keys of {self._withdrawn_account}")

    async def _drain_target(self) -> None:
        drain = Drain("demo-drain", DrainKind.TARGET, self._drained_target.name)
        drains = {**self._configuration.drains, drain.name: drain}
        await self._publish(attrs.evolve(self._configuration, drains=drains))
        self._drained_at_s = read_clock_s()
        self._report_progress(f"started to drain {self._drained_target.name}")
        await curio.sleep(ACTIVATION_LIMIT_S)
        report = await _get_json(self._drained_target.host, self._drained_target.port, "/load")
        self._drain_baseline = report["served"]

    async def _publish(self, edited: Configuration) -> None:
        changes = diff_configurations(self._configuration, edited)
        publisher = Publisher(self._platform, self._platform, curio.sleep, PublisherSettings())
        stamp = PublishStamp(secrets.token_hex(8), time.time())
        publication = await publisher.publish_changes(changes, stamp)
        if not isinstance(publication, Accepted):
            raise RuntimeError(f"the configuration was not published: {publication}")

    async def _report_progress_until(self, start_s: float, end_s: float) -> None:
        while (now_s := read_clock_s()) < end_s:
            accounts = self._record.accounts.values()
            served_count = sum(tally.served_count for tally in accounts)
            refused_count = sum(tally.refused_count for tally in accounts)
            self._report_progress(
                f"{now_s - start_s:4.0f} s  served {served_count}  refused {refused_count}"
            )
            await curio.sleep(2.0)

    async def _wait_until_ready(self) -> None:
        vms = list(self._configuration.vms.values())
        async with curio.timeout_after(READY_LIMIT_S):
            while not self._are_settled([await _read_health(vm) for vm in vms]):
                await curio.sleep(READY_POLL_S)
        self._report_progress(f"{len(vms)} VMs reach one another and own all targets")
        # The first share issuers start empty and fill once no token issued earlier can be spent.
        await curio.sleep(ISSUER_SETTLING_S)

    def _are_settled(self, healths: list[dict[str, Any]]) -> bool:
        owned_count = sum(health.get("owned_targets", 0) for health in healths)
        has_full_membership = all(len(h.get("live_vms", ())) == len(healths) for h in healths)
        return has_full_membership and owned_count == len(self._configuration.targets)

    async def _target_reports(self) -> list[dict[str, Any]]:
        targets = self._configuration.targets.values()
        return [await _get_json(target.host, target.port, "/load") for target in targets]

    def _check_promises(self, reports: list[dict[str, Any]]) -> list[Promise]:
        over = [r["name"] for r in reports if r["peak"] > r["slots"]]
        keys_seen = sum(r["keys_seen"] for r in reports)
        repeated = sum(r["repeated_runs"] for r in reports)
        booking_runs = sum(r["runs"] for r in reports)
        unanswered = sum(t.unanswered_count for t in self._record.accounts.values())
        served_late = [
            item
            for item in self._record.outcomes
            if item.account == self._withdrawn_account
            and item.outcome == "answered"
            and self._withdrawn_at_s is not None
            and item.start_s > self._withdrawn_at_s + ACTIVATION_LIMIT_S
        ]
        drained = next(r for r in reports if r["name"] == self._drained_target.name)
        after_drain = drained["served"] - self._drain_baseline
        return [
            Promise(
                "no target ran more requests than it has slots", not over, ", ".join(over) or "none"
            ),
            Promise("no target received a key", keys_seen == 0, f"{keys_seen} received"),
            Promise(
                "no booking or purchase ran twice",
                repeated == 0 and booking_runs > 0,
                f"{repeated} of {booking_runs} ran twice",
            ),
            Promise(
                "no request with a withdrawn key was served after 5 s",
                not served_late,
                f"{len(served_late)} served later",
            ),
            Promise(
                "a drained target got no new work after 5 s",
                after_drain == 0,
                f"{after_drain} requests",
            ),
            Promise("every request was answered", unanswered == 0, f"{unanswered} unanswered"),
            self._check_noisy_account(),
        ]

    def _check_noisy_account(self) -> Promise:
        tally = self._record.accounts[self._noisy_account]
        account = self._configuration.client_accounts[self._noisy_account]
        allowed = account.burst_tokens + account.rate_per_s * self._settings.duration_s
        return Promise(
            "the noisy client account stayed within its rate and burst",
            tally.served_count <= allowed,
            f"{tally.served_count} of {tally.offered_count} served, {allowed:.0f} allowed",
        )


def _client_address(configuration: Configuration, number: int) -> str:
    blocks = list(configuration.client_blocks.values())
    prefix = blocks[number % len(blocks)].prefix
    return prefix.partition("/")[0]


async def _sleep_until(time_s: float) -> None:
    await curio.sleep(max(time_s - read_clock_s(), 0.0))


async def _read_health(vm: Vm) -> dict[str, Any]:
    try:
        health: dict[str, Any] = await _get_json(vm.host, vm.front_port, "/health")
    except ConnectionError:
        return {}
    return health


async def _get_json(host: str, port: int, path: str) -> Any:
    connection = HttpClientConnection(host, port)
    result = await connection.exchange(HttpRequest("GET", path), HTTP_TIMEOUT_S)
    await connection.close()
    if result.is_error():
        raise ConnectionError(result.error.detail)
    return json.loads(result.ok.body)
