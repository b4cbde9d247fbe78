"""Errors of a configuration or settings file, collected rather than raised."""

from __future__ import annotations

from attrs import frozen

MAXIMUM_SHOWN_VALUE_CHARACTERS = 80


@frozen
class ConfigurationError:
    """One error: the file, the object and field concerned, the value and what is allowed.

    ``object`` is ``kind name``, ``line N`` for a syntax error, or ``file`` for an unreadable file;
    ``field`` may be empty.
    """

    file: str
    object: str
    field: str
    value: str
    allowed: str

    @property
    def step(self) -> str:
        """The step that failed."""
        return "check configuration"

    @property
    def peer(self) -> str:
        """The file that holds the error."""
        return self.file

    def __str__(self) -> str:
        place = f"{self.file}: [{self.object}]"
        if self.field:
            place = f"{place} {self.field}"
        if self.value:
            place = f"{place} = {_shorten(self.value)!r}"
        elif self.field:
            place = f"{place} is missing or empty"
        return f"{place}; allowed: {self.allowed}"


@frozen
class ConfigurationErrors:
    """All errors of one file, in the order in which they were found."""

    errors: tuple[ConfigurationError, ...]

    def __str__(self) -> str:
        return "\n".join(str(error) for error in self.errors)


def _shorten(value: str) -> str:
    if len(value) <= MAXIMUM_SHOWN_VALUE_CHARACTERS:
        return value
    return value[:MAXIMUM_SHOWN_VALUE_CHARACTERS] + "..."
