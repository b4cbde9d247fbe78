"""Reader of published configurations, which applies deltas to a held version if possible."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import evolve
from attrs import frozen
from expression import Error
from expression import Ok
from expression import Result

from siskinward.coordination.publishing import CONFIGURATION_ROW
from siskinward.coordination.publishing import UNPUBLISHED
from siskinward.coordination.publishing import ConfigurationPointer
from siskinward.coordination.publishing import decode_pointer
from siskinward.coordination.publishing import history_row
from siskinward.state.configuration import apply_delta
from siskinward.state.configuration import parse_configuration
from siskinward.state.errors import StepError
from siskinward.state.objects import Configuration

if TYPE_CHECKING:
    from siskinward.coordination.platform import ObjectStore
    from siskinward.coordination.platform import PlatformTable

PUBLISH_ID_SEARCH_VERSIONS = 200
MAX_DELTAS = 16
"""Maximum number of versions to catch up by deltas; beyond it the full content is fetched."""


@frozen
class PublishedConfiguration:
    """A published version with its content, and the version of the row that it was read from."""

    pointer: ConfigurationPointer
    row_version: int
    configuration: Configuration


NOTHING_PUBLISHED = PublishedConfiguration(UNPUBLISHED, 0, Configuration())


class ConfigurationReader:
    """Read published versions from the platform."""

    def __init__(self, table: PlatformTable, objects: ObjectStore) -> None:
        self._table = table
        self._objects = objects

    async def read_current(self) -> Result[PublishedConfiguration, StepError]:
        """Read the active version; it is empty before the first publication."""
        return await self._read_row(CONFIGURATION_ROW)

    async def read_version(self, version: int) -> Result[PublishedConfiguration | None, StepError]:
        """Read a version from the history, or None if absent; version 0 is the empty one."""
        if version == 0:
            return Ok(NOTHING_PUBLISHED)
        found = await self._read_row(history_row(version))
        return found.map(lambda published: published if published.row_version > 0 else None)

    async def read_newer(
        self, held: PublishedConfiguration
    ) -> Result[PublishedConfiguration, StepError]:
        """Read the active version if it is higher than ``held``, else return ``held``."""
        found = await self._read_pointer(CONFIGURATION_ROW)
        if found.is_error():
            return Error(found.error)
        pointer, row_version = found.ok
        if pointer.version <= held.pointer.version:
            return Ok(held)
        caught_up = await self._apply_deltas(held, pointer)
        if caught_up is not None:
            return Ok(evolve(caught_up, row_version=row_version))
        return await self._fetch_full_content(pointer, row_version)

    async def read_history(self, limit: int) -> Result[tuple[ConfigurationPointer, ...], StepError]:
        """Read up to ``limit`` pointers, newest first; unreadable rows are skipped."""
        newest = await self._table.read((CONFIGURATION_ROW,))
        pointer = newest.bind(lambda rows: decode_pointer(rows[0]))
        if pointer.is_error():
            return Error(pointer.error)
        last = pointer.ok.version
        versions = range(last, max(last - limit, 0), -1)
        if not versions:
            return Ok(())
        rows = await self._table.read(tuple(history_row(version) for version in versions))
        if rows.is_error():
            return Error(rows.error)
        pointers = [decode_pointer(row) for row in rows.ok]
        return Ok(tuple(p.ok for p in pointers if p.is_ok() and p.ok.version > 0))

    async def find(self, publish_id: str) -> Result[ConfigurationPointer | None, StepError]:
        """Find a publication by its id among the last ``PUBLISH_ID_SEARCH_VERSIONS`` versions."""
        history = await self.read_history(PUBLISH_ID_SEARCH_VERSIONS)
        if history.is_error():
            return Error(history.error)
        return Ok(next((p for p in history.ok if p.publish_id == publish_id), None))

    async def _apply_deltas(
        self, held: PublishedConfiguration, target: ConfigurationPointer
    ) -> PublishedConfiguration | None:
        """Apply the deltas from ``held`` to ``target``; None if they do not lead to it."""
        versions = range(held.pointer.version + 1, target.version + 1)
        if held.pointer.version == 0 or len(versions) > MAX_DELTAS:
            return None
        rows = await self._table.read(tuple(history_row(version) for version in versions))
        if rows.is_error():
            return None
        reached: PublishedConfiguration | None = held
        for row in rows.ok:
            pointer = decode_pointer(row)
            if reached is None or pointer.is_error():
                return None
            reached = await self._apply_delta(reached, pointer.ok)
        if reached is None or reached.pointer != target:
            return None
        return reached

    async def _apply_delta(
        self, held: PublishedConfiguration, pointer: ConfigurationPointer
    ) -> PublishedConfiguration | None:
        if not pointer.delta_hash or pointer.previous_hash != held.pointer.content_hash:
            return None
        content = await self._objects.get(pointer.delta_hash)
        if content.is_error():
            return None
        text = content.ok.decode("utf-8", "replace")
        applied = apply_delta(held.configuration, text, f"delta to version {pointer.version}")
        if applied.is_error():
            return None
        return PublishedConfiguration(pointer, held.row_version, applied.ok)

    async def _read_pointer(self, key: str) -> Result[tuple[ConfigurationPointer, int], StepError]:
        rows = await self._table.read((key,))
        if rows.is_error():
            return Error(rows.error)
        row = rows.ok[0]
        return decode_pointer(row).map(lambda pointer: (pointer, row.version))

    async def _read_row(self, key: str) -> Result[PublishedConfiguration, StepError]:
        found = await self._read_pointer(key)
        if found.is_error():
            return Error(found.error)
        pointer, row_version = found.ok
        if row_version == 0:
            return Ok(NOTHING_PUBLISHED)
        return await self._fetch_full_content(pointer, row_version)

    async def _fetch_full_content(
        self, pointer: ConfigurationPointer, row_version: int
    ) -> Result[PublishedConfiguration, StepError]:
        content = await self._objects.get(pointer.content_hash)
        if content.is_error():
            return Error(content.error)
        parsed = _parse(content.ok, f"version {pointer.version}")
        return parsed.map(lambda c: PublishedConfiguration(pointer, row_version, c))


def _parse(content: bytes, name: str) -> Result[Configuration, StepError]:
    parsed = parse_configuration(content.decode("utf-8", "replace"), name)
    return parsed.map_error(lambda errors: StepError("parse configuration", name, str(errors)))
