"""Commands that ask a VM's front, with a VM that answers and with none."""

from __future__ import annotations

import json
from typing import Any

import curio
import pytest
from click.testing import CliRunner

from siskinward.console._errors import PlatformUnavailableError
from siskinward.console._front import decode_answer
from siskinward.console.application import main
from siskinward.transport.http_messages import HttpRequest
from siskinward.transport.http_messages import HttpResponse
from siskinward.transport.http_server import HttpServer
from siskinward.transport.http_server import HttpServerSettings
from siskinward.transport.sockets import listen
from siskinward.transport.sockets import port_of

ANSWER = {
    "vms": [{"vm": "vm-a", "host": "127.0.0.1", "port": 1}],
    "ttl_s": 2.0,
    "tickets": ["t1"],
    "version": 3,
}


async def _handle(request: HttpRequest) -> HttpResponse:
    content: Any = {"vm": "vm-a", "ready": True, "live_vms": ["vm-a", "vm-b"]}
    if request.target.startswith("/lookup"):
        content = ANSWER if "service=listings" in request.target else {"refused": "no-route"}
    return HttpResponse(200, (), json.dumps(content).encode())


@pytest.fixture
def vm_address(monkeypatch: pytest.MonkeyPatch) -> str:
    """Serve a front in the kernel that the command runs in, started before its first task."""
    listener = listen("127.0.0.1", 0)
    run = curio.run

    def run_beside_server(call: Any, *args: Any) -> Any:
        async def main_task() -> Any:
            server = HttpServer(HttpServerSettings(), _handle)
            await curio.spawn(server.serve, listener, daemon=True)
            return await call(*args)

        return run(main_task)

    monkeypatch.setattr(curio, "run", run_beside_server)
    return f"127.0.0.1:{port_of(listener)}"


def test_lookup_lists_vms_and_tickets(vm_address: str) -> None:
    result = CliRunner().invoke(main, ["lookup", "listings", "--vm", vm_address])
    assert result.exit_code == 0, result.output
    assert result.output.splitlines() == [
        "vm-a 127.0.0.1:1",
        "ticket t1",
        "valid for 2.0 s; version 3",
    ]


def test_lookup_of_an_unknown_service_is_invalid_input(vm_address: str) -> None:
    result = CliRunner().invoke(main, ["lookup", "absent", "--vm", vm_address])
    assert result.exit_code == 1
    assert "no-route" in result.output


def test_status_shows_the_answer_of_the_vm(vm_address: str) -> None:
    result = CliRunner().invoke(main, ["status", "--vm", vm_address])
    assert result.exit_code == 0, result.output
    assert "live_vms: vm-a, vm-b" in result.output


def test_status_of_a_vm_that_is_down_says_so() -> None:
    listener = listen("127.0.0.1", 0)
    port = port_of(listener)
    listener._socket.close()
    result = CliRunner().invoke(main, ["status", "--vm", f"127.0.0.1:{port}"])
    assert result.exit_code == 4
    assert "does not answer" in result.output


@pytest.mark.parametrize("body", [b"7", b"[1]", b'[["a", 1]]', b"not json", b"null"])
def test_answer_that_is_no_json_object_is_reported_with_its_address(body: bytes) -> None:
    with pytest.raises(PlatformUnavailableError, match="10.0.0.1:80"):
        decode_answer(body, "10.0.0.1:80")
