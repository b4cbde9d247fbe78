"""Reports the outcome of a publication."""

from __future__ import annotations

import click

from siskinward.console._errors import CommandError
from siskinward.console._errors import ConflictError
from siskinward.console._errors import InvalidInputError
from siskinward.console._errors import PlatformUnavailableError
from siskinward.console._output import describe_pointer
from siskinward.console._output import echo_changes
from siskinward.coordination.publisher import MergeConflict
from siskinward.coordination.publisher import MergedPublication
from siskinward.coordination.publisher import MergeInvalid
from siskinward.coordination.publishing import Accepted
from siskinward.coordination.publishing import ConfigurationPointer
from siskinward.coordination.publishing import LostRace
from siskinward.coordination.publishing import NotApplied
from siskinward.coordination.publishing import NotSent
from siskinward.coordination.publishing import OutcomeUnknown

UNKNOWN_OUTCOME_MESSAGE = "the platform did not confirm the publication; it may still take effect"


def require_accepted(publication: MergedPublication, publish_id: str) -> ConfigurationPointer:
    """Return the accepted pointer, or end the command with the actual outcome."""
    match publication:
        case Accepted(pointer):
            return pointer
        case LostRace(current):
            raise ConflictError(
                f"not published: another publication came first ({describe_pointer(current)})",
                "Run `siskinward diff @current FILE`, then publish again.",
            )
        case MergeConflict(current, changes):
            click.echo("These changes overlap with another publication:", err=True)
            echo_changes(changes, to_stderr=True)
            raise ConflictError(
                f"not published: the same objects changed up to {describe_pointer(current)}",
                "Run `siskinward show`, redo the change on it and publish again.",
            )
        case MergeInvalid(_, errors):
            raise InvalidInputError(
                str(errors), "Nothing was published. Correct the objects named above."
            )
        case NotSent(error):
            raise PlatformUnavailableError(error, "Nothing was published. Try again.")
        case NotApplied():
            raise _unknown_outcome(UNKNOWN_OUTCOME_MESSAGE, publish_id)
        case OutcomeUnknown(error):
            raise _unknown_outcome(f"{UNKNOWN_OUTCOME_MESSAGE}: {error}", publish_id)


def _unknown_outcome(message: str, publish_id: str) -> CommandError:
    next_step = f"Run `siskinward history --publish-id {publish_id}` to see whether it did."
    return PlatformUnavailableError(message, next_step)
