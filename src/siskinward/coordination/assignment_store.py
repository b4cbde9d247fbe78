"""Store of the published assignments of all services: a pointer row and an object."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import frozen
from expression import Error
from expression import Ok

from siskinward.coordination.assignment_content import Assignments
from siskinward.coordination.assignment_content import decode_assignments
from siskinward.coordination.assignment_content import encode_assignments
from siskinward.coordination.events import WriteOutcome
from siskinward.coordination.platform import RowWrite
from siskinward.coordination.publishing import ConfigurationPointer
from siskinward.coordination.publishing import decode_pointer
from siskinward.coordination.publishing import encode_pointer
from siskinward.state.errors import StepError

if TYPE_CHECKING:
    from collections.abc import Mapping

    from expression import Result

    from siskinward.coordination.planner import Assignment
    from siskinward.coordination.platform import ObjectStore
    from siskinward.coordination.platform import PlatformTable
    from siskinward.state.identifiers import ServiceName

ASSIGNMENT_ROW = "shift-assignment"


@frozen
class PublishedAssignments:
    """The active assignments, and the row version that the next write must expect."""

    row_version: int
    pointer: ConfigurationPointer
    assignments: Assignments


class AssignmentStore:
    """Read and publish the assignments by compare-and-set on the pointer row.

    A write is accepted only if the row is unchanged since it was read, so at most one of two
    concurrent planners succeeds. After any error the row must be read again.
    """

    def __init__(self, table: PlatformTable, objects: ObjectStore) -> None:
        self._table = table
        self._objects = objects

    async def read(self) -> Result[PublishedAssignments, StepError]:
        """Read the active assignments."""
        rows = await self._table.read((ASSIGNMENT_ROW,))
        if rows.is_error():
            return Error(rows.error)
        row = rows.ok[0]
        pointer = decode_pointer(row)
        if pointer.is_error():
            return Error(pointer.error)
        if row.version == 0:
            return Ok(PublishedAssignments(0, pointer.ok, {}))
        content = await self._objects.get(pointer.ok.content_hash)
        if content.is_error():
            return Error(content.error)
        return decode_assignments(content.ok).map(
            lambda assignments: PublishedAssignments(row.version, pointer.ok, assignments)
        )

    async def write(
        self,
        base: PublishedAssignments,
        assignments: Mapping[ServiceName, Assignment],
        planner: str,
    ) -> Result[PublishedAssignments, StepError]:
        """Publish assignments in place of ``base``; after an error they may still take effect."""
        stored = await self._objects.put(encode_assignments(assignments))
        if stored.is_error():
            return Error(stored.error)
        pointer = ConfigurationPointer(
            version=base.pointer.version + 1,
            content_hash=stored.ok,
            publish_id=planner,
            previous_hash=base.pointer.content_hash,
            published_at_s=0.0,
        )
        write = RowWrite(ASSIGNMENT_ROW, base.row_version, encode_pointer(pointer))
        written = await self._table.transact((write,))
        if written.is_error():
            return Error(written.error)
        if written.ok.outcome is not WriteOutcome.APPLIED:
            return Error(
                StepError(
                    "write assignment", ASSIGNMENT_ROW, "the row was changed by another planner"
                )
            )
        return Ok(PublishedAssignments(base.row_version + 1, pointer, dict(assignments)))
