"""Exit codes of the commands."""

from __future__ import annotations

from enum import IntEnum


class ExitCode(IntEnum):
    """What a command's exit code tells the calling program."""

    OK = 0
    INVALID_INPUT = 1
    USAGE = 2
    CONFLICT = 3
    PLATFORM_UNAVAILABLE = 4
    PROMISE_BROKEN = 5


EXIT_CODES_HELP = (
    "Exit codes: 0 done, 1 invalid input, 2 wrong usage, 3 conflict with another publication, "
    "4 platform unavailable."
)
