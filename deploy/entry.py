"""Starts an entry VM from a checkout."""

from __future__ import annotations

import signal
import sys
from pathlib import Path

# The settings may change while the program still loads; they are read after that anyway.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

sys.path.insert(0, str(Path(__file__).parents[1] / "src"))

from siskinward.platform.entry import main  # noqa: E402

if __name__ == "__main__":
    main()
