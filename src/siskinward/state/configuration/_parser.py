"""Parses INI text into a checked configuration."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from expression import Error
from expression import Ok
from expression import Result

from siskinward.state.configuration._checks import Declarations
from siskinward.state.configuration._checks import find_violations
from siskinward.state.configuration._kinds import KIND_BY_NAME
from siskinward.state.configuration._kinds import KINDS
from siskinward.state.configuration._kinds import Kind
from siskinward.state.configuration._kinds import fields_of
from siskinward.state.configuration._references import Reference
from siskinward.state.configuration._references import all_references
from siskinward.state.configuration._references import references_of
from siskinward.state.constraints import NAME
from siskinward.state.constraints import describe
from siskinward.state.constraints import permits
from siskinward.state.ini import ConfigurationError
from siskinward.state.ini import ConfigurationErrors
from siskinward.state.ini import Section
from siskinward.state.ini import decode_section
from siskinward.state.ini import read_ini
from siskinward.state.ini import read_text
from siskinward.state.objects import Configuration

if TYPE_CHECKING:
    from pathlib import Path

ParseResult = Result[Configuration, ConfigurationErrors]


def load_configuration(path: str | Path) -> ParseResult:
    """Read and check a configuration file."""
    return read_text(path).bind(lambda text: parse_configuration(text, str(path)))


def parse_configuration(text: str, file: str) -> ParseResult:
    """Parse and check ``text``; the error side holds all errors."""
    ini = read_ini(text, file)
    builder = _Builder(file, ini.errors)
    for section in ini.sections:
        builder.add(section)
    return builder.finish()


def check_configuration(configuration: Configuration, file: str) -> ParseResult:
    """Check a configuration of valid objects as a whole."""
    names = {k.collection: frozenset(getattr(configuration, k.collection)) for k in KINDS}
    declared = Declarations(names, tuple(all_references(configuration)))
    violations = find_violations(configuration, declared)
    errors = tuple(
        ConfigurationError(file, v.object, v.field, v.value, v.allowed) for v in violations
    )
    return Error(ConfigurationErrors(errors)) if errors else Ok(configuration)


class _Builder:
    """Collects objects, declared names and errors section by section."""

    def __init__(self, file: str, errors: list[ConfigurationError]) -> None:
        self._file = file
        self._errors = errors
        self._objects: dict[str, dict[str, Any]] = {kind.collection: {} for kind in KINDS}
        self._references: list[Reference] = []
        self._names: dict[str, set[str]] = {kind.collection: set() for kind in KINDS}

    def add(self, section: Section) -> None:
        """Decode one section."""
        kind_name, _, name = section.header.partition(" ")
        name = name.strip()
        kind = KIND_BY_NAME.get(kind_name)
        if kind is None:
            allowed = f"[kind name] with one of the kinds {', '.join(KIND_BY_NAME)}"
            self._add_error(section.header, "", kind_name, allowed)
            return
        if not permits(NAME, name):
            self._add_error(section.header, "name", name, describe(NAME))
            return
        if name in self._names[kind.collection]:
            self._add_error(section.header, "name", name, "one section of this name")
            return
        self._names[kind.collection].add(name)
        self._add_object(kind, name, section)

    def finish(self) -> ParseResult:
        """Check the objects as a whole; return the configuration or all errors."""
        objects: dict[str, Any] = self._objects
        configuration = Configuration(**objects)
        names = {collection: frozenset(names) for collection, names in self._names.items()}
        invalid = frozenset(c for c in names if len(names[c]) != len(self._objects[c]))
        declared = Declarations(names, tuple(self._references), invalid)
        for violation in find_violations(configuration, declared):
            self._add_error(violation.object, violation.field, violation.value, violation.allowed)
        if self._errors:
            return Error(ConfigurationErrors(tuple(self._errors)))
        return Ok(configuration)

    def _add_object(self, kind: Kind, name: str, section: Section) -> None:
        decoded = decode_section(section, fields_of(kind), self._file)
        self._errors.extend(decoded.errors)
        self._references.extend(references_of(kind, name, decoded.values))
        if not decoded.errors:
            self._objects[kind.collection][name] = kind.class_(name=name, **decoded.values)

    def _add_error(self, object_: str, field: str, value: str, allowed: str) -> None:
        self._errors.append(ConfigurationError(self._file, object_, field, value, allowed))
