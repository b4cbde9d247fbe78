"""Renders a configuration as INI text that parses to an equal configuration."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from siskinward.state.configuration._kinds import KINDS
from siskinward.state.configuration._kinds import Kind
from siskinward.state.configuration._kinds import fields_of
from siskinward.state.ini import encode_field

if TYPE_CHECKING:
    from siskinward.state.objects import Configuration


def render_configuration(configuration: Configuration) -> str:
    """Render all objects by kind and name; fields at their default are left out."""
    sections = [
        render_object(kind, item)
        for kind in KINDS
        for _, item in sorted(getattr(configuration, kind.collection).items())
    ]
    return "\n".join(sections)


def render_object(kind: Kind, item: Any) -> str:
    """Render one object as a section."""
    lines = [f"[{kind.name} {item.name}]"]
    for spec in fields_of(kind):
        value = getattr(item, spec.name)
        if value != spec.default:
            lines.append(f"{spec.name} = {encode_field(spec, value)}")
    return "\n".join(lines) + "\n"
