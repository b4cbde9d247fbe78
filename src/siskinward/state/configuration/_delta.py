"""Deltas between versions: INI text that holds only the objects that changed."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

import attrs
from expression import Error
from expression import Ok
from expression import Result

from siskinward.state.configuration._kinds import KIND_BY_NAME
from siskinward.state.configuration._kinds import KINDS
from siskinward.state.configuration._kinds import fields_of
from siskinward.state.configuration._renderer import render_object
from siskinward.state.ini import ConfigurationError
from siskinward.state.ini import ConfigurationErrors
from siskinward.state.ini import decode_section
from siskinward.state.ini import read_ini

if TYPE_CHECKING:
    from collections.abc import Iterable

    from siskinward.state.configuration._changes import ObjectChange
    from siskinward.state.ini import Section
    from siskinward.state.objects import Configuration

REMOVED = "removed"
"""First word of the header of a section that removes an object."""


def render_delta(changes: Iterable[ObjectChange]) -> str:
    """Render each changed object in full, and a header without fields for each removed one."""
    sections = []
    for change in changes:
        if change.after is None:
            sections.append(f"[{REMOVED} {change.kind} {change.name}]\n")
        else:
            sections.append(render_object(KIND_BY_NAME[change.kind], change.after))
    return "\n".join(sections)


def apply_delta(
    configuration: Configuration, text: str, file: str
) -> Result[Configuration, ConfigurationErrors]:
    """Apply a delta to the version that it was made from.

    Only fields are checked: the publisher checked the configuration as a whole before publishing.
    """
    ini = read_ini(text, file)
    errors = list(ini.errors)
    collections = _Collections(configuration)
    for section in ini.sections:
        errors.extend(_apply_section(section, collections, file))
    if errors:
        return Error(ConfigurationErrors(tuple(errors)))
    return Ok(attrs.evolve(configuration, **collections.changed))


class _Collections:
    """Copies of the configuration's mappings, made when a delta first changes them."""

    def __init__(self, configuration: Configuration) -> None:
        self._configuration = configuration
        self.changed: dict[str, Any] = {}

    def writable(self, collection: str) -> dict[str, Any]:
        if collection not in self.changed:
            self.changed[collection] = dict(getattr(self._configuration, collection))
        mapping: dict[str, Any] = self.changed[collection]
        return mapping


def _apply_section(
    section: Section, collections: _Collections, file: str
) -> list[ConfigurationError]:
    words = section.header.split()
    is_removal = words[:1] == [REMOVED]
    kind = KIND_BY_NAME.get(words[-2]) if len(words) == 2 + is_removal else None
    if kind is None:
        allowed = f"[kind name] or [{REMOVED} kind name] with one of the {len(KINDS)} kinds"
        return [ConfigurationError(file, section.header, "", section.header, allowed)]
    name = words[-1]
    objects = collections.writable(kind.collection)
    if is_removal:
        objects.pop(name, None)
        return []
    decoded = decode_section(section, fields_of(kind), file)
    if not decoded.errors:
        objects[name] = kind.class_(name=name, **decoded.values)
    return decoded.errors
