"""The kinds of operator objects, derived from the fields of ``Configuration``."""

from __future__ import annotations

import re
import typing
from typing import Any

from attrs import frozen

from siskinward.state.constraints import RefersTo
from siskinward.state.ini import FieldSpec
from siskinward.state.ini import field_specs
from siskinward.state.objects import Configuration


@frozen
class Kind:
    """A kind of object: its name in section headers, its class and its mapping."""

    name: str
    class_: Any
    collection: str


def _hyphenate(class_name: str) -> str:
    return re.sub(r"(?<!^)(?=[A-Z])", "-", class_name).lower()


def _derive_kinds() -> tuple[tuple[Kind, ...], dict[Any, str]]:
    kinds = []
    collections = {}
    for collection, hint in typing.get_type_hints(Configuration).items():
        identifier_type, class_ = typing.get_args(hint)
        kinds.append(Kind(_hyphenate(class_.__name__), class_, collection))
        if identifier_type is not str:
            collections[identifier_type] = collection
    return tuple(kinds), collections


KINDS, _COLLECTION_BY_IDENTIFIER = _derive_kinds()
KIND_BY_NAME = {kind.name: kind for kind in KINDS}
KIND_BY_COLLECTION = {kind.collection: kind for kind in KINDS}


def fields_of(kind: Kind) -> tuple[FieldSpec, ...]:
    """Return the field specs of a kind except the name, which the section header holds."""
    return field_specs(kind.class_)[1:]


def referenced_collection(spec: FieldSpec) -> str | None:
    """Return the mapping of the objects that a field refers to by name, or None."""
    for constraint in spec.constraints:
        if isinstance(constraint, RefersTo):
            return constraint.collection
    return _COLLECTION_BY_IDENTIFIER.get(spec.identifier_type)
