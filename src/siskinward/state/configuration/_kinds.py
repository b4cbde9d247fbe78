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
        identifier, class_ = typing.get_args(hint)
        kinds.append(Kind(_hyphenate(class_.__name__), class_, collection))
        if identifier is not str:
            collections[identifier] = collection
    return tuple(kinds), collections


KINDS, _COLLECTION_BY_IDENTIFIER = _derive_kinds()
KIND_BY_NAME = {kind.name: kind for kind in KINDS}
KIND_BY_COLLECTION = {kind.collection: kind for kind in KINDS}


def fields_of(kind: Kind) -> tuple[FieldSpec, ...]:
    """Describe the fields of a kind but for the name, which stands in the section header."""
    return field_specs(kind.class_)[1:]


def referred_collection(spec: FieldSpec) -> str | None:
    """Return the mapping whose names the field holds, if it refers to objects."""
    for constraint in spec.constraints:
        if isinstance(constraint, RefersTo):
            return constraint.collection
    return _COLLECTION_BY_IDENTIFIER.get(spec.identifier)
