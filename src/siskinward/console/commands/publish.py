"""``siskinward publish``: publishes a configuration file."""

from __future__ import annotations

from typing import TYPE_CHECKING

import click
import curio

from siskinward.console._base_version import base_version_of
from siskinward.console._errors import ConflictError
from siskinward.console._output import describe_pointer
from siskinward.console._output import echo_changes
from siskinward.console._output import echo_json
from siskinward.console._output import json_option
from siskinward.console._platform import new_stamp
from siskinward.console._platform import open_publisher
from siskinward.console._platform import platform_option
from siskinward.console._platform import run_or_fail
from siskinward.console._publication import require_accepted
from siskinward.console._sources import load_file
from siskinward.console._sources import load_version
from siskinward.coordination.publishing import LostRace
from siskinward.state.configuration import diff_configurations

if TYPE_CHECKING:
    from siskinward.coordination.configuration_reader import PublishedConfiguration
    from siskinward.coordination.publisher import Publisher
    from siskinward.coordination.publisher import PublishStamp
    from siskinward.coordination.publishing import ConfigurationPointer
    from siskinward.state.objects import Configuration


@click.command()
@click.argument("file", type=click.Path())
@click.option("--base", type=click.IntRange(0), help="Version that FILE was edited from.")
@click.option("--merge", is_flag=True, help="Keep others' changes since the base version.")
@click.option("--publish-id", help="Id of an earlier attempt whose outcome is unknown.")
@platform_option
@json_option
def publish(
    file: str,
    base: int | None,
    merge: bool,
    publish_id: str | None,
    address: tuple[str, int],
    as_json: bool,
) -> None:
    """Check FILE and publish it as the active configuration of all VMs.

    FILE replaces the version it was edited from: --base, or the first line that `show` printed.
    If another version was published since, nothing is published and the differences are shown.

    Exit codes: 0 published, 1 invalid input, 2 base version not given, 3 conflict, 4 platform
    unavailable.
    """
    configuration = load_file(file)
    publisher = open_publisher(address)
    pointer = None if publish_id is None else run_or_fail(publisher.reader.find(publish_id))
    if pointer is None:
        current = run_or_fail(publisher.reader.read_current())
        base_version = _base_version(file, base, current)
        stamp = new_stamp(publish_id)
        if merge:
            pointer = _publish_merged(publisher, configuration, base_version, stamp)
        else:
            pointer = _publish_whole(publisher, configuration, base_version, current, stamp)
    if as_json:
        echo_json(pointer)
        return
    click.echo(f"published: {describe_pointer(pointer)}")


def _base_version(file: str, base: int | None, current: PublishedConfiguration) -> int:
    """Return the version that the file was edited from; only a first publication may omit it."""
    version = base if base is not None else base_version_of(file)
    if version is None and current.pointer.version == 0:
        return 0
    if version is None:
        raise click.UsageError(
            f"Say which version {file} was edited from with --base; "
            f"version {current.pointer.version} is active."
        )
    return version


def _publish_whole(
    publisher: Publisher,
    configuration: Configuration,
    base_version: int,
    current: PublishedConfiguration,
    stamp: PublishStamp,
) -> ConfigurationPointer:
    if current.pointer.version != base_version:
        _fail_with_diff(publisher, base_version)
    publication = curio.run(publisher.publish(configuration, current, stamp))
    if isinstance(publication, LostRace):
        _fail_with_diff(publisher, base_version)
    return require_accepted(publication, stamp.publish_id)


def _publish_merged(
    publisher: Publisher, configuration: Configuration, base_version: int, stamp: PublishStamp
) -> ConfigurationPointer:
    base = load_version(base_version, publisher)
    changes = diff_configurations(base.configuration, configuration)
    publication = curio.run(publisher.publish_changes(changes, stamp))
    return require_accepted(publication, stamp.publish_id)


def _fail_with_diff(publisher: Publisher, base_version: int) -> None:
    """Print what others changed since the base version and end the command."""
    base = load_version(base_version, publisher)
    current = run_or_fail(publisher.reader.read_current())
    click.echo(f"Changes by others since version {base_version}:", err=True)
    changes = diff_configurations(base.configuration, current.configuration)
    echo_changes(changes, to_stderr=True)
    raise ConflictError(
        f"not published: {describe_pointer(current.pointer)} came first",
        "Add --merge to keep both, or run `siskinward show` and redo your change on it.",
    )
