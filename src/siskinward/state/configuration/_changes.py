"""Differences between two configurations, object by object, and their merge."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

import attrs
from attrs import frozen
from expression import Error
from expression import Ok
from expression import Result

from siskinward.state.configuration._kinds import KIND_BY_NAME
from siskinward.state.configuration._kinds import KINDS
from siskinward.state.configuration._kinds import fields_of
from siskinward.state.ini import encode_field

if TYPE_CHECKING:
    from collections.abc import Iterable

    from siskinward.state.configuration._kinds import Kind
    from siskinward.state.ini import FieldSpec
    from siskinward.state.objects import Configuration

UNSET = "unset"


@frozen
class ObjectChange:
    """One object before and after a change; None means that it was, or is now, absent."""

    kind: str
    name: str
    before: Any
    after: Any

    def __str__(self) -> str:
        return "\n".join(_change_lines(self))


def diff_configurations(old: Configuration, new: Configuration) -> tuple[ObjectChange, ...]:
    """Return the changes that turn ``old`` into ``new``, by kind and name."""
    return tuple(change for kind in KINDS for change in _diff_kind(kind, old, new))


def apply_changes(
    configuration: Configuration, changes: Iterable[ObjectChange]
) -> Result[Configuration, tuple[ObjectChange, ...]]:
    """Apply changes that were made to another version.

    The error side holds the overlapping changes: those of objects that differ here from both
    their state before the change and their state after it.
    """
    collections = {k.collection: dict(getattr(configuration, k.collection)) for k in KINDS}
    overlapping = []
    for change in changes:
        objects = collections[KIND_BY_NAME[change.kind].collection]
        if objects.get(change.name) not in (change.before, change.after):
            overlapping.append(change)
        elif change.after is None:
            objects.pop(change.name, None)
        else:
            objects[change.name] = change.after
    if overlapping:
        return Error(tuple(overlapping))
    return Ok(attrs.evolve(configuration, **collections))


def _diff_kind(kind: Kind, old: Configuration, new: Configuration) -> Iterable[ObjectChange]:
    old_objects = getattr(old, kind.collection)
    new_objects = getattr(new, kind.collection)
    for name in sorted(old_objects.keys() | new_objects.keys()):
        before = old_objects.get(name)
        after = new_objects.get(name)
        if before != after:
            yield ObjectChange(kind.name, name, before, after)


def _change_lines(change: ObjectChange) -> Iterable[str]:
    specs = fields_of(KIND_BY_NAME[change.kind])
    header = f"[{change.kind} {change.name}]"
    if change.after is None:
        yield f"- {header}"
        return
    yield f"{'+' if change.before is None else '~'} {header}"
    for spec in specs:
        new = _field_text(spec, change.after)
        if change.before is None:
            if getattr(change.after, spec.name) != spec.default:
                yield f"    {spec.name} = {new}"
            continue
        old = _field_text(spec, change.before)
        if old != new:
            yield f"    {spec.name}: {old} -> {new}"


def _field_text(spec: FieldSpec, item: Any) -> str:
    value = getattr(item, spec.name)
    return UNSET if value is None else encode_field(spec, value)
