"""Reads and publishes configurations through the platform's ports."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import frozen
from expression import Error
from expression import Ok
from expression import Result

from siskinward.coordination.events import WriteOutcome
from siskinward.coordination.publishing import CONFIGURATION_ROW
from siskinward.coordination.publishing import UNPUBLISHED
from siskinward.coordination.publishing import Accepted
from siskinward.coordination.publishing import ConfigurationPointer
from siskinward.coordination.publishing import LostRace
from siskinward.coordination.publishing import NotApplied
from siskinward.coordination.publishing import NotSent
from siskinward.coordination.publishing import OutcomeUnknown
from siskinward.coordination.publishing import Publication
from siskinward.coordination.publishing import PublishAttempt
from siskinward.coordination.publishing import decode_pointer
from siskinward.coordination.publishing import history_row
from siskinward.coordination.publishing import judge_attempt
from siskinward.coordination.publishing import writes_of
from siskinward.state.configuration import ConfigurationErrors
from siskinward.state.configuration import ObjectChange
from siskinward.state.configuration import apply_changes
from siskinward.state.configuration import check_configuration
from siskinward.state.configuration import parse_configuration
from siskinward.state.configuration import render_configuration
from siskinward.state.errors import StepError
from siskinward.state.objects import Configuration

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from siskinward.coordination.platform import ObjectStore
    from siskinward.coordination.platform import PlatformTable

PUBLISH_ID_SEARCH_VERSIONS = 200


@frozen
class PublisherSettings:
    """How often an attempt is sent again, and how often a merge is tried."""

    send_limit: int = 4
    retry_delay_s: float = 0.5
    merge_limit: int = 8


@frozen
class PublishStamp:
    """Identifies one publication: its id, and the time since the epoch."""

    publish_id: str
    published_at_s: float


@frozen
class PublishedConfiguration:
    """A published version with its content; ``row_version`` is the pointer row's version."""

    pointer: ConfigurationPointer
    row_version: int
    configuration: Configuration


@frozen
class Overlap:
    """Another publication changed the same objects; ``changes`` are the ones not applied."""

    current: ConfigurationPointer
    changes: tuple[ObjectChange, ...]


@frozen
class MergeInvalid:
    """The merged set of objects has faults."""

    current: ConfigurationPointer
    errors: ConfigurationErrors


MergedPublication = Publication | Overlap | MergeInvalid


