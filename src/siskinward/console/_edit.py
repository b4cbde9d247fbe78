"""Publishes an edit of the active configuration."""

from __future__ import annotations

from typing import TYPE_CHECKING

import curio

from siskinward.console._platform import new_stamp
from siskinward.console._platform import run_or_fail
from siskinward.console._publication import require_accepted
from siskinward.state.configuration import diff_configurations

if TYPE_CHECKING:
    from collections.abc import Callable

    from siskinward.coordination.publisher import Publisher
    from siskinward.coordination.publishing import ConfigurationPointer
    from siskinward.state.objects import Configuration


def publish_edit(
    publisher: Publisher, edit: Callable[[Configuration], Configuration]
) -> ConfigurationPointer:
    """Apply ``edit`` to the active version and publish it, merged with concurrent publications."""
    current = run_or_fail(publisher.reader.read_current())
    edited = edit(current.configuration)
    changes = diff_configurations(current.configuration, edited)
    stamp = new_stamp()
    publication = curio.run(publisher.publish_changes(changes, stamp))
    return require_accepted(publication, stamp.publish_id)
