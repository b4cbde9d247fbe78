"""Sends requests to the front port of a VM."""

from __future__ import annotations

import json
from typing import Any

import click
import curio

from siskinward.console._errors import PlatformUnavailableError
from siskinward.transport.http_client import HttpClientConnection
from siskinward.transport.http_messages import HttpRequest

TIMEOUT_S = 2.0

vm_option = click.option(
    "--vm",
    "address",
    default="127.0.0.1:17001",
    show_default=True,
    help="HOST:PORT of a VM's front port.",
)


def ask_front(address: str, target: str) -> dict[str, Any]:
    """Return the JSON answer of ``GET target``, whatever its status."""
    host, _, port = address.rpartition(":")
    if not host or not port.isdecimal():
        raise click.UsageError(f"{address!r} is not HOST:PORT")
    answer: dict[str, Any] = curio.run(_ask, host, int(port), target)
    return answer


async def _ask(host: str, port: int, target: str) -> dict[str, Any]:
    connection = HttpClientConnection(host, port)
    result = await connection.exchange(HttpRequest("GET", target), TIMEOUT_S)
    await connection.close()
    if result.is_error():
        message = f"the VM at {host}:{port} does not answer: {result.error.detail}"
        raise PlatformUnavailableError(message, "Ask another VM.")
    return decode_answer(result.ok.body, f"{host}:{port}")


def decode_answer(body: bytes, address: str) -> dict[str, Any]:
    """Decode a VM's answer; raises ``PlatformUnavailableError`` unless it is a JSON object."""
    try:
        answer = json.loads(body)
        if not isinstance(answer, dict):
            raise ValueError(f"expected a JSON object, found {answer!r}")
    except ValueError as error:
        message = f"{address} does not answer like a VM: {error}"
        raise PlatformUnavailableError(message, "Check the address.") from error
    return answer
