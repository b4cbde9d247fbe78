"""What may become of one attempt at a target, apart from a whole answer."""

from __future__ import annotations

from attrs import frozen

from siskinward.coordination.outcomes import RefusalReason
from siskinward.coordination.outcomes import RetryReason
from siskinward.state.identifiers import TargetName


@frozen
class NeverConnected:
    """No connection to the target came about; no byte was written."""

    target: TargetName


@frozen
class StaleConnection:
    """A kept connection turned out to be closed before a byte was written."""

    target: TargetName


@frozen
class Shed:
    """The target itself said that it did not run the request."""

    target: TargetName


@frozen
class LostAfterSent:
    """The connection was lost after bytes were written and before an answer began."""

    target: TargetName


@frozen
class AnswerIncomplete:
    """The answer ended before its declared length."""

    target: TargetName


@frozen
class PeerLost:
    """The VM that the request was forwarded to was lost; it may have dispatched."""

    target: TargetName


@frozen
class TimedOut:
    """No answer within the attempt's time-out."""

    target: TargetName


AttemptFailure = (
    NeverConnected | StaleConnection | Shed | LostAfterSent | AnswerIncomplete | PeerLost | TimedOut
)


@frozen
class FailureMeaning:
    """What a failure says: whether the request may have run, and both reasons for counters."""

    may_have_run: bool
    refusal: RefusalReason
    retry: RetryReason


def meaning_of(failure: AttemptFailure) -> FailureMeaning:
    """Classify a failure; what is not known not to have run may have run."""
    match failure:
        case NeverConnected():
            return FailureMeaning(False, RefusalReason.NO_TARGET, RetryReason.CONNECT_FAILED)
        case StaleConnection():
            return FailureMeaning(False, RefusalReason.NO_TARGET, RetryReason.STALE_CONNECTION)
        case Shed():
            return FailureMeaning(False, RefusalReason.TARGET_SHED, RetryReason.TARGET_SHED)
        case LostAfterSent():
            return FailureMeaning(True, RefusalReason.TARGET_LOST, RetryReason.TARGET_LOST)
        case AnswerIncomplete():
            reason = RefusalReason.ANSWER_INCOMPLETE
            return FailureMeaning(True, reason, RetryReason.ANSWER_INCOMPLETE)
        case PeerLost():
            return FailureMeaning(True, RefusalReason.PEER_LOST, RetryReason.PEER_LOST)
        case TimedOut():
            return FailureMeaning(True, RefusalReason.DEADLINE, RetryReason.TARGET_LOST)
