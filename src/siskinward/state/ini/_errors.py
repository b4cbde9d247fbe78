"""Errors of a configuration or settings file, collected rather than raised."""

from __future__ import annotations

from attrs import frozen

MAXIMUM_SHOWN_VALUE_CHARACTERS = 80


@frozen
class ConfigurationError:
    """One fault: the file, the object and field at fault, its value and what is allowed.

    ``object`` is ``kind name``, or ``line N`` for a fault of syntax; ``field`` may be empty.
    """

    file: str
    object: str
    field: str
    value: str
    allowed: str

    @property
    def step(self) -> str:
        """The step at which the error arose."""
        return "check configuration"

    @property
    def peer(self) -> str:
        """The file at fault."""
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
    """All faults of one file, in the order in which they were found."""

    errors: tuple[ConfigurationError, ...]

    def __str__(self) -> str:
        return "\n".join(str(error) for error in self.errors)


def _shorten(value: str) -> str:
    if len(value) <= MAXIMUM_SHOWN_VALUE_CHARACTERS:
        return value
    return value[:MAXIMUM_SHOWN_VALUE_CHARACTERS] + "..."
