"""Reads INI text into sections and reports every syntax error."""

from __future__ import annotations

import configparser
from pathlib import Path

from attrs import field
from attrs import frozen
from expression import Error
from expression import Ok
from expression import Result

from siskinward.state.ini._errors import ConfigurationError
from siskinward.state.ini._errors import ConfigurationErrors

MAXIMUM_SYNTAX_ERRORS = 20
REPLACEMENT_SECTION = "\x00duplicate"
"""Header under which the fields of a duplicate section are read and then ignored."""


@frozen
class Section:
    """A section's header and its fields as unparsed text."""

    header: str
    values: dict[str, str]


@frozen
class IniText:
    """The sections of a file, and its syntax errors."""

    sections: tuple[Section, ...]
    errors: list[ConfigurationError] = field(factory=list)


def read_ini(text: str, file: str) -> IniText:
    """Read ``text``; a line with a syntax error is reported and skipped to read the rest."""
    lines = text.split("\n")
    errors: list[ConfigurationError] = []
    while len(errors) < MAXIMUM_SYNTAX_ERRORS:
        parser = _new_parser()
        try:
            parser.read_file(line + "\n" for line in lines)
        except configparser.Error as error:
            errors.extend(_replace_faulty_lines(lines, error, file))
            continue
        return IniText(_sections(parser), errors)
    return IniText((), errors)


def read_text(path: str | Path) -> Result[str, ConfigurationErrors]:
    """Read a UTF-8 file."""
    try:
        return Ok(Path(path).read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError) as error:
        cause = getattr(error, "strerror", None) or "not UTF-8"
        unreadable = ConfigurationError(str(path), "file", "", cause, "a readable file in UTF-8")
        return Error(ConfigurationErrors((unreadable,)))


def _new_parser() -> configparser.RawConfigParser:
    parser = configparser.RawConfigParser(
        delimiters=("=",),
        comment_prefixes=("#", ";"),
        empty_lines_in_values=False,
        default_section="",
    )
    parser.optionxform = str  # type: ignore[assignment, method-assign]
    return parser


def _sections(parser: configparser.RawConfigParser) -> tuple[Section, ...]:
    return tuple(
        Section(header, dict(parser.items(header)))
        for header in parser.sections()
        if not header.startswith(REPLACEMENT_SECTION)
    )


def _replace_faulty_lines(
    lines: list[str], error: configparser.Error, file: str
) -> list[ConfigurationError]:
    """Replace the lines that caused an error, so that they parse, and describe them."""
    match error:
        case configparser.DuplicateSectionError(section=section, lineno=int(number)):
            lines[number - 1] = f"[{REPLACEMENT_SECTION} {number}]"
            allowed = f"one section of this name; line {number} declares it again"
            return [ConfigurationError(file, section, "", section, allowed)]
        case configparser.DuplicateOptionError(section=section, option=option, lineno=int(number)):
            value = lines[number - 1]
            lines[number - 1] = ""
            return [ConfigurationError(file, section, option, value, "the field only once")]
        case configparser.MissingSectionHeaderError(lineno=int(number)):
            return [_blank_line(lines, number, file, "a section header before the first field")]
        case configparser.ParsingError():
            numbers = [number for number, _ in error.errors]
            return [
                _blank_line(lines, number, file, "[kind name] or field = value")
                for number in numbers
            ]
    raise error


def _blank_line(lines: list[str], number: int, file: str, allowed: str) -> ConfigurationError:
    value = lines[number - 1]
    lines[number - 1] = ""
    return ConfigurationError(file, f"line {number}", "", value.strip(), allowed)
