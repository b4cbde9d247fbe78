"""References between objects by name."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from attrs import frozen

from siskinward.state.configuration._kinds import KINDS
from siskinward.state.configuration._kinds import Kind
from siskinward.state.configuration._kinds import fields_of
from siskinward.state.configuration._kinds import referenced_collection
from siskinward.state.objects import Drain
from siskinward.state.objects import DrainKind

if TYPE_CHECKING:
    from collections.abc import Iterator
    from collections.abc import Mapping

    from siskinward.state.objects import Configuration


@frozen
class Reference:
    """A field of an object that holds the name of an object in ``collection``."""

    object: str
    field: str
    value: str
    collection: str


def references_of(kind: Kind, name: str, values: Mapping[str, Any]) -> Iterator[Reference]:
    """Yield the references among an object's field values."""
    header = f"{kind.name} {name}"
    for spec in fields_of(kind):
        collection = referenced_collection(spec)
        value = values.get(spec.name)
        if collection is not None and value is not None:
            yield Reference(header, spec.name, value, collection)
    if kind.class_ is Drain and "kind" in values and "subject" in values:
        yield Reference(header, "subject", values["subject"], _drained_collection(values["kind"]))


def all_references(configuration: Configuration) -> Iterator[Reference]:
    """Yield the references of every object."""
    for kind in KINDS:
        for name, item in getattr(configuration, kind.collection).items():
            values = {spec.name: getattr(item, spec.name) for spec in fields_of(kind)}
            yield from references_of(kind, name, values)


def _drained_collection(kind: DrainKind) -> str:
    match kind:
        case DrainKind.TARGET:
            return "targets"
        case DrainKind.FAILURE_DOMAIN:
            return "failure_domains"
        case DrainKind.REGION:
            return "regions"
