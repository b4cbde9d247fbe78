"""The record of a case: one line for each event, with the time since its start."""

from __future__ import annotations

import time
from pathlib import Path


class Record:
    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._started_s = time.monotonic()

    def now_s(self) -> float:
        return time.monotonic() - self._started_s

    def write(self, text: str) -> None:
        self._file.write(f"{self.now_s():8.3f} s  {text}\n")
        self._file.flush()
