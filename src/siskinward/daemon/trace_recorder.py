"""Records callers' requests as a trace for ``siskinward replay``, without keys and bodies."""

from __future__ import annotations

import hashlib
import json
from typing import TYPE_CHECKING
from typing import TextIO

if TYPE_CHECKING:
    from siskinward.daemon.work import Work

CONFIGURATION_NAME = "configuration.ini"
LABEL_BYTES = 6
MS_PER_S = 1000.0


class TraceRecorder:
    """Writes one line per request; sends with the same ticket get the same label."""

    def __init__(self, file: TextIO, start_s: float) -> None:
        self._file = file
        self._start_s = start_s
        self._write({"kind": "deployment", "configuration": CONFIGURATION_NAME})

    def record(self, work: Work, client: str, now_s: float) -> None:
        """Write a request that passed the checks of its route and key."""
        line: dict[str, object] = {
            "kind": "request",
            "at_s": round(now_s - self._start_s, 6),
            "account": work.client_account or "(open routes)",
            "service": work.service,
            "method": work.method,
            "client": client,
            "deadline_ms": round((work.deadline_s - now_s) * MS_PER_S, 1),
        }
        if work.run_id is not None:
            digest = hashlib.blake2b(work.run_id.encode(), digest_size=LABEL_BYTES)
            line["ticket"] = digest.hexdigest()
        self._write(line)

    def _write(self, line: dict[str, object]) -> None:
        self._file.write(json.dumps(line) + "\n")
        self._file.flush()