class Publisher:
    """Publishes by compare-and-set; ``pause`` waits for the given number of seconds."""

    def __init__(
        self,
        table: PlatformTable,
        objects: ObjectStore,
        pause: Callable[[float], Awaitable[None]],
        settings: PublisherSettings,
    ) -> None:
        self._table = table
        self._objects = objects
        self._pause = pause
        self._settings = settings

    async def read_current(self) -> Result[PublishedConfiguration, StepError]:
        """Read the version in force; before the first publication it is empty."""
        return await self._read_published(CONFIGURATION_ROW)

    async def read_version(self, version: int) -> Result[PublishedConfiguration | None, StepError]:
        """Read a version from the history, if it is there; version 0 is the empty one."""
        if version == 0:
            return Ok(PublishedConfiguration(UNPUBLISHED, 0, Configuration()))
        found = await self._read_published(history_row(version))
        return found.map(lambda published: published if published.row_version > 0 else None)

    async def read_history(self, limit: int) -> Result[tuple[ConfigurationPointer, ...], StepError]:
        """Read the newest pointers, newest first."""
        newest = await self._read_pointer(CONFIGURATION_ROW)
        if newest.is_error():
            return Error(newest.error)
        last = newest.ok[0].version
        versions = range(last, max(last - limit, 0), -1)
        if not versions:
            return Ok(())
        rows = await self._table.read(tuple(history_row(version) for version in versions))
        if rows.is_error():
            return Error(rows.error)
        pointers = [decode_pointer(row) for row in rows.ok]
        return Ok(tuple(p.ok for p in pointers if p.is_ok() and p.ok.version > 0))

    async def find(self, publish_id: str) -> Result[ConfigurationPointer | None, StepError]:
        """Find a recent publication by its id."""
        history = await self.read_history(PUBLISH_ID_SEARCH_VERSIONS)
        if history.is_error():
            return Error(history.error)
        return Ok(next((p for p in history.ok if p.publish_id == publish_id), None))

    async def publish(
        self, configuration: Configuration, base: PublishedConfiguration, stamp: PublishStamp
    ) -> Publication:
        """Publish a whole set in place of ``base``, the version read by ``read_current``."""
        stored = await self._objects.put(render_configuration(configuration).encode())
        if stored.is_error():
            return NotSent(stored.error)
        pointer = ConfigurationPointer(
            version=base.pointer.version + 1,
            content_hash=stored.ok,
            publish_id=stamp.publish_id,
            previous_hash=base.pointer.content_hash,
            published_at_s=stamp.published_at_s,
        )
        return await self._send(PublishAttempt(pointer, base.row_version))

    async def publish_changes(
        self, changes: tuple[ObjectChange, ...], stamp: PublishStamp
    ) -> MergedPublication:
        """Merge changes into the version in force; a lost race is merged again."""
        publication: MergedPublication = NotApplied()
        for _ in range(self._settings.merge_limit):
            current = await self.read_current()
            if current.is_error():
                return NotSent(current.error)
            merged = apply_changes(current.ok.configuration, changes)
            if merged.is_error():
                return Overlap(current.ok.pointer, merged.error)
            checked = check_configuration(merged.ok, "merged configuration")
            if checked.is_error():
                return MergeInvalid(current.ok.pointer, checked.error)
            publication = await self.publish(checked.ok, current.ok, stamp)
            if not isinstance(publication, LostRace):
                return publication
        return publication

    async def _send(self, attempt: PublishAttempt) -> Publication:
        """Send an attempt until its outcome is known, or the limit is reached."""
        publication: Publication = NotApplied()
        for number in range(self._settings.send_limit):
            if number > 0:
                await self._pause(self._settings.retry_delay_s)
            written = await self._table.transact(writes_of(attempt))
            if written.is_ok() and written.ok.outcome is WriteOutcome.APPLIED:
                return Accepted(attempt.pointer)
            publication = await self._judge(attempt)
            if isinstance(publication, Accepted | LostRace):
                return publication
        return publication

    async def _judge(self, attempt: PublishAttempt) -> Publication:
        rows = await self._table.read((CONFIGURATION_ROW, history_row(attempt.pointer.version)))
        if rows.is_error():
            return OutcomeUnknown(rows.error)
        pointer_row, attempt_row = rows.ok
        return judge_attempt(attempt, pointer_row, attempt_row)

    async def _read_pointer(self, key: str) -> Result[tuple[ConfigurationPointer, int], StepError]:
        rows = await self._table.read((key,))
        if rows.is_error():
            return Error(rows.error)
        row = rows.ok[0]
        return decode_pointer(row).map(lambda pointer: (pointer, row.version))

    async def _read_published(self, key: str) -> Result[PublishedConfiguration, StepError]:
        found = await self._read_pointer(key)
        if found.is_error():
            return Error(found.error)
        pointer, row_version = found.ok
        if row_version == 0:
            return Ok(PublishedConfiguration(pointer, 0, Configuration()))
        content = await self._objects.get(pointer.content_hash)
        if content.is_error():
            return Error(content.error)
        parsed = _parse(content.ok, f"version {pointer.version}")
        return parsed.map(lambda c: PublishedConfiguration(pointer, row_version, c))


def _parse(content: bytes, name: str) -> Result[Configuration, StepError]:
    parsed = parse_configuration(content.decode("utf-8", "replace"), name)
    return parsed.map_error(lambda errors: StepError("parse configuration", name, str(errors)))
