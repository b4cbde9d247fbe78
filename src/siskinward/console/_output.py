"""Output for people and, with ``--json``, for programs."""

from __future__ import annotations

import json
import time
from enum import Enum
from typing import TYPE_CHECKING
from typing import Any

import attrs
import click

if TYPE_CHECKING:
    from collections.abc import Iterable

    from siskinward.coordination.publishing import ConfigurationPointer
    from siskinward.state.configuration import ObjectChange

NO_CHANGES = "no changes"

json_option = click.option("--json", "as_json", is_flag=True, help="Print JSON for a program.")


def echo_json(value: Any) -> None:
    """Print attrs classes, or mappings and sequences of them, as JSON."""
    click.echo(json.dumps(value, default=_jsonable, indent=2))


def echo_changes(changes: Iterable[ObjectChange], *, to_stderr: bool = False) -> None:
    """Print the differences between two configurations."""
    text = "\n".join(str(change) for change in changes)
    click.echo(text or NO_CHANGES, err=to_stderr)


def describe_pointer(pointer: ConfigurationPointer) -> str:
    """Describe a version in one line."""
    published = time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime(pointer.published_at_s))
    return (
        f"version {pointer.version}, published {published}, "
        f"publish id {pointer.publish_id}, content {pointer.content_hash[:16]}"
    )


def _jsonable(value: Any) -> Any:
    if isinstance(value, Enum):
        return value.value
    return attrs.asdict(value, recurse=False)
