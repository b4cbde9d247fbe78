"""Output and exit codes of the operators' commands."""

from __future__ import annotations

import json
from collections.abc import Callable
from pathlib import Path
from typing import TYPE_CHECKING

import click
import curio
import pytest
from click.testing import CliRunner
from click.testing import Result
from fakes.memory_platform import Fault
from fakes.memory_platform import MemoryPlatform

from siskinward.console._exit_codes import ExitCode
from siskinward.console._platform import Platform
from siskinward.console.application import main
from siskinward.coordination.publisher import Publisher
from siskinward.coordination.publisher import PublisherSettings
from siskinward.state.key_table import KeyTable

if TYPE_CHECKING:
    from siskinward.state.objects import Configuration

EXAMPLE = str(Path(__file__).parents[2] / "examples" / "orgonahaz.ini")
Invoke = Callable[..., Result]


@pytest.fixture
def platform() -> MemoryPlatform:
    return MemoryPlatform()


@pytest.fixture
def invoke(platform: MemoryPlatform, monkeypatch: pytest.MonkeyPatch) -> Invoke:
    async def no_pause(_delay_s: float) -> None:
        return None

    monkeypatch.setattr("siskinward.console._platform.curio.sleep", no_pause)
    runner = CliRunner()
    opener = lambda host, port: Platform(platform, platform)  # noqa: E731
    return lambda *arguments: runner.invoke(main, [str(a) for a in arguments], obj=opener)


def active_configuration(platform: MemoryPlatform) -> Configuration:
    publisher = Publisher(platform, platform, curio.sleep, PublisherSettings())
    return curio.run(publisher.reader.read_current()).ok.configuration


def edit(path: Path, text: str, old: str, new: str) -> Path:
    assert old in text
    path.write_text(text.replace(old, new), encoding="utf-8")
    return path


def test_check_reports_errors_as_json(invoke: Invoke, tmp_path: Path) -> None:
    path = tmp_path / "site.ini"
    path.write_text("[region a]\ncolour = red\n[site s]\nfailure_domain = b\n", encoding="utf-8")
    result = invoke("check", path, "--json")
    assert result.exit_code == ExitCode.INVALID_INPUT
    errors = json.loads(result.output)["errors"]
    assert [(e["object"], e["field"], e["value"]) for e in errors] == [
        ("region a", "colour", "red"),
        ("site s", "failure_domain", "b"),
    ]
    assert invoke("check", EXAMPLE).exit_code == ExitCode.OK


def test_concurrent_operator_gets_a_conflict_with_a_diff_and_may_merge(
    invoke: Invoke, platform: MemoryPlatform, tmp_path: Path
) -> None:
    assert invoke("publish", EXAMPLE).exit_code == ExitCode.OK
    shown = invoke("show").output
    first = edit(tmp_path / "1.ini", shown, "rate_per_s = 400.0", "rate_per_s = 450.0")
    second = edit(tmp_path / "2.ini", shown, "queue_limit = 128", "queue_limit = 64")
    assert invoke("publish", first).exit_code == ExitCode.OK
    refused = invoke("publish", second)
    assert refused.exit_code == ExitCode.CONFLICT
    assert "rate_per_s: 400.0 -> 450.0" in refused.output
    assert invoke("publish", second, "--merge").exit_code == ExitCode.OK
    assert active_configuration(platform).client_accounts["budapest-festival"].rate_per_s == 450.0
    assert active_configuration(platform).services["archive"].queue_limit == 64
    assert invoke("publish", first, "--merge").exit_code == ExitCode.OK
    third = edit(tmp_path / "3.ini", shown, "rate_per_s = 400.0", "rate_per_s = 500.0")
    assert invoke("publish", third, "--merge").exit_code == ExitCode.CONFLICT


def test_publish_needs_the_base_version(invoke: Invoke) -> None:
    assert invoke("publish", EXAMPLE).exit_code == ExitCode.OK
    assert invoke("publish", EXAMPLE).exit_code == ExitCode.USAGE
    assert invoke("publish", EXAMPLE, "--base", 1).exit_code == ExitCode.OK
    assert invoke("publish", EXAMPLE, "--base", 9).exit_code == ExitCode.INVALID_INPUT
    assert len(json.loads(invoke("history", "--json").output)) == 2


