"""Decodes the fields of sections and collects their errors."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from attrs import field
from attrs import frozen

from siskinward.state.ini._errors import ConfigurationError
from siskinward.state.ini._fields import FieldSpec
from siskinward.state.ini._fields import decode_field
from siskinward.state.ini._fields import describe_field

if TYPE_CHECKING:
    from collections.abc import Sequence

    from siskinward.state.ini._reader import Section

ABSENT = ""


@frozen
class DecodedSection:
    """The values of a section's valid fields, and the errors of the others."""

    values: dict[str, Any] = field(factory=dict)
    errors: list[ConfigurationError] = field(factory=list)


def decode_section(section: Section, specs: Sequence[FieldSpec], file: str) -> DecodedSection:
    """Decode a section's fields and collect all of its errors."""
    decoded = DecodedSection(errors=_unknown_fields(section, specs, file))
    for spec in specs:
        text = section.values.get(spec.name)
        if text is None:
            if spec.is_required:
                allowed = describe_field(spec)
                error = ConfigurationError(file, section.header, spec.name, ABSENT, allowed)
                decoded.errors.append(error)
            continue
        value = decode_field(spec, text)
        if value is None:
            allowed = describe_field(spec)
            error = ConfigurationError(file, section.header, spec.name, text, allowed)
            decoded.errors.append(error)
            continue
        decoded.values[spec.name] = value
    return decoded


def _unknown_fields(
    section: Section, specs: Sequence[FieldSpec], file: str
) -> list[ConfigurationError]:
    known = [spec.name for spec in specs]
    return [
        ConfigurationError(file, section.header, name, value, f"fields: {', '.join(known)}")
        for name, value in section.values.items()
        if name not in known
    ]
