"""Errors that end a command with a short message and the next step."""

from __future__ import annotations

import click

from siskinward.console._exit_codes import ExitCode


class CommandError(click.ClickException):
    """Ends a command; ``next_step`` tells the operator what to do."""

    def __init__(self, message: object, next_step: str) -> None:
        super().__init__(f"{message}\n{next_step}")


class InvalidInputError(CommandError):
    """The input is invalid."""

    exit_code = int(ExitCode.INVALID_INPUT)


class ConflictError(CommandError):
    """Another publication was accepted first."""

    exit_code = int(ExitCode.CONFLICT)


class PlatformUnavailableError(CommandError):
    """The platform did not answer."""

    exit_code = int(ExitCode.PLATFORM_UNAVAILABLE)
