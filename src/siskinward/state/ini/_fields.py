"""Describes the fields of a data class and converts their values from and to text."""

from __future__ import annotations

import math
import re
import types
import typing
from enum import Enum
from functools import cache
from typing import Annotated
from typing import Any

import attrs
from attrs import frozen

from siskinward.state.constraints import NAME
from siskinward.state.constraints import Constraint
from siskinward.state.constraints import describe
from siskinward.state.constraints import permits

INTEGER_PATTERN = r"[+-]?[0-9]{1,18}"
BOOLEANS = {"yes": True, "true": True, "on": True, "no": False, "false": False, "off": False}


@frozen
class FieldSpec:
    """A field's name, value type, constraints and default."""

    name: str
    value_type: Any
    constraints: tuple[Constraint, ...]
    identifier_type: Any
    is_repeated: bool
    default: Any

    @property
    def is_required(self) -> bool:
        """Whether the field must be present."""
        return self.default is attrs.NOTHING


@cache
def field_specs(class_: Any) -> tuple[FieldSpec, ...]:
    """Describe the fields of an attrs class, in their order."""
    hints = typing.get_type_hints(class_, include_extras=True)
    return tuple(_spec(a.name, hints[a.name], a.default) for a in attrs.fields(class_))


def _spec(name: str, hint: Any, default: Any) -> FieldSpec:
    constraints: tuple[Constraint, ...] = ()
    is_repeated = typing.get_origin(hint) is tuple
    if is_repeated:
        hint = typing.get_args(hint)[0]
    if typing.get_origin(hint) in (types.UnionType, typing.Union):
        hint = next(arg for arg in typing.get_args(hint) if arg is not types.NoneType)
    if typing.get_origin(hint) is Annotated:
        hint, *extras = typing.get_args(hint)
        constraints = tuple(extras)
    identifier_type = None
    if isinstance(hint, typing.NewType):
        identifier_type = hint
        hint = hint.__supertype__
        constraints = (*constraints, NAME)
    return FieldSpec(name, hint, constraints, identifier_type, is_repeated, default)


def describe_field(spec: FieldSpec) -> str:
    """Describe the permitted values of a field to an operator."""
    texts = [_describe_type(spec.value_type)]
    texts += [describe(constraint) for constraint in spec.constraints]
    text = " ".join(filter(None, texts))
    return f"one or more, separated by spaces: {text}" if spec.is_repeated else text


def decode_field(spec: FieldSpec, text: str) -> Any:
    """Convert ``text`` to the field's value, or return None if the text is not permitted."""
    if not spec.is_repeated:
        return _decode_value(spec, text)
    values = tuple(_decode_value(spec, part) for part in text.split())
    return None if not values or None in values else values


def encode_field(spec: FieldSpec, value: Any) -> str:
    """Convert a field's value to the text that ``decode_field`` reads."""
    if spec.is_repeated:
        return " ".join(_encode_value(part) for part in value)
    return _encode_value(value)


def _decode_value(spec: FieldSpec, text: str) -> Any:
    value = _convert(spec.value_type, text)
    if value is None or not all(permits(constraint, value) for constraint in spec.constraints):
        return None
    return value


def _convert(value_type: Any, text: str) -> Any:
    """Convert ``text``, or return None if it is no value of the type."""
    if value_type is str:
        return text
    if value_type is bool:
        return BOOLEANS.get(text.lower())
    if value_type is int:
        return int(text) if re.fullmatch(INTEGER_PATTERN, text) else None
    if value_type is float:
        return _convert_float(text)
    return next((member for member in value_type if member.value == text), None)


def _convert_float(text: str) -> float | None:
    try:
        value = float(text)
    except ValueError:
        return None
    return value if math.isfinite(value) else None


def _encode_value(value: Any) -> str:
    match value:
        case bool():
            return "yes" if value else "no"
        case Enum():
            return str(value.value)
        case _:
            return str(value)


def _describe_type(value_type: Any) -> str:
    if value_type is str:
        return ""
    if value_type is bool:
        return "yes or no"
    if value_type is int:
        return "a whole number"
    if value_type is float:
        return "a number"
    return " or ".join(member.value for member in value_type)
