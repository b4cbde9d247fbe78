"""Base errors, which carry the failed step and the peer involved."""

from __future__ import annotations

from attrs import frozen


@frozen
class StepError:
    """A failed step as a value, carried in the error side of a ``Result``.

    ``step`` names the operation, ``peer`` the VM, target, platform endpoint or file involved,
    ``detail`` the cause in one sentence.
    """

    step: str
    peer: str
    detail: str

    def __str__(self) -> str:
        return f"{self.step} ({self.peer}): {self.detail}"


class SiskinwardError(Exception):
    """Raised where a value cannot be returned; wraps one ``StepError``."""

    def __init__(self, error: StepError) -> None:
        super().__init__(str(error))
        self.error = error

    @property
    def all_errors(self) -> tuple[StepError, ...]:
        """All failed steps; subclasses that collect several errors override this."""
        return (self.error,)
