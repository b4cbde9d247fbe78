"""Opens the platform for a command; an embedding program may pass its own opener."""

from __future__ import annotations

import secrets
import time
from collections.abc import Callable
from typing import TYPE_CHECKING
from typing import Any
from typing import TypeVar

import click
import curio
from attrs import frozen

from siskinward.console._errors import PlatformUnavailableError
from siskinward.coordination.platform import ObjectStore
from siskinward.coordination.platform import PlatformTable
from siskinward.coordination.publisher import Publisher
from siskinward.coordination.publisher import PublisherSettings
from siskinward.coordination.publisher import PublishStamp
from siskinward.state.settings import PlatformSettings
from siskinward.transport.platform_client import PlatformClient

if TYPE_CHECKING:
    from collections.abc import Awaitable

    from expression import Result

    from siskinward.state.errors import StepError

DEFAULT_PLATFORM = "127.0.0.1:17000"
PUBLISH_ID_BYTES = 8
MAXIMUM_PORT = 65535


@frozen
class Platform:
    """The platform interfaces that the commands use."""

    table: PlatformTable
    objects: ObjectStore


T = TypeVar("T")
PlatformOpener = Callable[[str, int], Platform]


class PlatformAddress(click.ParamType[tuple[str, int]]):
    """A ``HOST:PORT`` argument."""

    name = "host:port"

    def convert(self, value: Any, param: Any, ctx: Any) -> tuple[str, int]:
        """Split and check the argument."""
        host, _, port = str(value).rpartition(":")
        if not host or not port.isdecimal() or not 0 < int(port) <= MAXIMUM_PORT:
            self.fail(f"{value!r} is not HOST:PORT, such as {DEFAULT_PLATFORM}", param, ctx)
        return host, int(port)


platform_option = click.option(
    "--platform",
    "address",
    type=PlatformAddress(),
    default=DEFAULT_PLATFORM,
    show_default=True,
    envvar="SISKINWARD_PLATFORM",
    show_envvar=True,
    help="Address of the platform.",
)


def open_publisher(address: tuple[str, int]) -> Publisher:
    """Open the platform at ``address`` with the opener in the context, or the HTTP client."""
    opener: PlatformOpener = click.get_current_context().obj or _open_over_http
    platform = opener(*address)
    return Publisher(platform.table, platform.objects, curio.sleep, PublisherSettings())


def run_or_fail(awaitable: Awaitable[Result[T, StepError]]) -> T:
    """Run a call to the platform and return its result; end the command if it fails."""
    result: Result[T, StepError] = curio.run(awaitable)
    if result.is_error():
        raise PlatformUnavailableError(result.error, "Nothing was changed. Try again.")
    return result.ok


def new_stamp(publish_id: str | None = None) -> PublishStamp:
    """Return a stamp with the current time and the given id, or a random one."""
    return PublishStamp(publish_id or secrets.token_hex(PUBLISH_ID_BYTES), time.time())


def _open_over_http(host: str, port: int) -> Platform:
    client = PlatformClient(PlatformSettings(host, port))
    return Platform(client, client)
