"""Reads configurations named by an argument: a file, ``@VERSION`` or ``@current``."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import TypeVar

from siskinward.console._errors import InvalidInputError
from siskinward.console._platform import run_or_fail
from siskinward.state.configuration import load_configuration
from siskinward.state.settings import load_settings

if TYPE_CHECKING:
    from expression import Result

    from siskinward.coordination.configuration_reader import PublishedConfiguration
    from siskinward.coordination.publisher import Publisher
    from siskinward.state.configuration import ConfigurationErrors
    from siskinward.state.objects import Configuration
    from siskinward.state.settings import NodeSettings

T = TypeVar("T")
CURRENT = "@current"


def load_file(path: str) -> Configuration:
    """Read and check a configuration file; end the command if it is invalid."""
    return _value_or_fail(load_configuration(path))


def load_settings_file(path: str) -> NodeSettings:
    """Read and check a settings file; end the command if it is invalid."""
    return _value_or_fail(load_settings(path))


def load_source(source: str, publisher: Publisher) -> Configuration:
    """Read a file or a published version."""
    if not source.startswith("@"):
        return load_file(source)
    return load_published(source, publisher).configuration


def load_published(source: str, publisher: Publisher) -> PublishedConfiguration:
    """Read ``@VERSION`` or ``@current``."""
    if source == CURRENT:
        return run_or_fail(publisher.reader.read_current())
    number = source.removeprefix("@")
    if not number.isdecimal():
        raise InvalidInputError(f"{source} is not a version", f"Give @VERSION or {CURRENT}.")
    return load_version(int(number), publisher)


def load_version(version: int, publisher: Publisher) -> PublishedConfiguration:
    """Read a version from the history."""
    published = run_or_fail(publisher.reader.read_version(version))
    if published is None:
        raise InvalidInputError(f"there is no version {version}", "Run `siskinward history`.")
    return published


def _value_or_fail(result: Result[T, ConfigurationErrors]) -> T:
    if result.is_error():
        errors = result.error
        raise InvalidInputError(
            errors, f"Errors: {len(errors.errors)}. Correct them and try again."
        )
    return result.ok
