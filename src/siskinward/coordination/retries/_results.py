"""Ways in which an attempt at a target can fail, and what each implies for a retry."""

from __future__ import annotations

from attrs import frozen

from siskinward.coordination.outcomes import RefusalReason
from siskinward.coordination.outcomes import RetryReason
from siskinward.state.identifiers import TargetName


@frozen
class NeverConnected:
    """No connection to the target was established; no byte was written."""

    target: TargetName


@frozen
class StaleConnection:
    """A pooled connection turned out to be closed before any byte was written."""

    target: TargetName


@frozen
class Shed:
    """The target answered that it shed the request without running it."""

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
    """The VM that the request was forwarded to was lost; it may have dispatched the request."""

    target: TargetName


@frozen
class TimedOut:
    """No answer arrived within the timeout of the attempt."""

    target: TargetName


AttemptFailure = (
    NeverConnected | StaleConnection | Shed | LostAfterSent | AnswerIncomplete | PeerLost | TimedOut
)


@frozen
class FailureClassification:
    """Whether the request may have run, and the reasons that counters and answers give."""

    may_have_run: bool
    refusal: RefusalReason
    retry: RetryReason


def classify_failure(failure: AttemptFailure) -> FailureClassification:
    """Classify a failure; a request that is not known not to have run may have run."""
    match failure:
        case NeverConnected():
            return FailureClassification(False, RefusalReason.NO_TARGET, RetryReason.CONNECT_FAILED)
        case StaleConnection():
            return FailureClassification(
                False, RefusalReason.NO_TARGET, RetryReason.STALE_CONNECTION
            )
        case Shed():
            return FailureClassification(False, RefusalReason.TARGET_SHED, RetryReason.TARGET_SHED)
        case LostAfterSent():
            return FailureClassification(True, RefusalReason.TARGET_LOST, RetryReason.TARGET_LOST)
        case AnswerIncomplete():
            reason = RefusalReason.ANSWER_INCOMPLETE
            return FailureClassification(True, reason, RetryReason.ANSWER_INCOMPLETE)
        case PeerLost():
            return FailureClassification(True, RefusalReason.PEER_LOST, RetryReason.PEER_LOST)
        case TimedOut():
            return FailureClassification(True, RefusalReason.DEADLINE, RetryReason.TARGET_LOST)