def test_unknown_outcome_is_settled_by_publish_id(invoke: Invoke, platform: MemoryPlatform) -> None:
    limit = PublisherSettings().send_limit
    platform.transact_faults.extend([Fault.ANSWER_LOST] * limit)
    platform.read_faults.extend([Fault.NONE] * 2 + [Fault.REQUEST_LOST] * limit)
    result = invoke("publish", EXAMPLE, "--publish-id", "mine")
    assert result.exit_code == ExitCode.PLATFORM_UNAVAILABLE
    assert "history --publish-id mine" in result.output
    assert invoke("history", "--publish-id", "mine").exit_code == ExitCode.OK
    assert invoke("publish", EXAMPLE, "--publish-id", "mine").exit_code == ExitCode.OK
    assert invoke("history", "--publish-id", "other").exit_code == ExitCode.INVALID_INPUT
    assert len(json.loads(invoke("history", "--json").output)) == 1


def test_key_is_issued_once_and_withdrawn(invoke: Invoke, platform: MemoryPlatform) -> None:
    invoke("publish", EXAMPLE)
    issued = json.loads(invoke("key", "issue", "parish-guild", "--json").output)
    assert KeyTable(active_configuration(platform)).account_of(issued["key"]) == "parish-guild"
    assert not any(issued["key"].encode() in content for content in platform.objects.values())
    assert invoke("key", "withdraw", issued["name"]).exit_code == ExitCode.OK
    assert KeyTable(active_configuration(platform)).account_of(issued["key"]) is None
    assert invoke("key", "withdraw", issued["name"]).exit_code == ExitCode.INVALID_INPUT
    assert invoke("key", "withdraw", "--client-account", "parish-guild").exit_code == ExitCode.OK
    assert KeyTable(active_configuration(platform)).account_of("demo-parish-guild") is None


def test_drain_is_started_listed_and_cancelled(invoke: Invoke, platform: MemoryPlatform) -> None:
    invoke("publish", EXAMPLE)
    start = ("drain", "start", "target", "archive-pecs-1-1", "--start-in-s", 3600)
    assert invoke(*start).exit_code == ExitCode.OK
    assert invoke(*start).exit_code == ExitCode.INVALID_INPUT
    (status,) = json.loads(invoke("drain", "status", "--json").output)
    assert (status["drain"]["subject"], status["state"]) == ("archive-pecs-1-1", "planned")
    assert invoke("drain", "cancel", status["drain"]["name"]).exit_code == ExitCode.OK
    assert active_configuration(platform).drains == {}
    assert invoke("drain", "start", "region", "nowhere").exit_code == ExitCode.INVALID_INPUT


@pytest.mark.parametrize(
    "arguments",
    [
        ("show",),
        ("history",),
        ("publish", EXAMPLE),
        ("key", "issue", "parish-guild"),
        ("key", "withdraw", "parish-guild-1"),
        ("drain", "status"),
        ("drain", "cancel", "x"),
        ("diff", "@1", EXAMPLE),
    ],
)
def test_platform_outage_has_its_exit_code_and_a_next_step(
    invoke: Invoke, platform: MemoryPlatform, arguments: tuple[str, ...]
) -> None:
    platform.is_out = True
    result = invoke(*arguments)
    assert result.exit_code == ExitCode.PLATFORM_UNAVAILABLE
    assert "Traceback" not in result.output
    assert "ry again." in result.output


def commands_of(group: click.Group, path: tuple[str, ...] = ()) -> list[tuple[str, ...]]:
    found = []
    context = click.Context(group)
    for name in group.list_commands(context):
        command = group.get_command(context, name)
        found.append((*path, name))
        if isinstance(command, click.Group):
            found.extend(commands_of(command, (*path, name)))
    return found


@pytest.mark.parametrize("path", commands_of(main), ids=" ".join)
def test_every_command_has_help(invoke: Invoke, path: tuple[str, ...]) -> None:
    result = invoke(*path, "--help")
    assert result.exit_code == ExitCode.OK
    assert "Usage:" in result.output
