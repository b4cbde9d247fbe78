"""Commands over HTTP against the platform stand-in, with injected faults."""

from __future__ import annotations

import json
import socket
import threading
from collections.abc import Callable
from collections.abc import Iterator
from pathlib import Path

import curio
import pytest
from click.testing import CliRunner
from click.testing import Result

from siskinward.console._exit_codes import ExitCode
from siskinward.console.application import main
from siskinward.standins.platform import PlatformStandin

EXAMPLE = str(Path(__file__).parents[2] / "examples" / "liit.ini")
HOST = "127.0.0.1"
WAIT_LIMIT_S = 10.0
Invoke = Callable[..., Result]


def free_port() -> int:
    with socket.socket() as sock:
        sock.bind((HOST, 0))
        port: int = sock.getsockname()[1]
    return port


def wait_until_open(port: int) -> None:
    for _ in range(100):
        with socket.socket() as sock:
            sock.settimeout(WAIT_LIMIT_S)
            if sock.connect_ex((HOST, port)) == 0:
                return
        threading.Event().wait(WAIT_LIMIT_S / 100)
    raise AssertionError("the stand-in does not listen")


@pytest.fixture
def standin() -> PlatformStandin:
    return PlatformStandin()


@pytest.fixture
def invoke(standin: PlatformStandin) -> Iterator[Invoke]:
    port = free_port()
    stop = curio.UniversalEvent()

    async def serve() -> None:
        task = await curio.spawn(standin.serve, HOST, port)
        await stop.wait()
        await task.cancel()

    thread = threading.Thread(target=curio.run, args=(serve,))
    thread.start()
    wait_until_open(port)
    runner = CliRunner(env={"SISKINWARD_PLATFORM": f"{HOST}:{port}"})
    yield lambda *arguments: runner.invoke(main, arguments)
    stop.set()
    thread.join()


def test_publication_with_a_lost_answer_is_found_again(
    invoke: Invoke, standin: PlatformStandin
) -> None:
    standin.faults.lost_answers = 1
    assert invoke("publish", EXAMPLE).exit_code == ExitCode.OK
    (pointer,) = json.loads(invoke("history", "--json").output)
    assert pointer["version"] == 1
    standin.faults.lost_answers = 1
    assert invoke("key", "withdraw", "gift-shops-1").exit_code == ExitCode.OK
    assert (
        "gift-shops-1" not in json.loads(invoke("show", "--json").output)["configuration"]["keys"]
    )
    assert len(json.loads(invoke("history", "--json").output)) == 2


def test_outage_is_reported_and_nothing_is_published(
    invoke: Invoke, standin: PlatformStandin
) -> None:
    standin.faults.is_out = True
    assert invoke("publish", EXAMPLE).exit_code == ExitCode.PLATFORM_UNAVAILABLE
    standin.faults.is_out = False
    assert json.loads(invoke("history", "--json").output) == []
