"""``siskinward map``: publishes the map of client blocks to sites."""

from __future__ import annotations

import secrets
from pathlib import Path
from typing import TYPE_CHECKING

import click
import curio

from siskinward.console._errors import InvalidInputError
from siskinward.console._errors import PlatformUnavailableError
from siskinward.console._exit_codes import EXIT_CODES_HELP
from siskinward.console._platform import open_publisher
from siskinward.console._platform import platform_option
from siskinward.console._platform import run_or_fail
from siskinward.state.client_map import BlockSite

if TYPE_CHECKING:
    from siskinward.coordination.map_publisher import MapPublisher
    from siskinward.coordination.map_publisher import PublishedMap

PUBLISH_ID_BYTES = 8


@click.group(name="map")
def client_map() -> None:
    """Publish the map of client blocks to sites."""


@client_map.command(epilog=EXIT_CODES_HELP)
@click.argument("file", type=click.Path(path_type=Path))
@platform_option
def publish(file: Path, address: tuple[str, int]) -> None:
    """Replace the active map by the blocks of FILE, which has a line ``PREFIX SITE`` for each."""
    publisher = open_publisher(address)
    sites = run_or_fail(publisher.reader.read_current()).configuration.sites
    blocks = read_blocks(file, frozenset(sites))
    maps = publisher.map_publisher()
    base = run_or_fail(maps.read())
    published = curio.run(_publish, maps, blocks, base)
    click.echo(
        f"published: map version {published.pointer.version}, {len(published.client_map)} blocks"
    )


@client_map.command(epilog=EXIT_CODES_HELP)
@platform_option
def show(address: tuple[str, int]) -> None:
    """Print the blocks of the active map."""
    published = run_or_fail(open_publisher(address).map_publisher().read())
    for block in published.client_map.blocks():
        click.echo(f"{block.prefix} {block.site}")


def read_blocks(file: Path, sites: frozenset[str]) -> list[BlockSite]:
    """Read and check a file of blocks; errors name the file, line and value."""
    try:
        rows = file.read_text(encoding="utf-8").splitlines()
    except (OSError, UnicodeDecodeError) as error:
        raise InvalidInputError(f"{file}: {error}", "Give a readable file.") from error
    blocks = []
    for number, row in enumerate(rows, 1):
        words = row.split()
        if not words or words[0].startswith("#"):
            continue
        if len(words) != 2 or words[1] not in sites:
            known = ", ".join(sorted(sites)[:5])
            raise InvalidInputError(
                f"{file}:{number}: {row!r}; expected PREFIX SITE with a site such as {known}",
                "Nothing was published. Correct the line.",
            )
        blocks.append(BlockSite(words[0], words[1]))
    return blocks


async def _publish(maps: MapPublisher, blocks: list[BlockSite], base: PublishedMap) -> PublishedMap:
    publish_id = secrets.token_hex(PUBLISH_ID_BYTES)
    result = await maps.publish(blocks, base, publish_id)
    if result.is_ok():
        return result.ok
    current = await maps.read()
    if current.is_ok() and current.ok.pointer.publish_id == publish_id:
        return current.ok
    if result.error.step == "client map":
        raise InvalidInputError(str(result.error), "Nothing was published. Correct the block.")
    raise PlatformUnavailableError(
        result.error, "Run `siskinward map show` to see which map is active."
    )
