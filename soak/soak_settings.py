"""Size of one run, and its result."""

from __future__ import annotations

from pathlib import Path

from attrs import frozen

from soak.faults import FaultKind


@frozen
class SoakSettings:
    """Size and length of one run.

    ``block`` is the second byte of all its addresses, which separates concurrent runs. Without
    ``checks_time_bounds``, only the promises that must hold at any moment are checked. Only faults
    of ``kinds`` are injected, unless that is empty. Every second VM runs the program of
    ``other_release``, if that checkout is given. A target works for ``work_s`` on a request.
    """

    seed: int
    directory: Path
    block: int
    length_s: float = 12.0
    recover_s: float = 8.0
    vms: int = 6
    targets: int = 10
    callers: int = 40
    rate_per_s: float = 60.0
    checks_time_bounds: bool = True
    kinds: tuple[FaultKind, ...] = ()
    other_release: Path | None = None
    work_s: float = 0.05


@frozen
class SoakResult:
    """Broken promises of a run, and the number of checks of each timed promise."""

    seed: int
    broken: tuple[str, ...]
    check_counts: dict[str, int]
    calls: int
    served: int
