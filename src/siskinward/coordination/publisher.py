"""Publisher of configurations."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import frozen

from siskinward.coordination.configuration_reader import ConfigurationReader
from siskinward.coordination.configuration_reader import PublishedConfiguration
from siskinward.coordination.events import WriteOutcome
from siskinward.coordination.map_publisher import MapPublisher
from siskinward.coordination.publishing import CONFIGURATION_ROW
from siskinward.coordination.publishing import Accepted
from siskinward.coordination.publishing import ConfigurationPointer
from siskinward.coordination.publishing import LostRace
from siskinward.coordination.publishing import NotApplied
from siskinward.coordination.publishing import NotSent
from siskinward.coordination.publishing import OutcomeUnknown
from siskinward.coordination.publishing import Publication
from siskinward.coordination.publishing import PublishAttempt
from siskinward.coordination.publishing import attempt_writes
from siskinward.coordination.publishing import determine_outcome
from siskinward.coordination.publishing import history_row
from siskinward.state.configuration import ConfigurationErrors
from siskinward.state.configuration import ObjectChange
from siskinward.state.configuration import apply_changes
from siskinward.state.configuration import check_configuration
from siskinward.state.configuration import diff_configurations
from siskinward.state.configuration import render_configuration
from siskinward.state.configuration import render_delta

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from siskinward.coordination.platform import ObjectStore
    from siskinward.coordination.platform import PlatformTable
    from siskinward.state.objects import Configuration


@frozen
class PublisherSettings:
    """Limits of how often an attempt is sent and a merge is tried, and the delay of a retry."""

    send_limit: int = 4
    retry_delay_s: float = 0.5
    merge_limit: int = 8


@frozen
class PublishStamp:
    """Id and time of a publication, in seconds since the epoch."""

    publish_id: str
    published_at_s: float


@frozen
class MergeConflict:
    """Another publication changed the same objects; ``changes`` were not applied."""

    current: ConfigurationPointer
    changes: tuple[ObjectChange, ...]


@frozen
class MergeInvalid:
    """The merged configuration has errors."""

    current: ConfigurationPointer
    errors: ConfigurationErrors


MergedPublication = Publication | MergeConflict | MergeInvalid


class Publisher:
    """Publish by compare-and-set; ``pause`` sleeps for the given number of seconds."""

    def __init__(
        self,
        table: PlatformTable,
        objects: ObjectStore,
        pause: Callable[[float], Awaitable[None]],
        settings: PublisherSettings,
    ) -> None:
        self._table = table
        self._objects = objects
        self.reader = ConfigurationReader(table, objects)
        self._pause = pause
        self._settings = settings

    def map_publisher(self) -> MapPublisher:
        """Return a publisher of client maps on the same platform."""
        return MapPublisher(self._table, self._objects)

    async def publish(
        self, configuration: Configuration, base: PublishedConfiguration, stamp: PublishStamp
    ) -> Publication:
        """Publish a complete configuration in place of ``base``, as read by ``read_current``."""
        stored = await self._objects.put(render_configuration(configuration).encode())
        if stored.is_error():
            return NotSent(stored.error)
        changes = diff_configurations(base.configuration, configuration)
        delta = await self._objects.put(render_delta(changes).encode())
        if delta.is_error():
            return NotSent(delta.error)
        pointer = ConfigurationPointer(
            version=base.pointer.version + 1,
            content_hash=stored.ok,
            publish_id=stamp.publish_id,
            previous_hash=base.pointer.content_hash,
            published_at_s=stamp.published_at_s,
            delta_hash=delta.ok,
        )
        return await self._send(PublishAttempt(pointer, base.row_version))

    async def publish_changes(
        self, changes: tuple[ObjectChange, ...], stamp: PublishStamp
    ) -> MergedPublication:
        """Merge changes into the active version; a lost race is merged again."""
        publication: MergedPublication = NotApplied()
        for _ in range(self._settings.merge_limit):
            current = await self.reader.read_current()
            if current.is_error():
                return NotSent(current.error)
            merged = apply_changes(current.ok.configuration, changes)
            if merged.is_error():
                return MergeConflict(current.ok.pointer, merged.error)
            checked = check_configuration(merged.ok, "merged configuration")
            if checked.is_error():
                return MergeInvalid(current.ok.pointer, checked.error)
            publication = await self.publish(checked.ok, current.ok, stamp)
            if not isinstance(publication, LostRace):
                return publication
        return publication

    async def _send(self, attempt: PublishAttempt) -> Publication:
        """Send an attempt until its outcome is known or ``send_limit`` is reached."""
        publication: Publication = NotApplied()
        for number in range(self._settings.send_limit):
            if number > 0:
                await self._pause(self._settings.retry_delay_s)
            written = await self._table.transact(attempt_writes(attempt))
            if written.is_ok() and written.ok.outcome is WriteOutcome.APPLIED:
                return Accepted(attempt.pointer)
            publication = await self._read_outcome(attempt)
            if isinstance(publication, Accepted | LostRace):
                return publication
        return publication

    async def _read_outcome(self, attempt: PublishAttempt) -> Publication:
        rows = await self._table.read((CONFIGURATION_ROW, history_row(attempt.pointer.version)))
        if rows.is_error():
            return OutcomeUnknown(rows.error)
        pointer_row, attempt_row = rows.ok
        return determine_outcome(attempt, pointer_row, attempt_row)
